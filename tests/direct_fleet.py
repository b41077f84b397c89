"""Direct entries that exchange datagrams, with simulated targets."""

import bisect
import dataclasses
import heapq
import itertools
import math
import random
import typing as t

import msgspec

from chicorycove import Reason, Verdict
from chicorycove.direct import peer_datagram
from chicorycove.direct.board import DirectBoard, TargetListing
from chicorycove.direct.dispatch import DirectDispatcher
from chicorycove.direct.event import (
    AnswerHeadReceived,
    AnswerReceived,
    AttemptConnected,
    DeploymentReceived,
    DomainEvacuated,
    DomainReadmitted,
    EventsRelayed,
    PeersUpdated,
    RequestReceived,
    StoreLost,
    StoreRegained,
    TargetAnswer,
    TargetAnswered,
    TargetListed,
    TargetProbed,
    TargetUnlisted,
)
from chicorycove.direct.route import RoutingTable
from chicorycove.direct.settings import (
    DirectSettings,
    peer_timeout,
    peer_update_interval,
)
from chicorycove.direct.store_revision import StoreRevision
from chicorycove.identity import AttemptId
from chicorycove.lifecycle import (
    AnswerCompleted,
    AttemptFailed,
    AttemptRefused,
    CallerDisconnected,
    MemoryReserved,
    Tick,
)

from .direct import DEPLOYMENT, REGIONS, domain_of, make_inbound

LINK_DELAY = 0.001  # seconds, between entries and to targets
PREFILL_TIME = 0.06  # seconds
EVENT_GAP = 0.05  # seconds
EVENT_COUNT = 10
CRASH_DELAY = 0.06  # seconds from the start of a run that crashes a target
RESET_DELAY = 0.02  # seconds until a failing target or link resets a connection
RESTART_TIME = 3.0  # seconds from a crash until its replacement is listed
LEASE_LEFT = 4.0  # seconds until an entry without the store is unlisted
UNLIST_DELAY = 1.0  # seconds from a crash until the target is no longer listed


@dataclasses.dataclass
class Arrival:
    time: float
    entry: str
    request: str
    parts: tuple[str, ...]
    fingerprint: str


@dataclasses.dataclass
class Outcome:
    command: t.Any  # the last one for the request
    arrived: float
    ended: float

    @property
    def answered(self):
        return type(self.command).__name__ in ("FinishAnswer", "DeliverAnswer")


class Target:
    """A target that may name a limit of requests per second."""

    def __init__(self, listing):
        self.listing = listing
        self.service = listing.service
        self.rate_limit = None
        self.retry_after = None  # seconds; all requests are refused with it
        self.leaving = False  # answers say that it is about to end
        self.connect_delay = LINK_DELAY  # seconds
        self.refusal_delay = 0.0  # seconds from an arrival to its refusal
        self.refusals = []  # (time, entry, seconds) of each refused request
        self.arrivals = []  # of requests, orders and probes
        self.attempts = {}  # attempt: its entry
        self.parts = []  # times at which parts of groups arrived
        self.cold_since = self.cold_until = 0.0
        self.reset_share = 0.0  # of the calls, whose connections it resets
        self.error_share = 0.0  # of the calls, which it answers with status 500

    @property
    def agent(self):
        return self.listing.agent

    def record_refusal(self, now, entry):
        self.refusals.append((now, entry, self.retry_after))

    def answer(self, now=0.0):
        return TargetAnswer(
            200,
            False,
            rate_limit=self.rate_limit,
            leaving=self.leaving,
            cold_time_left=self.cold_time_left(now),
        )

    def cold_time_left(self, now):
        """Return the time that an answer names, None if the target is warm."""
        return self.cold_until - now if now < self.cold_until else None

    def refuse(self):
        return TargetAnswer(
            503, True, retry_after=self.retry_after, leaving=self.leaving
        )

    def most_arrivals_in_backoff(self, grace):
        """Return the most requests of one entry after a refusal to it.

        Those of the first ``grace`` seconds, and those after the time that the
        refusal named, are not counted.
        """
        return max(
            (
                sum(
                    arrival.entry == entry
                    and refused_at + grace <= arrival.time < refused_at + delay
                    for arrival in self.arrivals
                )
                for refused_at, entry, delay in self.refusals
            ),
            default=0,
        )

    def most_requests(self, start, end):
        """Return the most requests and parts in a second between two times.

        Orders and probes are not counted.
        """
        calls = ("probe", "ReserveMemory", "ReleaseMemory")
        times = [a.time for a in self.arrivals if a.request not in calls]
        times = sorted(t for t in [*times, *self.parts] if start <= t < end)
        return max(
            (
                bisect.bisect_left(times, time + 1.0) - index
                for index, time in enumerate(times)
            ),
            default=0,
        )

    def count_arrivals(self, start, end):
        """Return the number of arrivals in [start, end)."""
        times = [arrival.time for arrival in self.arrivals]
        return bisect.bisect_left(times, end) - bisect.bisect_left(times, start)

    def most_arrivals(self, start, end, window):
        """Return the most arrivals in a window between two times."""
        times = [a.time for a in self.arrivals if start <= a.time < end]
        return max(
            (self.count_arrivals(time, time + window) for time in times), default=0
        )


class Entry:
    """One entry's dispatcher and the attempts that it has open."""

    def __init__(self, fleet, name, settings):
        self.fleet = fleet
        self.name = name
        self.board = DirectBoard()
        numbers = itertools.count(1)
        self.dispatcher = DirectDispatcher(
            self.board,
            settings,
            "here",
            name,
            lambda request, number: AttemptId(request, number, str(next(numbers))),
        )
        self.live = {}  # attempt: the target that it runs on
        self.cancelled = {}  # attempt: time
        self.tick_at = None
        self.paused = False
        self.waiting = []  # calls that the paused process does later
        self.cut_off = False  # neither sends nor receives datagrams
        self.resets_calls = False  # its own links to targets fail
        self.store_cut_off = False  # gets no listings of targets and entries
        self.registered_at = 0.0
        self.unregistered_at = math.inf  # its lease in the store ends then
        self.names_complete_at = 0.0
        self.heard_at = {}  # entry: time of its last datagram
        self.names = frozenset()  # entries that the store listed

    def pause(self):
        """Stop the process until it is resumed."""
        self.paused = True

    def resume(self):
        """Let the process do what it has missed."""
        self.paused = False
        waiting, self.waiting = self.waiting, []
        for function, arguments in waiting:
            function(*arguments)

    def check_peers(self):
        """Report the listed entries, and those without recent datagrams."""
        if self.paused:
            self.waiting.append((self.check_peers, ()))
            return
        if not self.store_cut_off:
            self.names = frozenset(self.fleet.listed_names())
        self.names |= {self.name}
        complete = self.fleet.now >= self.names_complete_at
        limit = self.fleet.now - peer_timeout(DirectSettings(), len(self.names))
        unresponsive = frozenset(
            name
            for name in self.names - {self.name}
            if self.heard_at.get(name, 0.0) < limit
        )
        self.handle(PeersUpdated(self.names, unresponsive, complete))
        self.fleet.call_later(0.3, self.check_peers)

    def cut_store(self):
        """Separate the entry from the store, where its lease ends later."""
        self.store_cut_off = True
        self.unregistered_at = self.fleet.now + LEASE_LEFT
        self.fleet.call_later(0.5, self.handle, StoreLost())

    def restore_store(self):
        """Let the entry list the store again, and register in it."""
        self.store_cut_off = False
        self.unregistered_at = math.inf
        self.handle(StoreRegained())
        for target in list(self.fleet.targets.values()):
            self.handle(TargetListed(target.listing))

    def freeze(self, seconds):
        """Handle no event for some time, and all of them after it."""
        self.pause()
        self.fleet.call_later(seconds, self.resume)

    def handle(self, event):
        if self.paused:
            self.waiting.append((self.handle, (event,)))
            return
        for command in self.dispatcher.handle(event, self.fleet.now):
            self.execute(command)
        due = self.board.timers.next_due
        if due is not None and (self.tick_at is None or due < self.tick_at):
            self.tick_at = due
            self.fleet.call_at(due, self.tick, due)

    def tick(self, due):
        if self.paused:
            self.waiting.append((self.tick, (due,)))
        elif self.tick_at == due:
            self.tick_at = None
            self.handle(Tick())

    def execute(self, command):
        match type(command).__name__:
            case "UpdatePeers":
                self.fleet.send_update(self, command)
            case "SendAttempt":
                self.live = {
                    attempt: target
                    for attempt, target in self.live.items()
                    if attempt.request != command.attempt.request
                }
                self.fleet.send_attempt(self, command)
            case "CancelAttempt":
                if self.live.pop(command.attempt, None) is not None:
                    self.cancelled[command.attempt] = self.fleet.now
            case "ReserveMemory" | "ReleaseMemory":
                self.fleet.call_later(LINK_DELAY, self.fleet.order, self, command)
            case "ProbeTarget":
                self.fleet.call_later(LINK_DELAY, self.probe, command.target)
            case "RecordEjection":
                self.fleet.ejection_log.append((self.fleet.now, self.name, command))
            case "LogChange":
                self.fleet.log.append((self.fleet.now, self.name, command))
            case "FinishAnswer" | "DeliverAnswer" | "FailRequest" | "AbortAnswer":
                self.fleet.end_request(command)

    def encode(self, update):
        return peer_datagram.encode(self.name, update, StoreRevision(), self.fleet.now)

    def decode(self, datagram):
        return peer_datagram.decode(datagram, self.fleet.now)

    def probe(self, target):
        if target in self.fleet.targets:
            self.fleet.record_call(self, self.fleet.targets[target], "probe")
        reachable = target in self.fleet.targets
        self.handle(TargetProbed(target, reachable, refused=not reachable))

    def send_state(self):
        if self.paused:
            self.waiting.append((self.send_state, ()))
            return
        for command in self.dispatcher.report_to_peers(self.fleet.now):
            self.execute(command)
        interval = peer_update_interval(DirectSettings(), len(self.fleet.entries))
        self.fleet.call_later(interval, self.send_state)


class OlderEntry(Entry):
    """An entry of a version whose datagrams have five fields.

    It ignores what targets say of themselves in their answers.
    """

    def handle(self, event):
        if isinstance(event, AnswerHeadReceived):
            answer = TargetAnswer(event.answer.status, event.answer.not_run)
            event = AnswerHeadReceived(event.attempt, answer)
        super().handle(event)

    def encode(self, update):
        return [cut_datagram(data) for data in super().encode(update)]

    def decode(self, datagram):
        return super().decode(cut_datagram(datagram))


def cut_datagram(data):
    """Return a datagram without the fields that an older version ignores."""
    return msgspec.msgpack.encode(msgspec.msgpack.decode(data)[:5])


class Fleet:
    """Entries and targets on a virtual clock."""

    def __init__(
        self,
        entries=5,
        engines=8,
        shops=0,
        older=0,
        seed=1,
        settings=None,
        loss=0.0,
        domains=("here",),
        deployment=DEPLOYMENT,
        watch_peers=False,
    ):
        """Start entries, some of an older version, and targets.

        The targets are spread over failure domains, of which the entries are
        in the first.
        ``loss`` is the share of the datagrams between entries that are lost.
        With ``watch_peers``, entries learn which others they hear.
        """
        self.now = 0.0
        self.random = random.Random(seed)
        self.loss = loss
        self.domains = domains
        self.evacuated = set()
        self.deployment = deployment
        self.watch_peers = watch_peers
        self.log = []
        self.ejection_log = []
        self.targets = {}
        self.event_count = EVENT_COUNT
        self.crashing_part = None
        self.crashing_fingerprint = None
        self.crash_before_head = False
        self.crashes = []  # times
        self.arrivals = []
        self.outcomes = {}
        self.parts = {}  # request: the parts of its prompt
        self.fingerprints = {}
        self.listing_delay = 0.0  # the longest until an entry gets a listing
        self._leases = {}  # entry that crashed: end of its lease
        self.arrived = {}
        self._calls = []
        self._numbers = itertools.count()
        self._listings = itertools.count(1)
        self._settings = settings or DirectSettings()
        self.entries = {}
        for number in range(engines):
            self.add_target(f"e{number}", "model")
        for number in range(shops):
            self.add_target(f"s{number}", "shop")
        for number in range(entries):
            self.add_entry(f"entry-{number}", number < older)

    def add_entry(self, name, older=False):
        """Start an entry that knows nothing of what others have learned."""
        entry = (OlderEntry if older else Entry)(self, name, self._settings)
        self.entries[name] = entry
        entry.handle(DeploymentReceived(RoutingTable(self.deployment)))
        for domain in sorted(self.evacuated):
            entry.handle(DomainEvacuated(domain))
        for target in self.targets.values():
            entry.handle(TargetListed(target.listing))
        if self.watch_peers:
            entry.heard_at = dict.fromkeys(self.entries, self.now)
            entry.check_peers()
        for other in self.entries.values():
            other.handle(PeersUpdated(frozenset(self.entries)))
        self.call_later(self.random.random() * 0.25, entry.send_state)
        return entry

    def listed_names(self):
        """Return the entries that the store lists."""
        self._leases = {
            name: end for name, end in self._leases.items() if self.now < end
        }
        registered = [
            entry.name
            for entry in self.entries.values()
            if entry.registered_at <= self.now < entry.unregistered_at
        ]
        return [*registered, *self._leases]

    def remove_entry(self, name):
        """Let an entry crash, which stays listed until its lease ends."""
        entry = self.entries.pop(name)
        entry.pause()
        self._leases[name] = self.now + LEASE_LEFT

    def start_entry(self, name, register_delay, list_delay):
        """Start an entry that registers and lists the others after delays."""
        entry = Entry(self, name, self._settings)
        entry.registered_at = self.now + register_delay
        entry.names_complete_at = self.now + list_delay
        entry.board.entry_names_complete = False
        self.entries[name] = entry
        entry.handle(DeploymentReceived(RoutingTable(self.deployment)))
        for target in self.targets.values():
            entry.handle(TargetListed(target.listing))
        entry.check_peers()
        entry.send_state()

    def add_target(self, id, service, started_at=1, cold_time_left=0.0):
        number = next(self._listings)
        address = f"10.0.0.{number % 250}:{8000 + number}"
        domain = domain_of(id, self.domains)
        listing = TargetListing(
            id,
            service,
            address,
            domain,
            8,
            False,
            started_at,
            REGIONS[domain],
            cold_time_left,
        )
        self.targets[id] = Target(listing)
        self.list_target(listing)
        return self.targets[id]

    def evacuate(self, domain, end, delays=(0.0,)):
        """Evacuate a failure domain until a time.

        Entries learn of the begin and the end after one of some delays each.
        """
        self.evacuated.add(domain)
        self._tell(DomainEvacuated(domain), delays)
        self.call_at(end, self._readmit, domain, delays)

    def _readmit(self, domain, delays):
        self.evacuated.discard(domain)
        self._tell(DomainReadmitted(domain), delays)

    def _tell(self, event, delays):
        for entry, delay in zip(self.entries.values(), itertools.cycle(delays)):
            self.call_later(delay, entry.handle, event)

    def arrivals_in(self, domain, start, end):
        """Return the arrivals at targets of a domain in [start, end)."""
        return [
            arrival
            for target in self.targets.values()
            if target.listing.failure_domain == domain
            for arrival in target.arrivals
            if start <= arrival.time < end
        ]

    def list_target(self, listing):
        """Let each entry get a listing."""
        for entry in self.entries.values():
            if not self.listing_delay:
                entry.handle(TargetListed(listing))
                continue
            delay = self.random.uniform(0.0, self.listing_delay)
            self.call_later(delay, self._deliver_listing, entry, listing)

    def _deliver_listing(self, entry, listing):
        if not entry.store_cut_off:
            entry.handle(TargetListed(listing))

    def relist(self, id, gap):
        """Let the platform drop a target, and list it again after a time."""
        self._unlist(id)
        self.call_later(gap, self._list, id)

    def _list(self, id):
        for entry in self.entries.values():
            entry.handle(TargetListed(self.targets[id].listing))

    def call_at(self, time, function, *arguments):
        call = (max(time, self.now), next(self._numbers), function, arguments)
        heapq.heappush(self._calls, call)

    def call_later(self, delay, function, *arguments):
        self.call_at(self.now + delay, function, *arguments)

    def run_until(self, end):
        while self._calls and self._calls[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self._calls)
            function(*arguments)
        self.now = end

    def load(self, route, rate, until, patience=None, **fields):
        """Let callers send requests to random entries, by Poisson.

        With a patience, in seconds, they leave without an answer after it.
        """
        time = self.now
        while True:
            time += self.random.expovariate(rate)
            if time >= until:
                return
            self.call_at(time, self.receive, route, fields, None, patience)

    def receive(self, route, fields, entry=None, patience=None):
        """Hand a request to an entry, a random one by default."""
        id = f"r{next(self._numbers)}"
        entry = entry or self.random.choice(sorted(self.entries))
        self.arrived[id] = self.now
        parts = fields.get("parts", ())
        if callable(parts):
            fields = {**fields, "parts": parts(self.random)}
        self.parts[id] = fields.get("parts", ())
        fields = {"fingerprint": f"only-{id}", **fields}
        if callable(fields["fingerprint"]):
            fields["fingerprint"] = fields["fingerprint"](self.random)
        self.fingerprints[id] = fields["fingerprint"]
        inbound = make_inbound(id, route, self.now, **fields)
        self.entries[entry].handle(RequestReceived(inbound))
        if patience is not None:
            event = CallerDisconnected(id)
            self.call_later(patience, self._leave, self.entries[entry], event)
        return id

    def _leave(self, entry, event):
        if event.request not in self.outcomes:
            for attempt in [a for a in entry.live if a.request == event.request]:
                del entry.live[attempt]
                entry.cancelled[attempt] = self.now
            entry.handle(event)

    def end_request(self, command):
        id = command.request
        self.outcomes[id] = Outcome(command, self.arrived[id], self.now)

    def answered_share(self, start, end, without=None):
        """Return the share of the requests of a time that were answered.

        Requests with the part or fingerprint ``without`` are left out.
        """
        ids = [
            id
            for id, time in self.arrived.items()
            if start <= time < end
            and without not in (*self.parts[id], self.fingerprints[id])
        ]
        answered = [
            id for id in ids if id in self.outcomes and self.outcomes[id].answered
        ]
        return len(answered) / len(ids)

    # Between entries

    def send_update(self, sender, command):
        board = sender.board
        names = board.entry_names if command.for_all_cells else board.peer_names
        others = [
            entry
            for entry in self.entries.values()
            if entry is not sender
            and entry.name in names
            and not (entry.cut_off or sender.cut_off)
        ]
        for entry, datagram in itertools.product(others, sender.encode(command)):
            if self.random.random() >= self.loss:
                self.call_later(LINK_DELAY, self._deliver_update, entry, datagram)

    def _deliver_update(self, entry, datagram):
        if entry.name in self.entries:
            update = entry.decode(datagram)
            entry.heard_at[update.owner] = self.now
            entry.handle(update)

    # Between entries and targets

    def send_attempt(self, entry, command):
        entry.live[command.attempt] = command.target.target
        target = self.targets.get(command.target.target)
        delay = target.connect_delay if target is not None else LINK_DELAY
        self.call_later(delay, self._arrive, entry, command)

    def _arrive(self, entry, command):
        if entry.paused:
            entry.waiting.append((self._arrive, (entry, command)))
            return
        attempt = command.attempt
        if attempt not in entry.live:
            return
        target = self.targets.get(command.target.target)
        if target is None:
            del entry.live[attempt]
            entry.handle(
                AttemptFailed(attempt, Reason.TARGET_UNREACHABLE, Verdict.NOT_RUN)
            )
            return
        entry.handle(AttemptConnected(attempt))
        if attempt not in entry.live:
            return
        if target.agent != command.target:
            answer = TargetAnswer(421, True, wrong_instance=True)
            entry.handle(AnswerHeadReceived(attempt, answer))
            return
        arrival = Arrival(
            self.now,
            entry.name,
            attempt.request,
            self.parts[attempt.request],
            self.fingerprints[attempt.request],
        )
        target.arrivals.append(arrival)
        self.arrivals.append(arrival)
        target.attempts[attempt] = entry
        for member in command.placement.members:
            if member.target in self.targets:
                self.targets[member.target].parts.append(self.now)
        if target.retry_after is not None:
            self.call_later(target.refusal_delay, self._refuse, entry, attempt, target)
        elif self._crashes_before_head(arrival, target):
            self.call_later(CRASH_DELAY, self.crash, target)
        elif target.service == "shop" and self._resets_call(entry, target):
            self.call_later(RESET_DELAY, self._break, entry, attempt)
        elif target.service == "shop":
            self.call_later(PREFILL_TIME, self._answer_call, entry, attempt, target)
        else:
            first = (command.last_event_id or 0) + 1
            self.call_later(
                PREFILL_TIME, self._start_stream, entry, attempt, target, first
            )

    def _refuse(self, entry, attempt, target):
        """Refuse a request, unless its connection was seen to close before."""
        cancelled_at = entry.cancelled.get(attempt, self.now)
        if cancelled_at + LINK_DELAY < self.now:
            return
        target.record_refusal(self.now, entry.name)
        self.call_later(LINK_DELAY, self._deliver_refusal, entry, attempt, target)

    def _deliver_refusal(self, entry, attempt, target):
        if attempt in entry.live:
            del entry.live[attempt]
            entry.handle(AnswerHeadReceived(attempt, target.refuse()))
        else:
            entry.handle(TargetAnswered(target.agent, target.refuse()))

    def record_call(self, entry, target, request):
        """Record the arrival of an order or a probe."""
        arrival = Arrival(self.now, entry.name, request, (), "")
        target.arrivals.append(arrival)

    def order(self, entry, command):
        """Let a target answer an order for memory."""
        target = self.targets.get(command.agent.target)
        if target is None:
            return
        self.record_call(entry, target, type(command).__name__)
        self.call_later(LINK_DELAY, self._answer_order, entry, command, target)
        if target.retry_after is not None:
            target.record_refusal(self.now, entry.name)

    def _answer_order(self, entry, command, target):
        refused = target.retry_after is not None
        answer = target.refuse() if refused else target.answer(self.now)
        entry.handle(TargetAnswered(target.agent, answer, to_order=True))
        if type(command).__name__ == "ReserveMemory":
            if refused:
                event = AttemptRefused(command.attempt, Reason.MEMORY_FULL)
            else:
                event = MemoryReserved(command.attempt)
            entry.handle(event)

    def _crashes_before_head(self, arrival, target):
        return arrival.fingerprint == self.crashing_fingerprint and (
            self.crash_before_head or target.service == "shop"
        )

    def _resets_call(self, entry, target):
        return entry.resets_calls or self._draw(target.reset_share)

    def _draw(self, share):
        """Return whether something with a probability happens."""
        return share > 0.0 and self.random.random() < share

    def _answer_call(self, entry, attempt, target):
        answer = target.answer(self.now)
        if self._draw(target.error_share):
            answer = dataclasses.replace(answer, status=500)
        if attempt in entry.live:
            entry.handle(AnswerHeadReceived(attempt, answer))
        if attempt in entry.live:
            del entry.live[attempt]
            entry.handle(AnswerReceived(attempt, answer))

    def _start_stream(self, entry, attempt, target, first):
        if attempt not in entry.live or target.listing.id not in self.targets:
            return
        entry.handle(AnswerHeadReceived(attempt, target.answer(self.now)))
        request = attempt.request
        if (
            self.crashing_part in self.parts[request]
            or self.fingerprints[request] == self.crashing_fingerprint
        ):
            self.call_later(CRASH_DELAY, self.crash, target)
        else:
            self._send_event(entry, attempt, first)

    def crash(self, target):
        """End a target and its connections; another one replaces it."""
        id = target.listing.id
        if self.targets.pop(id, None) is None:
            return
        self.crashes.append(self.now)
        for attempt, entry in target.attempts.items():
            if attempt in entry.live:
                self.call_later(LINK_DELAY, self._break, entry, attempt)
        self.call_later(UNLIST_DELAY, self._unlist, id)
        self.call_later(RESTART_TIME, self.add_target, f"{id}+", target.service)

    def _break(self, entry, attempt):
        if entry.live.pop(attempt, None) is not None:
            entry.handle(
                AttemptFailed(attempt, Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN)
            )

    def _unlist(self, id):
        for entry in self.entries.values():
            entry.handle(TargetUnlisted(id))

    def _send_event(self, entry, attempt, number):
        if attempt not in entry.live:
            return
        if number > self.event_count:
            del entry.live[attempt]
            entry.handle(AnswerCompleted(attempt, 0))
            return
        entry.handle(EventsRelayed(attempt, 1, number))
        self.call_later(EVENT_GAP, self._send_event, entry, attempt, number + 1)
