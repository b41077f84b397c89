"""Tests of prompts that crash the targets that begin to answer them."""

import unittest

from .direct import SHORT
from .direct_fleet import Fleet

STABLE_AFTER = 3.0  # seconds from the fifth crash until the bound holds
COUNTED_CRASHES = 5
ALLOWED_REQUESTS = 3  # with the crashing part, from then on
HARMFUL = "bad0"


def sound_parts(random):
    """Return parts that all, a workspace's and a session's prompts share."""
    return ("common", f"w{random.randrange(10)}", f"s{random.randrange(60)}")


def harmful_parts(random):
    return (*sound_parts(random)[:2], HARMFUL)


def harmful_parts_only(random):
    return (f"x{random.randrange(1000)}", HARMFUL, f"y{random.randrange(1000)}")


class CrashingPartTest(unittest.TestCase):
    def play(self, parts, seed=1, rate=4.0, start=5.0, until=40.0, **fields):
        """Play sound prompts, and beside them some that crash targets."""
        fleet = Fleet(engines=16, seed=seed, **fields)
        fleet.crashing_part = HARMFUL
        fleet.load(SHORT, rate=18.0, until=until, parts=sound_parts)
        fleet.run_until(start)
        fleet.load(SHORT, rate=rate, until=until, parts=parts)
        fleet.run_until(until + 12.0)
        return fleet

    def count_late_requests(self, fleet):
        """Return the arrivals that count against the bound."""
        if len(fleet.crashes) < COUNTED_CRASHES:
            return 0
        bound_from = fleet.crashes[COUNTED_CRASHES - 1] + STABLE_AFTER
        return sum(
            HARMFUL in arrival.parts and arrival.time >= bound_from
            for arrival in fleet.arrivals
        )

    def test_crashing_part_is_not_sent_on_after_the_fifth_crash(self):
        for parts in (harmful_parts, harmful_parts_only):
            with self.subTest(parts=parts.__name__):
                fleet = self.play(parts)
                self.assertLessEqual(self.count_late_requests(fleet), ALLOWED_REQUESTS)

    def test_sound_prompts_beside_a_crashing_part_are_answered(self):
        fleet = self.play(harmful_parts)
        self.assertGreaterEqual(fleet.answered_share(10.0, 40.0, HARMFUL), 0.98)
