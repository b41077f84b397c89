"""Measures a simulated fleet with a target that is 4 times as slow.

Run by ``python -m tests.measure_target_pace``.
"""

from chicorycove.direct.settings import DirectSettings
from chicorycove.direct.target_pace import TargetPaceSettings

from . import test_direct_target_pace

SEEDS = range(1, 7)
LAG = 0.002  # seconds by which peers' updates are late, on average
SLOW_TIME = (3.0, 25.0)  # seconds


def measure(target, min_pace):
    """Return the share of the answers in time, and the changes of paces."""
    settings = DirectSettings(target_pace=TargetPaceSettings(min_pace=min_pace))
    outcomes = []
    change_count = 0
    for seed in SEEDS:
        times = SLOW_TIME if target is not None else (None, None)
        simulation = test_direct_target_pace.PaceSimulation(
            seed, settings, *times, lag=LAG, target=target
        )
        outcomes += simulation.run()
        change_count += len(simulation.changes)
    in_time = sum(outcome.in_time for outcome in outcomes) / len(outcomes)
    return in_time, change_count


def main():
    for target in (None, 0, 3):
        for min_pace in (1e9, 1.5):
            in_time, change_count = measure(target, min_pace)
            print(
                f"slow target {target}, least pace {min_pace:g}: "
                f"{in_time:.4f} in time, {change_count} changes"
            )


if __name__ == "__main__":
    main()
