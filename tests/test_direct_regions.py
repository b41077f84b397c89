"""Tests of requests that may only reach targets in some regions."""

import unittest

from chicorycove import Reason, Verdict
from chicorycove.direct.event import (
    AnswerHeadReceived,
    AttemptConnected,
    TargetAnswer,
    TargetUnlisted,
)
from chicorycove.lifecycle import AttemptFailed

from .direct import (
    LONG,
    LOOKUP,
    ORDER,
    REGIONS,
    SHORT,
    TARGET_FULL,
    DirectWorld,
    domain_of,
    only_command,
)
from .direct_fleet import Fleet

DOMAINS = ("here", "there")
NORTH = frozenset({"north"})
SOUTH = frozenset({"south"})
BACKOFF = TargetAnswer(status=503, not_run=True, retry_after=30.0)


class RegionTest(unittest.TestCase):
    """Guards against a request in a region that is not allowed."""

    def setUp(self):
        self.world = DirectWorld(engines=6, shops=4, domains=DOMAINS)

    def regions_of(self, send):
        return {
            REGIONS[domain_of(target, DOMAINS)] for target in send.placement.targets
        }

    def test_calls_prompts_and_groups_stay_in_the_allowed_regions(self):
        for number in range(10):
            for route, tokens in (ORDER, 0), (SHORT, 5_000), (LONG, 80_000):
                id = f"{route.name}-{number}"
                send = self.world.send(id, route, tokens=tokens, regions=SOUTH)
                self.assertEqual(self.regions_of(send), {"south"})

    def test_request_without_a_list_uses_all_regions(self):
        send = self.world.send("r", LONG, tokens=400_000)
        self.assertEqual(self.regions_of(send), {"north", "south"})

    def test_empty_list_allows_no_region(self):
        fail = only_command(
            self.world.receive("r", ORDER, regions=frozenset()), "FailRequest"
        )
        self.assertIs(fail.reason, Reason.NO_TARGET)
        self.assertIs(fail.verdict, Verdict.NOT_RUN)
        self.assertGreater(fail.retry_after, 0.0)

    def test_targets_already_tried_are_preferred_to_other_regions(self):
        commands = self.world.receive("r", LOOKUP, regions=SOUTH)
        for _ in range(4):  # the region has two targets
            send = only_command(commands, "SendAttempt")
            self.assertEqual(self.regions_of(send), {"south"})
            self.world.handle(AttemptConnected(send.attempt))
            commands = self.world.handle(AnswerHeadReceived(send.attempt, TARGET_FULL))

    def test_resume_stays_in_the_allowed_regions(self):
        send = self.world.send("r", SHORT, regions=SOUTH)
        self.world.stream(send)
        commands = self.world.handle(
            AttemptFailed(send.attempt, Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN)
        )
        resume = only_command(commands, "SendAttempt")
        self.assertEqual(resume.last_event_id, 3)
        self.assertEqual(self.regions_of(resume), {"south"})

    def test_request_is_refused_when_its_region_has_no_target(self):
        for id in list(self.world.board.targets):
            if domain_of(id, DOMAINS) == "there":
                self.world.handle(TargetUnlisted(id))
        for route in ORDER, SHORT:
            commands = self.world.receive(route.name, route, regions=SOUTH)
            fail = only_command(commands, "FailRequest")
            self.assertIs(fail.reason, Reason.NO_TARGET)
            self.assertIs(fail.verdict, Verdict.NOT_RUN)

    def test_backoff_elsewhere_does_not_say_when_the_region_has_capacity(self):
        # Targets in the south ask for a long backoff; a caller who may use
        # the north only must not be told to wait for them.
        commands = self.world.receive("a", ORDER, regions=SOUTH)
        for _ in range(2):
            send = only_command(commands, "SendAttempt")
            self.world.handle(AttemptConnected(send.attempt))
            commands = self.world.handle(AnswerHeadReceived(send.attempt, BACKOFF))
        fail = only_command(commands, "FailRequest")
        self.assertIs(fail.reason, Reason.TARGET_LIMIT)
        self.assertGreaterEqual(fail.retry_after, 30.0)
        for id in list(self.world.board.targets):
            if domain_of(id, DOMAINS) == "here":
                self.world.handle(TargetUnlisted(id))
        commands = self.world.receive("b", ORDER, regions=NORTH)
        fail = only_command(commands, "FailRequest")
        self.assertIs(fail.reason, Reason.NO_TARGET)
        self.assertLess(fail.retry_after, 30.0)

    def test_large_fleet_leaves_its_cell_but_not_the_region(self):
        world = DirectWorld(engines=0, shops=200, domains=DOMAINS)
        for number in range(20):
            send = world.send(f"r{number}", ORDER, regions=SOUTH)
            self.assertEqual(self.regions_of(send), {"south"})


class FleetTest(unittest.TestCase):
    def test_regions_hold_under_load_while_targets_crash(self):
        fleet = Fleet(engines=8, shops=6, domains=("here", "there", "beyond"))
        fleet.load(SHORT, rate=10.0, until=20.0, regions=NORTH, parts=("n",))
        fleet.load(SHORT, rate=10.0, until=20.0, regions=SOUTH, parts=("s",))
        for time, id in (5.0, "e0"), (8.0, "e3"):
            fleet.call_at(time, fleet.crash, fleet.targets[id])
        fleet.run_until(40.0)
        allowed = {("n",): "north", ("s",): "south"}
        counts = {"north": 0, "south": 0}
        for target in fleet.targets.values():
            for arrival in target.arrivals:
                if arrival.parts:
                    region = target.listing.region
                    self.assertEqual(allowed[arrival.parts], region)
                    counts[region] += 1
        self.assertGreater(min(counts.values()), 100)


if __name__ == "__main__":
    unittest.main()
