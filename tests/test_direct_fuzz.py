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
    BufferBoundExceeded,
    CrashReport,
    DomainEvacuated,
    DomainReadmitted,
    EventsRelayed,
    PeersUpdated,
    PeerUpdateReceived,
    QuarantineReport,
    RateLimitReport,
    StoreLost,
    StoreRegained,
    StreamClosed,
    TargetAnswer,
    TargetAnswered,
    TargetListed,
    TargetProbed,
    TargetUnlisted,
    TraitsAnswered,
)
from chicorycove.direct.settings import DirectSettings
from chicorycove.direct.store_revision import StoreRevision
from chicorycove.identity import AgentId
from chicorycove.lifecycle import (
    AnswerCompleted,
    AttemptFailed,
    AttemptRefused,
    CallerDisconnected,
    FinishAnswer,
    MemoryReserved,
    StopRequested,
    Tick,
)

from .direct import (
    LONG,
    LOOKUP,
    OK,
    ORDER,
    REGIONS,
    SERVER_ERROR,
    SHORT,
    TARGET_FULL,
    DirectWorld,
    domain_of,
)

LIMITED = TargetAnswer(status=200, not_run=False, rate_limit=0.5)
BACKOFF = TargetAnswer(status=503, not_run=True, retry_after=2.0)
UNMARKED_REFUSAL = TargetAnswer(503, False, status_implies_not_run=True)
LEAVING = TargetAnswer(status=200, not_run=False, leaving=True)
NO_BACKOFF = (-math.inf, -math.inf)
LEASE = DirectSettings().reservation.lease_duration
DOMAINS = ("here", "there")
ROUTES = {"short": SHORT, "long": LONG, "order": ORDER, "lookup": LOOKUP}


class DirectMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.world = DirectWorld(engines=4, shops=3, domains=DOMAINS)
        self.evacuated = set()  # failure domains
        self.regions = {}  # request: its allowed regions, None for any
        self.request_count = 0
        self.routes = {}
        self.live = {}  # attempt: its command, while its connection is open
        self.sent = set()  # attempts whose requests were sent
        self.ended = set()  # sent attempts whose targets have ended since
        self.targets = {}  # attempt: its target
        self.refused = set()  # attempts that their targets reported as not run
        self.answered = set()
        self.empty_ends = {}  # request: target that added none, the last event
        self.answers = {}  # attempt: its target's complete answer
        self.pending_reservations = {}  # reservation: its unanswered order
        self.held_reservations = {}  # reservation: its target, end of its lease
        self.unreleased = set()  # reservations whose leases end instead
        self.finished = {}  # request: the last command to its caller
        self.cancelled = {}  # attempt: its command, until a late answer comes
        self.backoffs = {}  # incarnation: time of its begin and its end
        self.backoff_calls = collections.Counter()  # orders and probes, by incarnation
        self.leaving = set()  # incarnations that say that they leave
        self.last_event_ids = {}  # request: id of the last event that its caller has

    def handle(self, event):
        for command in self.world.handle(event):
            self.execute(command)

    def execute(self, command):
        match type(command).__name__:
            case "SendAttempt":
                id = command.attempt.request
                assert id not in self.finished, "sent after the request ended"
                for target in command.placement.targets:
                    agent = self.world.board.targets[target].listing.agent
                    assert not self.backs_off(agent), "sent during a backoff"
                    assert agent not in self.leaving, "sent to a leaving target"
                    domain = domain_of(target, DOMAINS)
                    assert domain not in self.evacuated, "sent to an evacuated target"
                    regions = self.regions[id]
                    assert (
                        regions is None or REGIONS[domain] in regions
                    ), "sent to another region"
                self.close_attempts(id)
                self.live[command.attempt] = command
                self.targets[command.attempt] = command.target.target
                assert command.last_event_id == self.last_event_ids.get(
                    id
                ), "resumed after the wrong event"
            case "CancelAttempt":
                self.close_attempt(command.attempt)
            case "ProbeTarget":
                view = self.world.board.targets.get(command.target)
                if view is not None:
                    self.count_call(view.listing.agent)
                domain = domain_of(command.target, DOMAINS)
                assert domain not in self.evacuated, "probed an evacuated target"
            case "ReserveMemory":
                self.count_call(command.agent)
                self.end_earlier_groups(command.attempt)
                if command.attempt not in self.held_reservations:
                    domain = domain_of(command.agent.target, DOMAINS)
                    assert domain not in self.evacuated, "reserved in an evacuation"
                    self.pending_reservations[command.attempt] = command
                assert command.attempt not in self.unreleased, "renewed after its end"
                leased_until = self.world.now + LEASE
                self.held_reservations[command.attempt] = (command.agent, leased_until)
            case "ReleaseMemory":
                assert not self.is_within_backoff(command.agent), "released in one"
                assert self.held_reservations.pop(
                    command.attempt, 0
                ), "released a reservation that is not held"
                self.pending_reservations.pop(command.attempt, None)
            case "DeliverAnswer":
                self.finish_request(command.request, command)
                repeatable = self.routes[command.request].repeatable
                answer = self.answers[command.attempt]
                assert (
                    repeatable or not answer.status_implies_not_run
                ), "delivered a status that means not run, but it may have run"
            case "FinishAnswer" | "AbortAnswer":
                self.finish_request(command.request, command)
            case "FailRequest":
                self.finish_request(command.request, command)
                possible_runs = self.possible_runs(command.request)
                if command.verdict is Verdict.NOT_RUN:
                    assert (
                        not possible_runs
                    ), "verdict is not run, but the request may have run"

    def close_attempt(self, attempt):
        command = self.live.pop(attempt, None)
        if command is not None and attempt in self.sent - self.answered:
            self.cancelled[attempt] = command

    def close_attempts(self, id):
        for attempt in [attempt for attempt in self.live if attempt.request == id]:
            self.close_attempt(attempt)

    def backs_off(self, agent):
        return self.world.now < self.backoffs.get(agent, NO_BACKOFF)[1]

    def is_within_backoff(self, agent):
        """Return whether a backoff has begun before now."""
        return self.backs_off(agent) and self.world.now > self.backoffs[agent][0]

    def count_call(self, agent):
        if self.is_within_backoff(agent):
            self.backoff_calls[agent] += 1
            assert self.backoff_calls[agent] <= 2, "called during a backoff"

    def finish_request(self, id, command):
        assert id not in self.finished, "the request ended twice"
        self.finished[id] = command
        self.close_attempts(id)

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
        regions=st.sampled_from([None, None, None, ("south",), ()]),
    )
    def receive(self, name, tokens, parts, regions):
        self.request_count += 1
        id = f"r{self.request_count}"
        route = ROUTES[name]
        self.routes[id] = route
        prompt_tokens = min(tokens, 20_000) if name == "short" else tokens
        self.regions[id] = frozenset(regions) if regions is not None else None
        for command in self.world.receive(
            id, route, tokens=prompt_tokens, parts=parts, regions=self.regions[id]
        ):
            self.execute(command)

    def pick(self, data, choices):
        choices = sorted(choices, key=str)
        return data.draw(st.sampled_from(choices)) if choices else None

    @rule(data=st.data())
    def connect(self, data):
        attempt = self.pick(data, set(self.live) - self.sent)
        if attempt is not None:
            agent = self.live[attempt].target
            targets = self.live[attempt].placement.targets
            self.handle(AttemptConnected(attempt))
            if attempt in self.live:
                domains = {domain_of(target, DOMAINS) for target in targets}
                assert not domains & self.evacuated, "sent to an evacuated target"
                assert not self.backs_off(agent), "sent during a backoff"
                self.sent.add(attempt)

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
            [
                OK,
                OK,
                LIMITED,
                SERVER_ERROR,
                UNMARKED_REFUSAL,
                TARGET_FULL,
                BACKOFF,
                LEAVING,
            ]
        ),
    )
    def answer(self, data, answer):
        attempt = self.pick(data, (set(self.live) & self.sent) - self.answered)
        if attempt is None:
            return
        self.answered.add(attempt)
        if answer.not_run:
            self.refused.add(attempt)
        self.record_terms(self.live[attempt].target, answer)
        self.handle(AnswerHeadReceived(attempt, answer))
        route = self.routes[attempt.request]
        if attempt in self.live and not (route.streamed and answer.succeeded):
            self.answers[attempt] = answer
            self.handle(AnswerReceived(attempt, answer))

    def record_terms(self, agent, answer):
        now = self.world.now
        if answer.retry_after:
            began, until = self.backoffs.get(agent, NO_BACKOFF)
            if now >= until:
                began = now
                self.backoff_calls[agent] = 0
            self.backoffs[agent] = (began, max(until, now + answer.retry_after))
        if answer.leaving:
            self.leaving.add(agent)

    @rule(data=st.data(), answer=st.sampled_from([OK, BACKOFF, LEAVING]))
    def answer_late(self, data, answer):
        attempt = self.pick(data, self.cancelled)
        if attempt is not None:
            agent = self.cancelled.pop(attempt).target
            self.record_terms(agent, answer)
            self.handle(TargetAnswered(agent, answer))

    @rule(data=st.data(), events=st.integers(1, 3))
    def relay_events(self, data, events):
        attempt = self.pick(data, set(self.live) & self.answered)
        if attempt is not None:
            last_event_id = self.last_event_ids.get(attempt.request, 0) + events
            self.last_event_ids[attempt.request] = last_event_id
            self.handle(EventsRelayed(attempt, events, last_event_id))

    @rule(data=st.data(), self_delimited=st.booleans(), has_events=st.booleans())
    def complete_answer(self, data, self_delimited, has_events):
        attempt = self.pick(data, set(self.live) & self.answered)
        if attempt is None or attempt.request not in self.last_event_ids:
            return
        if self_delimited:
            self.handle(AnswerCompleted(attempt, 0))
            return
        id = attempt.request
        last_event_id = self.last_event_ids[id]
        _, earlier_id = self.empty_ends.get(id, ("", None))
        confirmed = has_events or earlier_id == last_event_id
        self.empty_ends[id] = (self.targets[attempt], last_event_id)
        self.handle(StreamClosed(attempt, has_events))
        finished = isinstance(self.finished.get(id), FinishAnswer)
        assert finished == confirmed, "ended by the empty end of one attempt"

    @rule(data=st.data())
    def break_stream(self, data):
        attempt = self.pick(data, set(self.live) & self.sent)
        if attempt is not None:
            del self.live[attempt]
            reason = Reason.STREAM_BROKEN
            self.handle(AttemptFailed(attempt, reason, Verdict.MAY_HAVE_RUN))

    @rule(
        data=st.data(),
        reason=st.sampled_from([Reason.TARGET_UNREACHABLE, Reason.STREAM_BROKEN]),
        verdict=st.sampled_from(Verdict),
    )
    def fail_at_any_time(self, data, reason, verdict):
        """Let a connection report any verdict, before or after the send."""
        attempt = self.pick(data, self.live)
        if attempt is not None:
            del self.live[attempt]
            if verdict is not Verdict.NOT_RUN:
                self.sent.add(attempt)
            self.handle(AttemptFailed(attempt, reason, verdict))

    @rule(data=st.data(), answer=st.sampled_from([BACKOFF, BACKOFF, LEAVING]))
    def answer_earlier_order(self, data, answer):
        agents = {command.target for command in self.live.values()}
        agents.update(agent for agent, _ in self.held_reservations.values())
        agent = self.pick(data, agents)
        if agent is not None:
            self.record_terms(agent, answer)
            self.handle(TargetAnswered(agent, answer))

    @rule(
        data=st.data(),
        reserved=st.booleans(),
        answer=st.sampled_from([OK, OK, BACKOFF, LEAVING]),
    )
    def answer_reservation(self, data, reserved, answer):
        reservation = self.pick(data, self.pending_reservations)
        if reservation is not None:
            agent = self.pending_reservations.pop(reservation).agent
            self.record_terms(agent, answer)
            self.handle(TargetAnswered(agent, answer, to_order=True))
            if reserved:
                self.handle(MemoryReserved(reservation))
            else:
                self.handle(AttemptRefused(reservation, Reason.MEMORY_FULL))

    @rule(data=st.data())
    def disconnect(self, data):
        id = self.pick(data, set(self.world.board.requests))
        if id is not None:
            self.handle(CallerDisconnected(id))
            self.close_attempts(id)
            self.finished.setdefault(id, None)

    @rule(data=st.data(), answerable=st.booleans())
    def exceed_buffer_bound(self, data, answerable):
        id = self.pick(data, set(self.world.board.requests))
        if id is not None:
            self.handle(BufferBoundExceeded(id, answerable))
            assert id in self.finished, "the fullest request has not ended"

    @rule(
        data=st.data(),
        result=st.sampled_from([(True, False), (False, False), (False, True)]),
    )
    def probe(self, data, result):
        target = self.pick(data, set(self.world.board.targets))
        if target is not None:
            reachable, refused = result
            if not reachable:
                for id, (ended_at, _) in list(self.empty_ends.items()):
                    if ended_at == target:
                        del self.empty_ends[id]
            if refused:
                self.ended |= {
                    attempt
                    for attempt in set(self.live) & self.sent
                    if self.targets[attempt] == target
                }
            self.handle(TargetProbed(target, reachable, refused))

    @rule(seconds=st.floats(0.001, 3.0))
    def advance_time(self, seconds):
        self.world.now += seconds
        self.handle(Tick())

    @rule(number=st.integers(0, 3), leaving=st.booleans(), started_at=st.integers(1, 3))
    def list_engine(self, number, leaving, started_at):
        self.world.add_target(f"e{number}", "model", leaving, started_at)

    @rule(id=st.sampled_from(["e0", "e1", "e2", "e3", "s0"]))
    def list_again(self, id):
        view = self.world.board.targets.get(id)
        if view is not None:
            listing = view.listing
            self.handle(TargetUnlisted(id))
            self.handle(TargetListed(listing))

    @rule(number=st.integers(0, 2))
    def replace_shop(self, number):
        self.handle(TargetUnlisted(f"s{number}"))
        self.world.add_target(f"s{number}", "shop", started_at=self.request_count)

    @rule(lost=st.booleans())
    def change_store(self, lost):
        self.handle(StoreLost() if lost else StoreRegained())

    @rule(domain=st.sampled_from(DOMAINS), evacuated=st.booleans())
    def change_evacuation(self, domain, evacuated):
        if evacuated:
            self.evacuated.add(domain)
            self.handle(DomainEvacuated(domain))
        else:
            self.evacuated.discard(domain)
            self.handle(DomainReadmitted(domain))

    @rule(number=st.integers(1, 9), entries=st.integers(1, 5))
    def receive_peer_update(self, number, entries):
        self.handle(PeersUpdated(frozenset(f"p{n}" for n in range(entries))))
        limit = RateLimitReport("e1", math.inf if number > 5 else 1.0, self.world.now)
        ended = (WorkItemKey("p1", number),)
        self.handle(
            PeerUpdateReceived("p1", (), ended, ("e0",), StoreRevision(), (limit,))
        )

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
        # An attempt on a target that has ended meanwhile does not count.
        for id, route in self.routes.items():
            request = self.world.board.requests.get(id)
            if request is not None:
                assert request.run_count <= route.max_attempts, id
            if route.repeatable:
                runs = set(self.possible_runs(id)) - self.ended
                assert len(runs) <= route.max_attempts, id

    @invariant()
    def finished_requests_leave_nothing(self):
        board = self.world.board
        ids = set(board.requests)
        assert not ids & set(self.finished)
        for reservation in self.held_reservations:
            if reservation.request not in ids:
                self.expect_lease_end(reservation)
        self.end_leases()
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

    def end_earlier_groups(self, attempt):
        for reservation in self.held_reservations:
            if (
                reservation.request == attempt.request
                and reservation.number < attempt.number
            ):
                self.expect_lease_end(reservation)

    def expect_lease_end(self, reservation):
        if reservation not in self.unreleased:
            agent, _ = self.held_reservations[reservation]
            assert self.is_within_backoff(agent), "not released"
            self.unreleased.add(reservation)

    def end_leases(self):
        for reservation in list(self.unreleased):
            if self.world.now >= self.held_reservations[reservation][1]:
                del self.held_reservations[reservation]
                self.unreleased.remove(reservation)

    def teardown(self):
        # After every deadline all requests have been answered.
        for _ in range(40):
            self.world.now += 1.0
            self.handle(Tick())
            self.finished_requests_leave_nothing()
        assert not self.world.board.requests
        assert not self.held_reservations


class DirectFuzzTest(DirectMachine.TestCase):
    """Runs the state machine under a name that a test process can load."""


DirectFuzzTest.settings = settings(
    max_examples=60, stateful_step_count=60, deadline=None, derandomize=True
)
