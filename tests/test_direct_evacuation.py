"""Tests of failure domains that the operator evacuates."""

import unittest

from chicorycove import Reason, Verdict
from chicorycove.direct.event import (
    AnswerHeadReceived,
    AttemptConnected,
    DomainEvacuated,
    DomainReadmitted,
    EventsRelayed,
    StoreLost,
    TargetProbed,
    TargetUnlisted,
)
from chicorycove.direct.settings import DirectSettings
from chicorycove.lifecycle import (
    AnswerCompleted,
    AttemptFailed,
    MemoryReserved,
    Tick,
)

from .direct import (
    LONG,
    LOOKUP,
    ORDER,
    SHORT,
    TARGET_FULL,
    DirectWorld,
    command_names,
    domain_of,
    only_command,
)
from .direct_fleet import Fleet

DOMAINS = ("here", "there")
SPREAD = ("here", "there", "beyond")
LEARNING_TIME = 0.3  # seconds until the last entry has heard of an evacuation


def commands_of_type(commands, type_name):
    return [command for command in commands if type(command).__name__ == type_name]


class EvacuationTestCase(unittest.TestCase):
    def setUp(self):
        self.world = DirectWorld(engines=4, shops=4, domains=DOMAINS)

    def evacuate(self, *domains):
        return [
            command
            for domain in domains
            for command in self.world.handle(DomainEvacuated(domain))
        ]

    def domains_of(self, send):
        return {domain_of(target, DOMAINS) for target in send.placement.targets}

    def fail_broken(self, send):
        return self.world.handle(
            AttemptFailed(send.attempt, Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN)
        )


class PlacementTest(EvacuationTestCase):
    """Guards against new work at an evacuated target, on each way there."""

    def test_calls_prompts_and_groups_are_sent_to_other_domains(self):
        self.evacuate("here")
        for number in range(6):
            for route, tokens in (ORDER, 0), (SHORT, 5_000), (LONG, 100_000):
                id = f"{route.name}-{number}"
                send = self.world.send(id, route, tokens=tokens)
                self.assertEqual(self.domains_of(send), {"there"})

    def test_group_is_not_larger_than_the_domains_that_remain(self):
        everywhere = self.world.send("a", LONG, tokens=400_000)
        self.assertEqual(self.domains_of(everywhere), set(DOMAINS))
        self.evacuate("here")
        remaining = self.world.send("b", LONG, tokens=400_000)
        self.assertEqual(self.domains_of(remaining), {"there"})

    def test_repeat_after_a_failure_leaves_an_evacuated_domain(self):
        send = self.world.send("r", LOOKUP)
        self.evacuate(*self.domains_of(send))
        retry = only_command(self.fail_broken(send), "SendAttempt")
        self.assertNotEqual(self.domains_of(retry), self.domains_of(send))

    def test_resume_leaves_an_evacuated_domain(self):
        send = self.world.send("r", SHORT)
        self.world.stream(send)
        self.evacuate(*self.domains_of(send))
        resume = only_command(self.fail_broken(send), "SendAttempt")
        self.assertEqual(resume.last_event_id, 3)
        self.assertNotEqual(self.domains_of(resume), self.domains_of(send))

    def test_tried_targets_are_no_way_back_into_an_evacuated_domain(self):
        self.evacuate("here")
        commands = self.world.receive("r", LOOKUP)
        while sends := commands_of_type(commands, "SendAttempt"):
            self.assertEqual(self.domains_of(sends[0]), {"there"})
            self.world.handle(AttemptConnected(sends[0].attempt))
            commands = self.world.handle(
                AnswerHeadReceived(sends[0].attempt, TARGET_FULL)
            )
        fail = only_command(commands, "FailRequest")
        self.assertIs(fail.reason, Reason.RETRY_BUDGET)

    def test_readmitted_domain_is_used_again(self):
        self.evacuate("here")
        self.world.handle(DomainReadmitted("here"))
        domains = [
            self.domains_of(self.world.send(f"r{number}", ORDER)) for number in range(4)
        ]
        self.assertIn({"here"}, domains)

    def test_domain_that_is_evacuated_before_its_targets_are_listed(self):
        # An entry that starts reads the evacuations before the targets.
        self.evacuate("here", "there")
        self.world.add_target("s9", "shop")
        fail = only_command(self.world.receive("r", ORDER), "FailRequest")
        self.assertIs(fail.reason, Reason.SERVICE_EVACUATED)

    def test_evacuated_target_is_not_probed(self):
        send = self.world.send("r", SHORT)
        self.world.stream(send)
        self.evacuate(*self.domains_of(send))
        commands = self.fail_broken(send)
        self.assertNotIn("ProbeTarget", command_names(commands))


class OpenConnectionTest(EvacuationTestCase):
    """Guards against sending what was placed before the evacuation."""

    def connect(self, send):
        return self.world.handle(AttemptConnected(send.attempt))

    def test_attempt_is_withdrawn_when_its_connection_opens(self):
        for route in SHORT, ORDER:
            with self.subTest(route=route.name):
                self.setUp()
                send = only_command(self.world.receive("r", route), "SendAttempt")
                self.evacuate(*self.domains_of(send))
                commands = self.connect(send)
                self.assertEqual(
                    only_command(commands, "CancelAttempt").attempt, send.attempt
                )
                other = only_command(commands, "SendAttempt")
                self.assertNotEqual(self.domains_of(other), self.domains_of(send))
                self.connect(other)
                request = self.world.board.requests["r"]
                self.assertEqual((request.sent_count, request.run_count), (1, 1))

    def test_group_is_withdrawn_if_only_a_member_is_evacuated(self):
        commands = self.world.receive("r", LONG, tokens=400_000)
        send = only_command(commands, "SendAttempt")
        primary_domain = domain_of(send.placement.target, DOMAINS)
        self.evacuate(*self.domains_of(send) - {primary_domain})
        other = only_command(self.connect(send), "SendAttempt")
        self.assertEqual(self.domains_of(other), {primary_domain})

    def test_attempt_is_withdrawn_though_its_target_is_no_longer_listed(self):
        send = only_command(self.world.receive("r", ORDER), "SendAttempt")
        self.world.handle(TargetUnlisted(send.target.target))
        self.evacuate(*self.domains_of(send))
        self.assertIn("CancelAttempt", command_names(self.connect(send)))

    def test_withdrawn_attempt_has_not_run_if_all_is_evacuated(self):
        send = only_command(self.world.receive("r", ORDER), "SendAttempt")
        self.evacuate(*DOMAINS)
        fail = only_command(self.connect(send), "FailRequest")
        self.assertIs(fail.reason, Reason.SERVICE_EVACUATED)
        self.assertIs(fail.verdict, Verdict.NOT_RUN)

    def test_withdrawal_does_not_count_as_a_failed_try_of_the_target(self):
        # If the only other domain is evacuated next, the first one serves.
        send = only_command(self.world.receive("r", ORDER), "SendAttempt")
        (first,) = self.domains_of(send)
        self.evacuate(first)
        self.connect(send)
        self.assertEqual(self.world.board.requests["r"].tried_targets, set())

    def test_pending_reservations_are_released_and_not_sent(self):
        commands = self.world.receive("r", LONG, tokens=700_000)
        orders = commands_of_type(commands, "ReserveMemory")
        self.evacuate("here")
        for order in orders:
            commands = self.world.handle(MemoryReserved(order.attempt))
        released = {
            order.attempt for order in commands_of_type(commands, "ReleaseMemory")
        }
        self.assertEqual(released, {order.attempt for order in orders})
        later = commands_of_type(commands, "SendAttempt")
        later += commands_of_type(commands, "ReserveMemory")
        for command in later:
            target = getattr(command, "target", None) or command.agent
            self.assertEqual(domain_of(target.target, DOMAINS), "there")


class RunningTest(EvacuationTestCase):
    """Guards against cutting short what runs as an evacuation begins."""

    def test_stream_finishes_at_an_evacuated_target(self):
        send = self.world.send("r", SHORT)
        self.world.stream(send)
        self.evacuate(*DOMAINS)
        self.world.handle(EventsRelayed(send.attempt, 1, 4))
        commands = self.world.handle(AnswerCompleted(send.attempt, 0))
        self.assertIn("FinishAnswer", command_names(commands))

    def test_leases_are_renewed_and_released(self):
        commands = self.world.receive("r", LONG, tokens=700_000)
        for order in commands_of_type(commands, "ReserveMemory"):
            commands = self.world.handle(MemoryReserved(order.attempt))
        send = only_command(commands, "SendAttempt")
        self.world.handle(AttemptConnected(send.attempt))
        self.world.stream(send)
        self.evacuate(*DOMAINS)
        self.world.now += DirectSettings().reservation.renewal_interval
        renewals = commands_of_type(self.world.handle(Tick()), "ReserveMemory")
        held = {member.reservation for member in send.members if member.reservation}
        self.assertTrue(held)
        self.assertEqual({renewal.attempt for renewal in renewals}, held)
        commands = self.world.handle(AnswerCompleted(send.attempt, 0))
        released = commands_of_type(commands, "ReleaseMemory")
        self.assertEqual({order.attempt for order in released}, held)

    def test_lapsed_target_keeps_its_grace_period(self):
        # The store is lost with the domain, so that leases of its targets'
        # listings end.
        self.evacuate("here")
        self.world.handle(StoreLost())
        target = next(
            id for id in self.world.board.targets if domain_of(id, DOMAINS) == "here"
        )
        self.world.handle(TargetUnlisted(target))
        self.assertIn(target, self.world.board.targets)
        self.world.now = DirectSettings().lapse_grace
        self.world.handle(Tick())
        self.assertNotIn(target, self.world.board.targets)

    def test_repeatable_request_leaves_an_unreachable_evacuated_target(self):
        # The answer of a probe that was sent before the evacuation.
        send = self.world.send("r", SHORT)
        self.evacuate(*self.domains_of(send))
        commands = self.world.handle(TargetProbed(send.target.target, False))
        self.assertIn("SendAttempt", command_names(commands))

    def test_log_says_what_runs_there(self):
        self.world.send("a", ORDER)
        (begun,) = commands_of_type(self.evacuate(*DOMAINS[:1]), "LogChange")
        self.assertEqual((begun.change, begun.subject), ("evacuation begun", "here"))
        (status,) = self.world.dispatcher.evacuations()
        self.assertEqual(begun.detail, f"{status.running_count} requests run there")
        self.world.now = 12.0
        commands = self.world.handle(DomainReadmitted("here"))
        ended = only_command(commands, "LogChange")
        self.assertEqual((ended.change, ended.subject), ("evacuation ended", "here"))
        self.assertTrue(ended.detail.startswith("after 12.0 s, "))

    def test_running_requests_are_counted_until_they_end(self):
        send = self.world.send("a", ORDER)
        self.evacuate(*self.domains_of(send))
        (status,) = self.world.dispatcher.evacuations()
        self.assertEqual(status.running_count, 1)
        self.world.answer(send)
        (status,) = self.world.dispatcher.evacuations()
        self.assertEqual(status.running_count, 0)

    def test_repeated_order_changes_nothing(self):
        self.evacuate("here")
        self.world.now = 5.0
        self.assertEqual(self.evacuate("here"), [])
        self.assertEqual(self.world.board.evacuated_since, {"here": 0.0})
        self.assertEqual(self.world.handle(DomainReadmitted("there")), [])


class RefusalTest(EvacuationTestCase):
    """Guards against refusals without a cause, or that return all at once."""

    def refuse(self, id="r", route=ORDER, **fields):
        commands = self.world.receive(id, route, **fields)
        return only_command(commands, "FailRequest")

    def test_request_is_refused_if_all_targets_are_evacuated(self):
        self.evacuate(*DOMAINS)
        for route in ORDER, SHORT, LONG:
            fail = self.refuse(route.name, route)
            self.assertIs(fail.reason, Reason.SERVICE_EVACUATED)
            self.assertIs(fail.verdict, Verdict.NOT_RUN)
            self.assertGreater(fail.retry_after, 0.0)

    def test_callers_are_told_different_times_that_grow_with_the_evacuation(self):
        settings = DirectSettings().evacuation
        self.evacuate("here")
        self.world.now = 100.0
        self.evacuate("there")  # the newest evacuation counts
        for elapsed in 0.0, 3.0, 60.0:
            with self.subTest(elapsed=elapsed):
                self.world.now = 100.0 + elapsed
                delays = [self.refuse(f"{elapsed}-{n}").retry_after for n in range(20)]
                expected = min(
                    max(elapsed, settings.min_retry_after), settings.max_retry_after
                )
                self.assertGreaterEqual(min(delays), expected)
                self.assertLess(max(delays), 2 * expected)
                self.assertGreater(max(delays) - min(delays), 0.8 * expected)

    def test_service_without_targets_is_not_refused_as_evacuated(self):
        self.evacuate(*DOMAINS)
        for target in list(self.world.board.targets):
            self.world.handle(TargetUnlisted(target))
        self.assertIs(self.refuse().reason, Reason.NO_TARGET)

    def test_leaving_targets_do_not_make_a_service_available(self):
        self.evacuate("here")
        for id in "s0", "s1", "s2", "s3":
            if domain_of(id, DOMAINS) == "there":
                self.world.add_target(id, "shop", leaving=True)
        self.assertIs(self.refuse().reason, Reason.SERVICE_EVACUATED)

    def test_regions_whose_targets_are_all_evacuated(self):
        self.evacuate("there")
        fail = self.refuse("a", regions=frozenset({"south"}))
        self.assertIs(fail.reason, Reason.SERVICE_EVACUATED)
        send = self.world.send("b", ORDER, regions=frozenset({"north"}))
        self.assertEqual(self.domains_of(send), {"here"})


class LargeFleetTest(unittest.TestCase):
    def test_cells_are_cut_from_the_domains_that_remain(self):
        # A cell that lost all its targets would place without hearing the
        # entries whose targets it uses.
        world = DirectWorld(engines=0, shops=200, domains=DOMAINS)
        self.assertGreater(len(list(world.board.available_targets("shop"))), 96)
        world.handle(DomainEvacuated("here"))
        for number in range(20):
            send = world.send(f"r{number}", ORDER)
            self.assertEqual(domain_of(send.target.target, DOMAINS), "there")


class FleetTest(unittest.TestCase):
    """Evacuations under load, each with one failure; nothing arrives late."""

    start = 5.0
    end = 15.0

    def play(self, prepare=lambda fleet: None, evacuated=("here",), **fields):
        """Play an evacuation under load; return the fleet."""
        fields = {"engines": 9, "shops": 6, "domains": SPREAD, **fields}
        fleet = Fleet(**fields)
        for domain in evacuated:
            delays = (0.0, 0.1, LEARNING_TIME)
            fleet.call_at(self.start, fleet.evacuate, domain, self.end, delays)
        prepare(fleet)
        fleet.load(SHORT, rate=15.0, until=20.0)
        fleet.load(LOOKUP, rate=8.0, until=20.0)
        fleet.load(ORDER, rate=8.0, until=20.0)
        fleet.load(LONG, rate=0.5, until=20.0, tokens=600_000)
        fleet.run_until(45.0)
        for domain in evacuated:
            self.assertTrue(fleet.arrivals_in(domain, 0.0, self.start))
            late = fleet.arrivals_in(domain, self.start + LEARNING_TIME, self.end)
            requests = [
                arrival
                for arrival in late
                if arrival.request not in ("ReserveMemory", "ReleaseMemory")
            ]
            self.assertEqual(requests, [], domain)
            self.assertTrue(fleet.arrivals_in(domain, self.end, 20.0), domain)
        return fleet

    def test_without_a_failure(self):
        for seed in 1, 2, 3:
            with self.subTest(seed=seed):
                fleet = self.play(seed=seed)
                self.assertEqual(fleet.answered_share(0.0, 20.0), 1.0)

    def test_two_domains(self):
        # The engines of one domain have the memory of three long prompts.
        fleet = self.play(evacuated=("here", "beyond"), engines=15)
        self.assertEqual(fleet.answered_share(0.0, 20.0), 1.0)

    def test_all_domains_and_callers_who_come_after_it(self):
        fleet = self.play(evacuated=SPREAD)
        refused = {
            outcome.command.reason
            for outcome in fleet.outcomes.values()
            if not outcome.answered
        }
        self.assertEqual(refused, {Reason.SERVICE_EVACUATED})
        after = self.end + LEARNING_TIME
        self.assertEqual(fleet.answered_share(after, 20.0), 1.0)

    def test_datagrams_between_entries_are_lost(self):
        # Only the check of peers removes work whose end was not heard.
        fleet = self.play(loss=0.3, watch_peers=True)
        self.assertEqual(fleet.answered_share(0.0, 20.0), 1.0)

    def test_entry_starts_during_the_evacuation(self):
        fleet = self.play(lambda fleet: fleet.call_at(8.0, fleet.add_entry, "late"))
        self.assertEqual(fleet.answered_share(0.0, 20.0), 1.0)

    def test_entry_is_frozen_as_the_evacuation_begins(self):
        # It gets the order before the events that came during its freeze, and
        # attempts that were connecting are withdrawn.
        def prepare(fleet):
            entry = fleet.entries["entry-0"]
            fleet.call_at(self.start + 0.001, entry.freeze, 3.0)

        self.play(prepare)

    def test_target_of_another_domain_crashes(self):
        def prepare(fleet):
            target = next(
                target
                for target in fleet.targets.values()
                if target.listing.failure_domain == "there" and target.service == "shop"
            )
            fleet.call_at(8.0, fleet.crash, target)

        self.play(prepare)

    def test_target_connects_slowly_as_the_evacuation_begins(self):
        def prepare(fleet):
            for target in fleet.targets.values():
                if target.listing.failure_domain == "here":
                    target.connect_delay = 2 * LEARNING_TIME

        fleet = self.play(prepare)
        withdrawn = [
            command
            for _, _, command in fleet.log
            if getattr(command, "change", None) == "attempt withdrawn"
        ]
        self.assertTrue(withdrawn)
        self.assertEqual({command.detail for command in withdrawn}, {"evacuation"})


if __name__ == "__main__":
    unittest.main()
