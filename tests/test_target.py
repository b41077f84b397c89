"""Tests an agent's decisions under load: reports, refusals, lapsed owners."""

import unittest

from chicorycove.backlog import Backlog, BacklogSettings
from chicorycove.command import (
    ReportAccepted,
    ReportRefused,
    ReportReserved,
    RunAttempt,
)
from chicorycove.event import (
    AnswerStarted,
    AttemptOffer,
    OwnerHeartbeatReceived,
    ReserveRequested,
    RunFinished,
    StartRequested,
)
from chicorycove.gate import Gate, GateSettings
from chicorycove.identity import AgentId, AttemptId
from chicorycove.ledger import Ledger, LedgerSettings
from chicorycove.lifecycle import Tick
from chicorycove.reason import Reason
from chicorycove.target import TargetBoard, TargetController

AGENT = AgentId("t", "1")
MEMORY = 100_000  # tokens


def offer(number, prefill, memory=1000, deadline=1000.0, grouped=False, owner="e"):
    return AttemptOffer(
        AttemptId("r", number, "n"),
        owner,
        AGENT.incarnation,
        deadline,
        0,
        prefill=prefill,
        memory=memory,
        grouped=grouped,
    )


class TargetLoadTest(unittest.TestCase):
    def setUp(self):
        board = TargetBoard(
            gate=Gate(AGENT, GateSettings()),
            ledger=Ledger(MEMORY, LedgerSettings(lease_duration=3.0)),
            backlog=Backlog(BacklogSettings()),
            max_running=2,
        )
        self.target = TargetController(AGENT, board)
        self.target.handle(OwnerHeartbeatReceived("e"), 0.0)

    def start(self, *args, now=0.0, **kwargs):
        return self.target.handle(StartRequested(offer(*args, **kwargs)), now)

    def test_running_and_queued_prompts_are_reported(self):
        self.start(1, prefill=20_000)
        self.start(2, prefill=1000)
        self.start(3, prefill=500)
        load = self.target.load
        self.assertEqual((load.running, load.queued), (2, 1))
        self.assertEqual(load.queued_prefill, 21_500)
        self.assertEqual(load.queued_long, 20_000)

    def test_prompt_is_not_reported_once_its_answer_started(self):
        self.start(1, prefill=20_000)
        self.target.handle(AnswerStarted(AttemptId("r", 1, "n"), True), 1.0)
        self.assertEqual(self.target.load.queued_prefill, 0)
        self.target.handle(RunFinished(AttemptId("r", 1, "n")), 2.0)
        self.assertEqual(self.target.load.memory_free, MEMORY)

    def test_infeasible_deadline_is_refused_immediately(self):
        self.start(1, prefill=10_000)
        self.target.handle(AnswerStarted(AttemptId("r", 1, "n"), True), 1.0)
        self.target.handle(RunFinished(AttemptId("r", 1, "n")), 1.0)
        self.start(2, prefill=50_000, now=1.0)
        (refused,) = self.start(3, prefill=10_000, deadline=5.0, now=1.0)
        self.assertEqual(refused.reason, Reason.DEADLINE_INFEASIBLE)
        self.assertEqual(refused.retry_after, 2.5)
        accepted, run = self.start(4, prefill=10_000, deadline=20.0, now=1.0)
        self.assertEqual(accepted, ReportAccepted(AttemptId("r", 4, "n")))
        self.assertEqual(run, RunAttempt(AttemptId("r", 4, "n")))

    def test_lapsed_owner_leaves_no_reservation(self):
        for number in (1, 2):
            member = offer(number, 0, MEMORY, grouped=True, owner="lapsing")
            self.target.handle(OwnerHeartbeatReceived("lapsing"), 0.0)
            commands = self.target.handle(ReserveRequested(member), 0.0)
        self.assertNotIn(ReportReserved(AttemptId("r", 2, "n")), commands)
        commands = self.target.handle(Tick(), 3.0)
        refused = [
            command.attempt.number
            for command in commands
            if isinstance(command, ReportRefused)
        ]
        self.assertEqual(refused, [2])
        for _ in range(3):
            self.target.handle(Tick(), 6.0)
        self.assertEqual(self.target.load.memory_free, MEMORY)
