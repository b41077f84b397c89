"""Prints what targets that refuse requests for some time cost callers.

Run it by ``python -m tests.measure_backoff --seeds 8``.
"""

import argparse

from .direct import LOOKUP, SHORT
from .direct_fleet import Fleet
from .test_direct_backoff import BackoffTest

START, END = 5.0, 20.0  # seconds between which the targets refuse requests


def measure(name, route, ids, seeds, rate, **fields):
    """Print refused attempts, answered requests and how long answers took."""
    refused, answered, count, durations = 0, 0, 0, []
    for seed in seeds:
        fleet = Fleet(seed=seed, **fields)
        BackoffTest().refuse(fleet, START, END, *ids)
        fleet.load(route, rate=rate, until=END)
        fleet.run_until(END + 12.0)
        refused += sum(len(target.refusals) for target in fleet.targets.values())
        for id, arrived in fleet.arrived.items():
            outcome = fleet.outcomes[id]
            if arrived >= START:
                count += 1
                answered += outcome.answered
                durations.append(outcome.ended - arrived)
    durations.sort()
    print(
        f"{name}: {refused / count:.3f} refused attempts a request, "
        f"{answered / count:.3f} answered, ended after "
        f"{durations[len(durations) // 2]:.3f} s in the median, "
        f"{durations[len(durations) * 95 // 100]:.3f} s at 95 in 100"
    )


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=8)
    seeds = range(1, parser.parse_args().seeds + 1)
    for ids in (("e0",), ("e0", "e1", "e2")):
        measure(f"{len(ids)} of 8, prompts", SHORT, ids, seeds, 20.0, engines=8)
    for ids in (("s0",), ("s0", "s1", "s2")):
        fields = {"engines": 0, "shops": 3}
        measure(f"{len(ids)} of 3, calls", LOOKUP, ids, seeds, 10.0, **fields)


if __name__ == "__main__":
    main()
