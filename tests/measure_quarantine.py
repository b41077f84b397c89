"""Prints what requests that crash targets cost, over some seeds.

Run it by ``python -m tests.measure_quarantine --seeds 8``.
"""

import argparse

from .direct import LOOKUP, ORDER, SHORT
from .test_direct_crashing_request import (
    HARMFUL,
    CrashingRequestTest,
    SoundRequestTest,
    is_quarantined,
)
from .test_direct_quarantine import OtherCrashTest


def measure_crashing_request(route, before_head, seeds):
    """Print the cost of one request that crashes each target."""
    test = CrashingRequestTest()
    late, crashes, answered, refused = [], [], [], 0
    for seed in seeds:
        fleet = test.play(route, seed, before_head=before_head)
        late.append(test.count_late_repeats(fleet))
        crashes.append(len(fleet.crashes))
        answered.append(fleet.answered_share(5.0, 30.0, HARMFUL))
        refused += sum(
            is_quarantined(outcome) and fleet.fingerprints[id] != HARMFUL
            for id, outcome in fleet.outcomes.items()
        )
    head = "before its head" if before_head else "after its head"
    print(
        f"{route.name} crashes {head}: late repeats at most {max(late)}, "
        f"targets crashed {min(crashes)} to {max(crashes)}, sound answered "
        f"{min(answered):.3f} to {max(answered):.3f}, sound refused {refused}"
    )


def measure_other_crashes(name, play, seeds):
    """Print how many sound requests other crashes get refused."""
    refused, runs, total = 0, 0, 0
    for seed in seeds:
        fleet = play(seed)
        count = sum(map(is_quarantined, fleet.outcomes.values()))
        refused += count
        runs += count > 0
        total += len(fleet.outcomes)
    print(f"{name}: {refused} of {total} sound requests refused, in {runs} runs")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=8)
    seeds = range(1, parser.parse_args().seeds + 1)
    for route, before_head in (
        (LOOKUP, True),
        (ORDER, True),
        (SHORT, True),
        (SHORT, False),
    ):
        measure_crashing_request(route, before_head, seeds)
    sound, other = SoundRequestTest(), OtherCrashTest()
    for rate in (10.0, 60.0):
        measure_other_crashes(
            f"a third of all targets dies twice, page fetched {rate:g} times a second",
            lambda seed, rate=rate: sound.play_domain_loss(rate, seed),
            seeds,
        )
    measure_other_crashes("targets of calls crash in turn", sound.play_in_turn, seeds)
    for count, at_once, gap in ((1, 12, 0.0), (15, 1, 2.0), (30, 1, 0.3)):
        measure_other_crashes(
            f"{at_once} of 16 targets of prompts crash at once, {count} times, "
            f"{gap:g} s apart",
            lambda seed, play=(count, at_once, gap): other.play(*play, seed),
            seeds,
        )


if __name__ == "__main__":
    main()
