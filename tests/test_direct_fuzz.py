"""A direct entry's decisions under any order of events, against an oracle.

The oracle knows what each target ran and what each caller was told.
"""

import collections

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
    AttemptSent,
    EventsRelayed,
    PeersUpdated,
    PeerUpdateReceived,
    StoreLost,
    StoreRegained,
    TargetProbed,
    TargetUnlisted,
)
from chicorycove.lifecycle import (
    AnswerCompleted,
    AttemptFailed,
    AttemptRefused,
    CallerDisconnected,
    MemoryReserved,
    StopRequested,
    Tick,
)

from .direct import BROKEN, FULL, LONG, LOOKUP, OK, ORDER, SHORT, DirectWorld

ROUTES = {"short": SHORT, "long": LONG, "order": ORDER, "lookup": LOOKUP}


class DirectMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = DirectWorld(engines=4, shops=3)
        self.count = 0
        self.routes = {}
        self.live = {}  # attempt: its command, while its connection may act
        self.sent = set()  # attempts whose bytes went out
        self.refused = set()  # attempts whose target said that it ran nothing
        self.headed = set()
        self.asked = {}  # reservation: its command, while it is unanswered
        self.held = collections.Counter()
        self.ended = {}  # request: the last command to its caller
        self.passed = {}  # request: the last event that its caller has

    def handle(self, event):
        for command in self.world.handle(event):
            self.carry_out(command)

    def carry_out(self, command):
        match type(command).__name__:
            case "SendAttempt":
                id = command.attempt.request
                assert id not in self.ended, "sent after its end"
                self.live = {k: v for k, v in self.live.items() if k.request != id}
                self.live[command.attempt] = command
                assert command.last_event_id == self.passed.get(
                    id
                ), "wrong place to go on"
            case "CancelAttempt":
                self.live.pop(command.attempt, None)
            case "ReserveMemory":
                if command.attempt not in self.held:
                    self.asked[command.attempt] = command
                    self.held[command.attempt] = 1
            case "ReleaseMemory":
                assert self.held.pop(command.attempt, 0), "released what is not held"
                self.asked.pop(command.attempt, None)
            case "DeliverAnswer" | "FinishAnswer" | "AbortAnswer":
                self.end(command.request, command)
            case "FailRequest":
                self.end(command.request, command)
                ran = self.ran(command.request)
                if command.verdict is Verdict.NOT_RUN:
                    assert not ran, "said not to have run, but may have"

    def end(self, id, command):
        assert id not in self.ended, "two ends"
        self.ended[id] = command
        self.live = {k: v for k, v in self.live.items() if k.request != id}

    def ran(self, id):
        return [x for x in self.sent if x.request == id and x not in self.refused]

    @rule(name=st.sampled_from(sorted(ROUTES)), tokens=st.integers(1_000, 900_000))
    def arrive(self, name, tokens):
        self.count += 1
        id = f"r{self.count}"
        route = ROUTES[name]
        self.routes[id] = route
        size = min(tokens, 20_000) if name == "short" else tokens
        for command in self.world.receive(id, route, tokens=size):
            self.carry_out(command)

    def pick(self, data, among):
        among = sorted(among, key=str)
        return data.draw(st.sampled_from(among)) if among else None

    @rule(data=st.data())
    def connect(self, data):
        attempt = self.pick(data, set(self.live) - self.sent)
        if attempt is not None:
            self.sent.add(attempt)
            self.handle(AttemptSent(attempt))

    @rule(data=st.data())
    def fail_to_connect(self, data):
        attempt = self.pick(data, set(self.live) - self.sent)
        if attempt is not None:
            del self.live[attempt]
            reason = Reason.TARGET_UNREACHABLE
            self.handle(AttemptFailed(attempt, reason, Verdict.NOT_RUN))

    @rule(data=st.data(), answer=st.sampled_from([OK, OK, BROKEN, FULL]))
    def answer(self, data, answer):
        attempt = self.pick(data, (set(self.live) & self.sent) - self.headed)
        if attempt is None:
            return
        self.headed.add(attempt)
        if answer.not_run:
            self.refused.add(attempt)
        self.handle(AnswerHeadReceived(attempt, answer))
        route = self.routes[attempt.request]
        if attempt in self.live and not (route.streamed and answer is OK):
            self.handle(AnswerReceived(attempt, answer))

    @rule(data=st.data(), events=st.integers(1, 3))
    def write(self, data, events):
        attempt = self.pick(data, set(self.live) & self.headed)
        if attempt is not None:
            last = self.passed.get(attempt.request, 0) + events
            self.passed[attempt.request] = last
            self.handle(EventsRelayed(attempt, events, last))

    @rule(data=st.data())
    def finish(self, data):
        attempt = self.pick(data, set(self.live) & self.headed)
        if attempt is not None and attempt.request in self.passed:
            self.handle(AnswerCompleted(attempt, 0))

    @rule(data=st.data())
    def cut(self, data):
        attempt = self.pick(data, set(self.live) & self.sent)
        if attempt is not None:
            del self.live[attempt]
            reason = Reason.STREAM_BROKEN
            self.handle(AttemptFailed(attempt, reason, Verdict.MAY_HAVE_RUN))

    @rule(data=st.data(), granted=st.booleans())
    def order(self, data, granted):
        reservation = self.pick(data, self.asked)
        if reservation is not None:
            del self.asked[reservation]
            if granted:
                self.handle(MemoryReserved(reservation))
            else:
                self.handle(AttemptRefused(reservation, Reason.MEMORY_FULL))

    @rule(data=st.data())
    def hang_up(self, data):
        id = self.pick(data, set(self.world.board.requests))
        if id is not None:
            self.handle(CallerDisconnected(id))
            self.live = {k: v for k, v in self.live.items() if k.request != id}
            self.ended.setdefault(id, None)

    @rule(data=st.data(), alive=st.booleans())
    def probe(self, data, alive):
        target = self.pick(data, set(self.world.board.targets))
        if target is not None:
            self.handle(TargetProbed(target, alive))

    @rule(seconds=st.floats(0.001, 3.0))
    def wait(self, seconds):
        self.world.now += seconds
        self.handle(Tick())

    @rule(number=st.integers(0, 3), leaving=st.booleans(), started_at=st.integers(1, 3))
    def list_engine(self, number, leaving, started_at):
        self.world.add(f"e{number}", "model", leaving, started_at)

    @rule(number=st.integers(0, 2))
    def unlist(self, number):
        self.handle(TargetUnlisted(f"s{number}"))
        self.world.add(f"s{number}", "shop", started_at=self.count)

    @rule(away=st.booleans())
    def store(self, away):
        self.handle(StoreLost() if away else StoreRegained())

    @rule(number=st.integers(1, 9), entries=st.integers(1, 5))
    def peer(self, number, entries):
        self.handle(PeersUpdated(frozenset(f"p{n}" for n in range(entries))))
        self.handle(PeerUpdateReceived("p1", (), (WorkItemKey("p1", number),), ("e0",)))

    @precondition(lambda self: self.count > 20)
    @rule()
    def stop(self):
        self.handle(StopRequested())

    @invariant()
    def what_may_not_be_repeated_runs_once(self):
        for id, route in self.routes.items():
            if not route.repeatable:
                assert len(self.ran(id)) <= 1, id

    @invariant()
    def what_may_be_repeated_keeps_to_its_attempts(self):
        # A target that was found dead runs nothing, so its attempt is free.
        for id, route in self.routes.items():
            state = self.world.board.requests.get(id)
            if state is not None:
                assert state.runs <= route.max_attempts, id

    @invariant()
    def nothing_is_kept_of_ended_requests(self):
        board = self.world.board
        ids = set(board.requests)
        assert not ids & set(self.ended)
        assert {x.request for x in self.held} <= ids
        own = [
            key
            for view in board.targets.values()
            for key in view.work_items
            if key.owner == "entry-1"
        ]
        known = {
            work.key for state in board.requests.values() for work in state.work_items
        }
        assert set(own) <= known

    def teardown(self):
        # Past every deadline nothing is left unanswered.
        for _ in range(40):
            self.world.now += 1.0
            self.handle(Tick())
        assert not self.world.board.requests
        assert not self.held


class DirectFuzzTest(DirectMachine.TestCase):
    """Runs the machine, under a name that a test process can load."""


DirectFuzzTest.settings = settings(
    max_examples=60, stateful_step_count=60, deadline=None, derandomize=True
)
