"""Fuzzes a direct entry's decisions with events in any order.

A model records what each target ran and what each caller received.
"""

import collections
import math

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from chicorycove import Reason, Verdict
from chicorycove.direct.board import WorkItemKey
from chicorycove.direct.event import (
    AnswerHeadReceived,
    AnswerReceived,
    AttemptConnected,
    CrashReport,
    EventsRelayed,
    PeersUpdated,
    PeerUpdateReceived,
    QuarantineReport,
    RateLimitReport,
    StoreLost,
    StoreRegained,
    StreamClosed,
    TargetAnswer,
    TargetProbed,
    TargetUnlisted,
    TraitsAnswered,
)
from chicorycove.identity import AgentId
from chicorycove.lifecycle import (
    AnswerCompleted,
    AttemptFailed,
    AttemptRefused,
    CallerDisconnected,
    MemoryReserved,
    StopRequested,
    Tick,
)

from .direct import (
    LONG,
    LOOKUP,
    OK,
    ORDER,
    SERVER_ERROR,
    SHORT,
    TARGET_FULL,
    DirectWorld,
)

LIMITED = TargetAnswer(status=200, not_run=False, rate_limit=0.5)
BACKOFF = TargetAnswer(status=503, not_run=True, retry_after=2.0)
LEAVING = TargetAnswer(status=200, not_run=False, leaving=True)
ROUTES = {"short": SHORT, "long": LONG, "order": ORDER, "lookup": LOOKUP}


class DirectMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = DirectWorld(engines=4, shops=3)
        self.request_count = 0
        self.routes = {}
        self.live = {}  # attempt: its command, while its connection is open
        self.sent = set()  # attempts whose requests were sent
        self.refused = set()  # attempts that their targets reported as not run
        self.answered = set()
        self.pending_reservations = {}  # reservation: its unanswered order
        self.held_reservations = collections.Counter()
        self.finished = {}  # request: the last command to its caller
        self.backoff_until = {}  # incarnation: time, infinite once it leaves
        self.last_event_ids = {}  # request: id of the last event that its caller has

    def handle(self, event):
        for command in self.world.handle(event):
            self.execute(command)

    def execute(self, command):
        match type(command).__name__:
            case "SendAttempt":
                id = command.attempt.request
                assert id not in self.finished, "sent after the request ended"
                backoff_until = self.backoff_until.get(command.target, -math.inf)
                assert self.world.now >= backoff_until, "sent during a backoff"
                self.live = {
                    attempt: sent
                    for attempt, sent in self.live.items()
                    if attempt.request != id
                }
                self.live[command.attempt] = command
                assert command.last_event_id == self.last_event_ids.get(
                    id
                ), "resumed after the wrong event"
            case "CancelAttempt":
                self.live.pop(command.attempt, None)
            case "ReserveMemory":
                if command.attempt not in self.held_reservations:
                    self.pending_reservations[command.attempt] = command
                    self.held_reservations[command.attempt] = 1
            case "ReleaseMemory":
                assert self.held_reservations.pop(
                    command.attempt, 0
                ), "released a reservation that is not held"
                self.pending_reservations.pop(command.attempt, None)
            case "DeliverAnswer" | "FinishAnswer" | "AbortAnswer":
                self.finish_request(command.request, command)
            case "FailRequest":
                self.finish_request(command.request, command)
                possible_runs = self.possible_runs(command.request)
                if command.verdict is Verdict.NOT_RUN:
                    assert (
                        not possible_runs
                    ), "verdict is not run, but the request may have run"

    def finish_request(self, id, command):
        assert id not in self.finished, "the request ended twice"
        self.finished[id] = command
        self.live = {
            attempt: sent
            for attempt, sent in self.live.items()
            if attempt.request != id
        }

    def possible_runs(self, id):
        return [
            attempt
            for attempt in self.sent
            if attempt.request == id and attempt not in self.refused
        ]

    @rule(
        name=st.sampled_from(sorted(ROUTES)),
        tokens=st.integers(1_000, 900_000),
        parts=st.sampled_from([(), ("a",), ("a", "b"), ("c",)]),
    )
    def receive(self, name, tokens, parts):
        self.request_count += 1
        id = f"r{self.request_count}"
        route = ROUTES[name]
        self.routes[id] = route
        prompt_tokens = min(tokens, 20_000) if name == "short" else tokens
        for command in self.world.receive(id, route, tokens=prompt_tokens, parts=parts):
            self.execute(command)

    def pick(self, data, choices):
        choices = sorted(choices, key=str)
        return data.draw(st.sampled_from(choices)) if choices else None

    @rule(data=st.data())
    def connect(self, data):
        attempt = self.pick(data, set(self.live) - self.sent)
        if attempt is not None:
            self.sent.add(attempt)
            self.handle(AttemptConnected(attempt))

    @rule(data=st.data())
    def fail_to_connect(self, data):
        attempt = self.pick(data, set(self.live) - self.sent)
        if attempt is not None:
            del self.live[attempt]
            reason = Reason.TARGET_UNREACHABLE
            self.handle(AttemptFailed(attempt, reason, Verdict.NOT_RUN))

    @rule(
        data=st.data(),
        answer=st.sampled_from(
            [OK, OK, LIMITED, SERVER_ERROR, TARGET_FULL, BACKOFF, LEAVING]
        ),
    )
    def answer(self, data, answer):
        attempt = self.pick(data, (set(self.live) & self.sent) - self.answered)
        if attempt is None:
            return
        self.answered.add(attempt)
        if answer.not_run:
            self.refused.add(attempt)
        agent = self.live[attempt].target
        view = self.world.board.targets.get(agent.target)
        if view is not None and str(view.listing.started_at) == agent.incarnation:
            self.record_backoff(agent, answer)
        self.handle(AnswerHeadReceived(attempt, answer))
        route = self.routes[attempt.request]
        if attempt in self.live and not (route.streamed and answer.succeeded):
            self.handle(AnswerReceived(attempt, answer))

    def record_backoff(self, agent, answer):
        delay = math.inf if answer.leaving else answer.retry_after or -math.inf
        backoff_until = self.backoff_until.get(agent, -math.inf)
        self.backoff_until[agent] = max(backoff_until, self.world.now + delay)

    @rule(data=st.data(), events=st.integers(1, 3))
    def relay_events(self, data, events):
        attempt = self.pick(data, set(self.live) & self.answered)
        if attempt is not None:
            last_event_id = self.last_event_ids.get(attempt.request, 0) + events
            self.last_event_ids[attempt.request] = last_event_id
            self.handle(EventsRelayed(attempt, events, last_event_id))

    @rule(data=st.data(), self_delimited=st.booleans())
    def complete_answer(self, data, self_delimited):
        attempt = self.pick(data, set(self.live) & self.answered)
        if attempt is not None and attempt.request in self.last_event_ids:
            self.handle(
                AnswerCompleted(attempt, 0) if self_delimited else StreamClosed(attempt)
            )

    @rule(data=st.data())
    def break_stream(self, data):
        attempt = self.pick(data, set(self.live) & self.sent)
        if attempt is not None:
            del self.live[attempt]
            reason = Reason.STREAM_BROKEN
            self.handle(AttemptFailed(attempt, reason, Verdict.MAY_HAVE_RUN))

    @rule(data=st.data(), reserved=st.booleans())
    def answer_reservation(self, data, reserved):
        reservation = self.pick(data, self.pending_reservations)
        if reservation is not None:
            del self.pending_reservations[reservation]
            if reserved:
                self.handle(MemoryReserved(reservation))
            else:
                self.handle(AttemptRefused(reservation, Reason.MEMORY_FULL))

    @rule(data=st.data())
    def disconnect(self, data):
        id = self.pick(data, set(self.world.board.requests))
        if id is not None:
            self.handle(CallerDisconnected(id))
            self.live = {
                attempt: sent
                for attempt, sent in self.live.items()
                if attempt.request != id
            }
            self.finished.setdefault(id, None)

    @rule(data=st.data(), reachable=st.booleans())
    def probe(self, data, reachable):
        target = self.pick(data, set(self.world.board.targets))
        if target is not None:
            self.handle(TargetProbed(target, reachable))

    @rule(seconds=st.floats(0.001, 3.0))
    def advance_time(self, seconds):
        self.world.now += seconds
        self.handle(Tick())

    @rule(number=st.integers(0, 3), leaving=st.booleans(), started_at=st.integers(1, 3))
    def list_engine(self, number, leaving, started_at):
        self.world.add_target(f"e{number}", "model", leaving, started_at)

    @rule(number=st.integers(0, 2))
    def replace_shop(self, number):
        self.handle(TargetUnlisted(f"s{number}"))
        self.world.add_target(f"s{number}", "shop", started_at=self.request_count)

    @rule(lost=st.booleans())
    def change_store(self, lost):
        self.handle(StoreLost() if lost else StoreRegained())

    @rule(number=st.integers(1, 9), entries=st.integers(1, 5))
    def receive_peer_update(self, number, entries):
        self.handle(PeersUpdated(frozenset(f"p{n}" for n in range(entries))))
        limit = RateLimitReport("e1", math.inf if number > 5 else 1.0, self.world.now)
        ended = (WorkItemKey("p1", number),)
        self.handle(PeerUpdateReceived("p1", (), ended, ("e0",), 0, (limit,)))

    @rule(part=st.sampled_from("abc"), crashes=st.integers(1, 4))
    def receive_crash_reports(self, part, crashes):
        reports = tuple(
            CrashReport(AgentId(f"x{number}", "1"), (part,), self.world.now)
            for number in range(crashes)
        )
        self.handle(PeerUpdateReceived("p1", crashes=reports))

    @rule(part=st.sampled_from("abc"), answered=st.booleans())
    def receive_quarantine(self, part, answered):
        now = self.world.now
        if answered:
            update = {"answered": (TraitsAnswered((part,), now),)}
        else:
            report = QuarantineReport((part,), now, now + 20.0, 0, now)
            update = {"quarantines": (report,)}
        self.handle(PeerUpdateReceived("p1", **update))

    @precondition(lambda self: self.request_count > 20)
    @rule()
    def stop(self):
        self.handle(StopRequested())

    @invariant()
    def non_repeatable_requests_run_once(self):
        for id, route in self.routes.items():
            if not route.repeatable:
                assert len(self.possible_runs(id)) <= 1, id

    @invariant()
    def repeatable_requests_stay_within_max_attempts(self):
        # An attempt on a target that was found dead does not count.
        for id, route in self.routes.items():
            request = self.world.board.requests.get(id)
            if request is not None:
                assert request.run_count <= route.max_attempts, id

    @invariant()
    def finished_requests_leave_nothing(self):
        board = self.world.board
        ids = set(board.requests)
        assert not ids & set(self.finished)
        assert {reservation.request for reservation in self.held_reservations} <= ids
        own_keys = [
            key
            for view in board.targets.values()
            for key in view.work_items
            if key.owner == "entry-1"
        ]
        expected_keys = {
            item.key
            for request in board.requests.values()
            for item in request.work_items
        }
        assert set(own_keys) <= expected_keys

    def teardown(self):
        # After every deadline all requests have been answered.
        for _ in range(40):
            self.world.now += 1.0
            self.handle(Tick())
        assert not self.world.board.requests
        assert not self.held_reservations


class DirectFuzzTest(DirectMachine.TestCase):
    """Runs the state machine under a name that a test process can load."""


DirectFuzzTest.settings = settings(
    max_examples=60, stateful_step_count=60, deadline=None, derandomize=True
)
