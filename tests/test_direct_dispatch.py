"""Requests at a direct entry, from arrival to end, on a virtual clock."""

import dataclasses
import unittest

from bench.sheet import ENGINE
from chicorycove import Reason, Verdict
from chicorycove.direct.board import WorkItem, WorkItemKey
from chicorycove.direct.event import (
    AnswerHeadReceived,
    AttemptConnected,
    CallerBackpressureChanged,
    EventsRelayed,
    PeersUpdated,
    PeerUpdateReceived,
    RequestReceived,
    StoreLost,
    StoreRevisionSeen,
    TargetAnswer,
    TargetProbed,
    TargetUnlisted,
)
from chicorycove.direct.route import Deployment
from chicorycove.direct.store_revision import StoreRevision
from chicorycove.lifecycle import (
    AnswerCompleted,
    AttemptFailed,
    CallerDisconnected,
    StopRequested,
    Tick,
)

from .direct import (
    LOOKUP,
    OK,
    ORDER,
    SERVER_ERROR,
    SHORT,
    TARGET_FULL,
    DirectWorld,
    command_names,
    make_inbound,
    only_command,
)

# The status of a refusal, without the target's word that it did not run.
UNMARKED_REFUSAL = TargetAnswer(503, False, status_implies_not_run=True)
WRONG_INSTANCE = TargetAnswer(status=421, not_run=True, wrong_instance=True)
BROKEN_STREAM = (Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN)
UNREACHABLE = (Reason.TARGET_UNREACHABLE, Verdict.NOT_RUN)


class StreamTest(unittest.TestCase):
    def setUp(self):
        self.world = DirectWorld()

    def test_stream_is_relayed_and_finished(self):
        send = self.world.send("r", SHORT)
        self.assertEqual(command_names(self.world.stream(send)), ["RelayStream"])
        self.assertEqual(
            command_names(self.world.handle(AnswerCompleted(send.attempt, 0))),
            ["FinishAnswer"],
        )
        self.assertEqual(self.world.board.requests, {})

    def test_broken_stream_resumes_after_its_last_event(self):
        send = self.world.send("r", SHORT)
        self.world.stream(send, events=3)
        retry = only_command(
            self.world.handle(AttemptFailed(send.attempt, *BROKEN_STREAM)),
            "SendAttempt",
        )
        self.assertEqual(retry.last_event_id, 3)
        self.assertNotEqual(retry.target, send.target)

    def test_resumed_stream_is_passed_on_to_its_end(self):
        # In hunt moldline, mix --seed 1022876187168, the events of the second
        # run were not relayed, and the answer was aborted at its end.
        send = self.world.send("r", SHORT)
        self.world.stream(send, events=3)
        retry = only_command(
            self.world.handle(AttemptFailed(send.attempt, *BROKEN_STREAM)),
            "SendAttempt",
        )
        self.world.handle(AttemptConnected(retry.attempt))
        commands = self.world.handle(AnswerHeadReceived(retry.attempt, OK))
        self.assertEqual(command_names(commands), ["RelayStream"])
        self.world.handle(EventsRelayed(retry.attempt, 2, 5))
        commands = self.world.handle(AnswerCompleted(retry.attempt, 0))
        self.assertEqual(command_names(commands), ["FinishAnswer"])

    def test_answer_is_aborted_after_two_runs(self):
        send = self.world.send("r", SHORT)
        self.world.stream(send)
        retry = only_command(
            self.world.handle(AttemptFailed(send.attempt, *BROKEN_STREAM)),
            "SendAttempt",
        )
        self.world.handle(AttemptConnected(retry.attempt))
        commands = self.world.handle(AttemptFailed(retry.attempt, *BROKEN_STREAM))
        self.assertIn("AbortAnswer", command_names(commands))

    def test_disconnect_cancels_the_attempt(self):
        send = self.world.send("r", SHORT)
        commands = self.world.handle(CallerDisconnected("r"))
        self.assertEqual(only_command(commands, "CancelAttempt").attempt, send.attempt)
        self.assertEqual(self.world.board.requests, {})

    def test_answer_head_of_a_failed_attempt_cancels_it(self):
        send = self.world.send("r", SHORT)
        self.world.handle(AttemptFailed(send.attempt, *BROKEN_STREAM))
        commands = self.world.handle(AnswerHeadReceived(send.attempt, OK))
        self.assertEqual(command_names(commands), ["CancelAttempt"])

    def test_streams_of_a_dead_target_move_to_others(self):
        send = self.world.send("r", SHORT)
        self.world.stream(send, events=4)
        commands = self.world.handle(TargetProbed(send.target.target, False))
        retry = only_command(commands, "SendAttempt")
        self.assertEqual(retry.last_event_id, 4)
        self.assertNotEqual(retry.target, send.target)

    def test_target_that_answers_no_probe_counts_until_its_end_is_known(self):
        send = self.world.send("r", SHORT)
        commands = self.world.handle(TargetProbed(send.target.target, False))
        retry = only_command(commands, "SendAttempt")
        self.world.handle(AttemptConnected(retry.attempt))
        target = retry.target.target
        commands = self.world.handle(TargetProbed(target, False))
        self.assertEqual(command_names(commands), [])
        commands = self.world.handle(TargetProbed(target, False, refused=True))
        self.assertEqual(command_names(commands), ["CancelAttempt", "SendAttempt"])

    def test_attempt_that_was_not_sent_is_no_run_of_a_dead_target(self):
        send = only_command(self.world.receive("r", SHORT), "SendAttempt")
        probed = TargetProbed(send.target.target, False, refused=True)
        retry = only_command(self.world.handle(probed), "SendAttempt")
        self.world.handle(AttemptConnected(retry.attempt))
        self.assertEqual(self.world.board.requests["r"].run_count, 1)

    def test_unresponsive_target_is_probed_before_the_timeout(self):
        send = self.world.send("r", SHORT)
        self.world.stream(send)
        self.world.now = 0.9
        commands = self.world.handle(Tick())
        self.assertEqual(
            only_command(commands, "ProbeTarget").target, send.target.target
        )

    def test_blocked_caller_does_not_count_against_its_target(self):
        send = self.world.send("r", SHORT)
        self.world.stream(send)
        self.world.handle(CallerBackpressureChanged("r", True))
        for _ in range(6):
            self.world.now += 1.0
            self.assertEqual(command_names(self.world.handle(Tick())), [])


class NonRepeatableTest(unittest.TestCase):
    def setUp(self):
        self.world = DirectWorld()

    def test_not_sent_again_once_it_may_have_run(self):
        send = self.world.send("r", ORDER)
        fail = only_command(
            self.world.handle(AttemptFailed(send.attempt, *BROKEN_STREAM)),
            "FailRequest",
        )
        self.assertIs(fail.verdict, Verdict.MAY_HAVE_RUN)

    def test_begun_attempt_that_is_reported_as_not_run_is_not_repeated(self):
        # In review/1, a timeout of the connection ended after the send.
        send = self.world.send("r", ORDER)
        commands = self.world.handle(AttemptFailed(send.attempt, *UNREACHABLE))
        self.assertNotIn("SendAttempt", command_names(commands))
        fail = only_command(commands, "FailRequest")
        self.assertIs(fail.verdict, Verdict.MAY_HAVE_RUN)

    def test_attempt_that_is_reported_as_sent_is_not_repeated(self):
        send = only_command(self.world.receive("r", ORDER), "SendAttempt")
        commands = self.world.handle(AttemptFailed(send.attempt, *BROKEN_STREAM))
        fail = only_command(commands, "FailRequest")
        self.assertIs(fail.verdict, Verdict.MAY_HAVE_RUN)

    def test_sent_again_when_the_target_is_unreachable(self):
        send = only_command(self.world.receive("r", ORDER), "SendAttempt")
        commands = self.world.handle(AttemptFailed(send.attempt, *UNREACHABLE))
        retry = only_command(commands, "SendAttempt")
        self.assertNotEqual(retry.target, send.target)

    def test_sent_again_when_the_target_did_not_run_it(self):
        send = self.world.send("r", ORDER)
        commands = self.world.handle(AnswerHeadReceived(send.attempt, TARGET_FULL))
        self.assertNotEqual(only_command(commands, "SendAttempt").target, send.target)

    def test_attempt_of_an_ended_request_is_not_sent(self):
        send = only_command(self.world.receive("r", ORDER), "SendAttempt")
        self.world.handle(CallerDisconnected("r"))
        commands = self.world.handle(AttemptConnected(send.attempt))
        self.assertEqual(command_names(commands), ["CancelAttempt"])

    def test_verdict_at_the_deadline_is_not_run_only_before_it_is_sent(self):
        for reached in (False, True):
            with self.subTest(reached=reached):
                world = DirectWorld(shops=1)
                send = only_command(world.receive("r", ORDER), "SendAttempt")
                if reached:
                    world.handle(AttemptConnected(send.attempt))
                world.now = 0.61
                fail = only_command(world.handle(Tick()), "FailRequest")
                verdict = Verdict.MAY_HAVE_RUN if reached else Verdict.NOT_RUN
                self.assertIs(fail.verdict, verdict)

    def test_server_error_is_delivered(self):
        send = self.world.send("r", ORDER)
        self.assertEqual(
            command_names(self.world.answer(send, SERVER_ERROR)), ["DeliverAnswer"]
        )

    def test_status_of_a_refusal_without_proof_is_not_delivered(self):
        say = dataclasses.replace(SHORT, repeatable=False, max_attempts=1)
        for route in (ORDER, say):
            for status in (408, 429, 503):
                with self.subTest(route=route.name, status=status):
                    id = f"{route.name}-{status}"
                    send = self.world.send(id, route)
                    answer = dataclasses.replace(UNMARKED_REFUSAL, status=status)
                    commands = self.world.answer(send, answer)
                    self.assertEqual(command_names(commands), ["FailRequest"])
                    fail = only_command(commands, "FailRequest")
                    self.assertIs(fail.verdict, Verdict.MAY_HAVE_RUN)
                    self.assertIsNone(fail.retry_after)


class RepeatableTest(unittest.TestCase):
    def setUp(self):
        self.world = DirectWorld()

    def test_server_error_is_retried_elsewhere_once(self):
        send = self.world.send("r", LOOKUP)
        retry = only_command(self.world.answer(send, SERVER_ERROR), "SendAttempt")
        self.assertNotEqual(retry.target, send.target)
        self.world.handle(AttemptConnected(retry.attempt))
        self.assertEqual(
            command_names(self.world.answer(retry, SERVER_ERROR)), ["DeliverAnswer"]
        )

    def test_status_of_a_refusal_without_proof_is_delivered(self):
        send = self.world.send("r", LOOKUP)
        retry = only_command(self.world.answer(send, UNMARKED_REFUSAL), "SendAttempt")
        self.world.handle(AttemptConnected(retry.attempt))
        self.assertEqual(
            command_names(self.world.answer(retry, UNMARKED_REFUSAL)),
            ["DeliverAnswer"],
        )

    def test_hang_is_retried_elsewhere_within_the_objective(self):
        send = self.world.send("r", LOOKUP)
        self.world.now = LOOKUP.objective * 0.8
        retry = only_command(self.world.handle(Tick()), "SendAttempt")
        self.assertNotEqual(retry.target, send.target)


class RefusalTest(unittest.TestCase):
    def test_request_without_a_target_is_refused_immediately(self):
        world = DirectWorld(shops=0)
        fail = only_command(world.receive("r", ORDER), "FailRequest")
        self.assertIs(fail.reason, Reason.NO_TARGET)
        self.assertIs(fail.verdict, Verdict.NOT_RUN)
        self.assertGreater(fail.retry_after, 0)

    def test_request_whose_targets_are_all_unreachable_is_refused_after_one_try(self):
        world = DirectWorld(shops=3)
        commands = world.receive("r", ORDER)
        for _ in range(3):
            send = only_command(commands, "SendAttempt")
            commands = world.handle(AttemptFailed(send.attempt, *UNREACHABLE))
        fail = only_command(commands, "FailRequest")
        self.assertIs(fail.reason, Reason.NO_TARGET)
        self.assertIs(fail.verdict, Verdict.NOT_RUN)
        self.assertGreater(fail.retry_after, 0)

    def test_request_that_cannot_start_in_time_is_refused_immediately(self):
        world = DirectWorld(engines=1)
        commands = world.receive("r", SHORT, tokens=300_000, time_limit=0.5)
        fail = only_command(commands, "FailRequest")
        self.assertIs(fail.reason, Reason.DEADLINE_INFEASIBLE)

    def test_stopping_entry_refuses_requests(self):
        world = DirectWorld()
        world.handle(StopRequested())
        self.assertIn("SendAttempt", command_names(world.receive("a", SHORT)))
        world.now = 7.0
        fail = only_command(world.receive("b", SHORT), "FailRequest")
        self.assertIs(fail.reason, Reason.STOPPING)
        self.assertEqual(fail.retry_after, 0.0)

    def test_retries_end_with_the_budget(self):
        world = DirectWorld(shops=3)
        commands = world.receive("r", LOOKUP)
        for _ in range(200):
            sends = [
                command
                for command in commands
                if type(command).__name__ == "SendAttempt"
            ]
            if not sends:
                break
            world.handle(AttemptConnected(sends[0].attempt))
            commands = world.handle(AnswerHeadReceived(sends[0].attempt, TARGET_FULL))
        fail = only_command(commands, "FailRequest")
        self.assertIs(fail.reason, Reason.RETRY_BUDGET)
        self.assertIs(fail.verdict, Verdict.NOT_RUN)

    def test_refusal_of_an_attempt_that_was_not_sent_proves_nothing_of_others(self):
        world = DirectWorld(shops=3)
        send = world.send("r", LOOKUP)
        retry = only_command(world.answer(send, SERVER_ERROR), "SendAttempt")
        for target in list(world.board.targets):
            world.handle(TargetUnlisted(target))
        commands = world.handle(AnswerHeadReceived(retry.attempt, TARGET_FULL))
        fail = only_command(commands, "FailRequest")
        self.assertIs(fail.verdict, Verdict.MAY_HAVE_RUN)

    def test_refusal_after_a_part_of_the_answer_proves_nothing(self):
        world = DirectWorld(engines=4)
        say = dataclasses.replace(SHORT, repeatable=False, max_attempts=1)
        send = world.send("r", say)
        world.stream(send)
        commands = world.handle(AnswerHeadReceived(send.attempt, TARGET_FULL))
        self.assertNotIn("SendAttempt", command_names(commands))
        self.assertIn("AbortAnswer", command_names(commands))

    def test_attempt_on_a_dead_target_may_have_run(self):
        world = DirectWorld(engines=2)
        send = world.send("r", SHORT)
        commands = world.handle(TargetProbed(send.target.target, False))
        retry = only_command(commands, "SendAttempt")
        world.handle(AttemptConnected(retry.attempt))
        for target in list(world.board.targets):
            world.handle(TargetUnlisted(target))
        fail = only_command(
            world.handle(AnswerHeadReceived(retry.attempt, TARGET_FULL)), "FailRequest"
        )
        self.assertIs(fail.verdict, Verdict.MAY_HAVE_RUN)


class TargetListTest(unittest.TestCase):
    def test_leaving_target_gets_no_new_requests(self):
        world = DirectWorld(shops=2)
        world.add_target("s0", "shop", leaving=True)
        for number in range(5):
            send = world.send(f"r{number}", ORDER)
            self.assertEqual(send.target.target, "s1")

    def test_new_incarnation_starts_without_work(self):
        world = DirectWorld(shops=1)
        world.send("r", ORDER)
        self.assertEqual(len(world.board.targets["s0"].work_items), 1)
        world.add_target("s0", "shop", started_at=2)
        self.assertEqual(len(world.board.targets["s0"].work_items), 0)

    def test_unlisted_target_is_removed_immediately(self):
        world = DirectWorld(shops=1)
        world.handle(TargetUnlisted("s0"))
        self.assertNotIn("s0", world.board.targets)

    def test_repeated_unlisting_does_not_extend_the_grace_period(self):
        world = DirectWorld(shops=1)
        world.handle(StoreLost())
        for now in (0.0, 1.0):
            world.now = now
            world.handle(TargetUnlisted("s0"))
        world.now = 2.0
        world.handle(Tick())
        self.assertNotIn("s0", world.board.targets)

    def test_lapsed_target_is_removed_when_another_has_its_address(self):
        world = DirectWorld(shops=2)
        world.handle(StoreLost())
        send = world.send("r", LOOKUP)
        world.handle(TargetUnlisted(send.target.target))
        world.handle(AnswerHeadReceived(send.attempt, WRONG_INSTANCE))
        self.assertNotIn(send.target.target, world.board.targets)


class ShutdownTest(unittest.TestCase):
    """Requests that are accepted after a stop signal can be finished.

    In intranett, mix 987583136198, a stream that was accepted 3.3 s after the
    signal was aborted at the end of the grace period, after 4.2 s.  Callers of
    a single entry reached it twice and were refused twice.
    """

    def setUp(self):
        self.world = DirectWorld()
        self.world.handle(StopRequested())

    def is_accepted(self, now, route, **fields):
        self.world.now = now
        commands = self.world.receive(f"r{now}", route, **fields)
        return command_names(commands)[0] == "SendAttempt"

    def test_every_request_is_accepted_at_first(self):
        self.assertTrue(self.is_accepted(2.0, SHORT, output_tokens=80 * 46))

    def test_long_answer_is_refused_once_it_may_be_aborted(self):
        self.assertFalse(self.is_accepted(3.3, SHORT, output_tokens=80 * 46))

    def test_short_answer_is_accepted_while_it_can_be_finished(self):
        self.assertTrue(self.is_accepted(4.0, SHORT, output_tokens=20 * 46))
        self.assertFalse(self.is_accepted(6.5, SHORT, output_tokens=20 * 46))

    def test_call_is_accepted_while_its_timeout_allows(self):
        self.assertTrue(self.is_accepted(6.5, ORDER))
        self.assertFalse(self.is_accepted(7.2, ORDER))


class PeerTest(unittest.TestCase):
    def setUp(self):
        self.world = DirectWorld()

    def update_peers(self, *peers, unresponsive=()):
        entry_names = frozenset({"entry-1", *peers})
        self.world.handle(PeersUpdated(entry_names, frozenset(unresponsive)))

    def test_entry_without_peer_updates_shifts_its_order(self):
        self.update_peers("entry-0", "entry-2", "entry-3", unresponsive=["entry-3"])
        self.assertEqual(self.world.board.placement_offset, 0.25)

    def test_entry_with_all_peer_updates_uses_the_shared_order(self):
        self.update_peers("entry-0", unresponsive=["entry-0"])
        self.update_peers("entry-0")
        self.assertEqual(self.world.board.placement_offset, 0.0)

    def test_store_is_resynced_when_a_peer_stays_ahead(self):
        self.world.handle(StoreRevisionSeen(StoreRevision(1, 5)))
        for now, expected in ((0.0, []), (0.9, []), (1.2, ["ResyncStore"])):
            self.world.now = now
            commands = self.world.handle(
                PeerUpdateReceived("entry-2", store_revision=StoreRevision(1, 6))
            )
            self.assertEqual(command_names(commands), expected)


class BoardTest(unittest.TestCase):
    def test_work_is_empty_when_all_requests_have_ended(self):
        world = DirectWorld()
        for number in range(20):
            send = world.send(f"r{number}", SHORT)
            world.stream(send)
            if number % 2:
                world.handle(AnswerCompleted(send.attempt, 0))
            else:
                world.handle(CallerDisconnected(f"r{number}"))
        for view in world.board.targets.values():
            self.assertEqual(view.work_items, {})

    def test_request_is_refused_without_a_deployment(self):
        world = DirectWorld(deployment=Deployment(version=1), engines=0, shops=0)
        fail = only_command(
            world.handle(RequestReceived(make_inbound("r", SHORT))), "FailRequest"
        )
        self.assertIs(fail.verdict, Verdict.NOT_RUN)


class ScaleOutTest(unittest.TestCase):
    """Empty targets take new work from the moment that they are listed."""

    def test_empty_engines_take_the_next_prompts_of_a_loaded_fleet(self):
        world = DirectWorld(engines=4)
        for number in range(24):
            world.stream(world.send(f"old-{number}", SHORT))
        for number in range(4, 6):
            world.add_target(f"e{number}", "model")
        targets = [
            world.send(f"new-{number}", SHORT).target.target for number in range(8)
        ]
        self.assertLessEqual({"e4", "e5"}, set(targets))
        self.assertGreaterEqual(sum(target in ("e4", "e5") for target in targets), 6)

    def test_empty_target_takes_the_next_call_of_a_loaded_service(self):
        world = DirectWorld(shops=2)
        for number in range(4):
            world.send(f"old-{number}", LOOKUP)
        world.add_target("s9", "shop")
        targets = [
            world.send(f"new-{number}", LOOKUP).target.target for number in range(2)
        ]
        self.assertEqual(targets, ["s9", "s9"])


class CollisionTest(unittest.TestCase):
    """Several entries have chosen the last slot of a target."""

    def setUp(self):
        self.world = DirectWorld()
        self.send = self.world.send("r", SHORT)
        self.target = self.send.target.target

    def take_slots(self, count, placed_at=0.0, owner="entry-0", **fields):
        """Let a peer report prompts on the target; return the commands."""
        work_items = tuple(
            WorkItem(
                WorkItemKey(owner, number),
                self.target,
                memory=5_000,
                events_left=20,
                placed_at=placed_at,
                prefill_time=0.02,
                expected_prefill_end=0.02,
                **fields,
            )
            for number in range(count)
        )
        return self.world.handle(PeerUpdateReceived(owner, work_items))

    def test_prompt_without_a_slot_is_sent_elsewhere(self):
        commands = self.take_slots(ENGINE.slots)
        self.assertEqual(command_names(commands), ["CancelAttempt", "SendAttempt"])
        moved = only_command(commands, "SendAttempt")
        self.assertNotEqual(moved.target.target, self.target)
        self.assertEqual(
            only_command(commands, "CancelAttempt").attempt, self.send.attempt
        )
        view = self.world.board.targets[self.target]
        self.assertEqual(len(view.work_items), ENGINE.slots)

    def test_prompt_with_a_slot_stays(self):
        self.assertEqual(command_names(self.take_slots(ENGINE.slots - 1)), [])

    def test_first_of_simultaneous_prompts_stays(self):
        later = 0.02  # seconds, more than counts as simultaneous
        self.assertEqual(command_names(self.take_slots(ENGINE.slots, later)), [])
        self.assertEqual(
            command_names(self.take_slots(ENGINE.slots, owner="entry-2")), []
        )

    def test_decoding_prompts_have_their_slots(self):
        self.take_slots(ENGINE.slots - 1, 0.5, "entry-2", decoding=True)
        commands = self.take_slots(1)
        self.assertIn("SendAttempt", command_names(commands))

    def test_started_answer_stays(self):
        self.world.stream(self.send)
        self.assertEqual(command_names(self.take_slots(ENGINE.slots)), [])

    def test_prompt_stays_where_no_target_answers_in_time(self):
        for number in range(4):
            if f"e{number}" != self.target:
                self.world.handle(TargetUnlisted(f"e{number}"))
        self.assertEqual(command_names(self.take_slots(ENGINE.slots)), [])

    def test_prompt_that_may_not_be_repeated_stays(self):
        route = dataclasses.replace(SHORT, repeatable=False)
        send = self.world.send("once", route)
        self.target = send.target.target
        commands = self.take_slots(ENGINE.slots)
        cancelled = [c for c in commands if type(c).__name__ == "CancelAttempt"]
        self.assertNotIn(send.attempt, [command.attempt for command in cancelled])

    def test_moves_are_limited_by_the_retry_budget(self):
        self.world.handle(PeersUpdated(frozenset({"entry-1"}), complete=False))
        self.assertEqual(command_names(self.take_slots(ENGINE.slots)), [])
