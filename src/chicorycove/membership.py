"""Which entries are alive: probes, suspicion, incarnations, majority.

Entries probe random others and pass on news of members with the probes and
their answers, after SWIM.  All times are in seconds.
"""

import dataclasses
import enum
import hashlib
import math
import random
import typing as t

frozen = dataclasses.dataclass(frozen=True, slots=True)

PERIOD = 0.5  # seconds between rounds of probes
PROBES = 2  # members probed in a round
PROBE_TIMEOUT = 0.2
INDIRECT_PROBES = 3
SUSPECT_TIMEOUT = 3.0
FORGET_AFTER = 600.0
RECLAIM_PERIOD = 2.0  # between probes of a dead member
MAX_UPDATES = 6  # members told of in one message
SPREAD_FACTOR = 3  # an update is told this many times log2(members)
POLL_SIZE = 48  # members asked when contact with most is in doubt
POLL_TIMEOUT = 0.4
SAMPLES = 2  # polls in a row that settle a doubt, where they are samples
POLL_RETRY = 1.0  # seconds from a poll without a majority to the next
MAX_STALENESS = 2.5  # an entry without contact serves no longer than this
RELAYS = 2  # entries of a failure domain that watch the store and relay


class Role(enum.Enum):
    """What a process does."""

    ENTRY = "entry"
    AGENT = "agent"


class MemberState(enum.Enum):
    """What is thought of a member; later ones override earlier ones."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@frozen
class Member:
    """A process as its peers know it."""

    name: str
    address: str
    role: Role
    region: str
    failure_domain: str
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    revision: int = 0

    def overrides(self, other: "Member") -> bool:
        """Tell whether this news replaces other news of the same member."""
        mine = (self.incarnation, self.state.value)
        return mine > (other.incarnation, other.state.value)


class ProbeKind(enum.Enum):
    """What a probe message asks or answers."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2  # to ping the target on the sender's behalf


@frozen
class Probe:
    """A probe or its answer, with news of members.

    Store age is how long ago the sender knows the store was read; None when
    it does not.
    """

    kind: ProbeKind
    number: int
    sender: Member
    target: str = ""
    updates: tuple[Member, ...] = ()
    store_age: float | None = None


@frozen
class SendMessage:
    """Send a message to a member."""

    name: str
    address: str
    message: t.Any


@dataclasses.dataclass(slots=True)
class _Pending:
    """A probe without an answer yet."""

    target: str
    sent: float
    indirect: bool = False
    asker: Member | None = None  # on whose behalf
    asker_number: int = 0


@dataclasses.dataclass(slots=True)
class _Poll:
    """A question to many members whether this one is in touch with most."""

    started: float
    asked: set[str]
    answered: set[str]


class Membership:
    """The entries as one entry knows them."""

    def __init__(
        self,
        me: Member,
        seeds: t.Iterable[Member],
        seed: int,
        now: float,
        addresses: tuple[str, ...] = (),
    ) -> None:
        self.me = me
        self.members: dict[str, Member] = {me.name: me}
        self._random = random.Random(seed)
        self._numbers = 0
        self._order: list[str] = []
        self._pending: dict[int, _Pending] = {}
        self._since: dict[str, float] = {}
        self._updates: dict[str, int] = {}
        self._poll: _Poll | None = None
        self._next_poll = now
        self._doubted = bool(addresses)
        self._agreed = 0  # polls in a row
        self._next_round = now + self._random.random() * PERIOD
        self._next_reclaim = now + RECLAIM_PERIOD
        self._addresses = addresses  # of entries whose names are not known
        self._contact_at = -math.inf if addresses else now  # with a majority
        self._store_at = -math.inf  # the store was read by me or a peer then
        for member in seeds:
            self._learn(member, now)
        self._updates.clear()  # what everyone starts with is no news

    def tick(self, now: float) -> list[SendMessage]:
        """Return the probes that are due."""
        tells = self._expire(now)
        tells += self._continue_poll(now)
        if self._doubted:
            tells += self._start_poll(now)
        if now >= self._next_round:
            self._next_round = max(self._next_round + PERIOD, now)
            for name in self._next_targets():
                tells.append(self._ping(self.members[name], now))
            tells += self._reclaim(now)
            tells += self._greet(now)
        return tells

    def receive(self, probe: Probe, now: float) -> list[SendMessage]:
        """Take a probe or an answer in, and return what to send."""
        self._meet(probe.sender, now)
        tells = []
        for update in probe.updates:
            self._learn(update, now)
        if probe.store_age is not None:
            self._store_at = max(self._store_at, now - probe.store_age)
        match probe.kind:
            case ProbeKind.PING:
                tells.append(self._answer(probe.sender, probe.number, now))
            case ProbeKind.PING_REQUEST:
                tells += self._ping_for(probe, now)
            case ProbeKind.ACK:
                tells += self._acknowledged(probe, now)
        return tells

    def leave(self, now: float) -> list[SendMessage]:
        """Tell some members that this one leaves."""
        self.me = dataclasses.replace(self.me, state=MemberState.LEFT)
        self.members[self.me.name] = self.me
        others = [m for m in self.alive() if m.name != self.me.name]
        chosen = self._random.sample(others, min(len(others), 2 * INDIRECT_PROBES))
        return [self._ping(member, now) for member in chosen]

    def set_revision(self, revision: int) -> None:
        """Have the newest revision told with each message."""
        self.me = dataclasses.replace(self.me, revision=revision)
        self.members[self.me.name] = self.me

    def store_read(self, now: float) -> None:
        """Note that this process has just read the store."""
        self._store_at = now

    def alive(self) -> list[Member]:
        """Return the members thought alive, this one included."""
        return [
            member
            for member in self.members.values()
            if member.state in (MemberState.ALIVE, MemberState.SUSPECT)
        ]

    def relays(self, failure_domain: str) -> list[Member]:
        """Return the live members of a domain, those to relay first first."""
        members = [m for m in self.alive() if m.failure_domain == failure_domain]
        members.sort(key=lambda m: (m.state.value, rank(failure_domain, m.name)))
        return members

    def watches(self, now: float) -> bool:
        """Tell whether this entry is to watch the store."""
        domain = self.relays(self.me.failure_domain)[:RELAYS]
        cut_off = not self.in_majority(now) and not self._store_fresh(now)
        return cut_off or any(member.name == self.me.name for member in domain)

    def in_majority(self, now: float) -> bool:
        """Tell whether this entry was in touch with most others just now."""
        return now - self._contact_at <= MAX_STALENESS

    def may_serve(self, now: float) -> bool:
        """Tell whether no accepted change can have passed this entry by.

        Either most entries are in touch, of which one would have brought it,
        or the store itself was read.
        """
        return self.in_majority(now) or self._store_fresh(now)

    def _store_fresh(self, now: float) -> bool:
        return now - self._store_at <= MAX_STALENESS

    def _next_targets(self) -> list[str]:
        targets: list[str] = []
        for _ in range(2):
            while self._order and len(targets) < PROBES:
                name = self._order.pop()
                if self._probed(name) and name not in targets:
                    targets.append(name)
            if not self._order:
                self._order = list(self.members)
                self._random.shuffle(self._order)
        return targets

    def _probed(self, name: str) -> bool:
        member = self.members.get(name)
        if member is None or name == self.me.name:
            return False
        return member.state in (MemberState.ALIVE, MemberState.SUSPECT)

    def _ping(self, member: Member, now: float, **pending: t.Any) -> SendMessage:
        self._numbers += 1
        self._pending[self._numbers] = _Pending(member.name, now, **pending)
        return self._tell(member, ProbeKind.PING, self._numbers, now)

    def _answer(self, member: Member, number: int, now: float) -> SendMessage:
        return self._tell(member, ProbeKind.ACK, number, now)

    def _tell(
        self, to: Member, kind: ProbeKind, number: int, now: float, target: str = ""
    ) -> SendMessage:
        age = now - self._store_at
        known = age if age <= MAX_STALENESS else None
        updates = self._next_updates(to)
        probe = Probe(kind, number, self.me, target, updates, known)
        return SendMessage(to.name, to.address, probe)

    def _next_updates(self, to: Member) -> tuple[Member, ...]:
        names = sorted(self._updates, key=self._updates.__getitem__)[:MAX_UPDATES]
        limit = SPREAD_FACTOR * max(math.log2(len(self.members) + 1), 1)
        for name in names:
            self._updates[name] += 1
            if self._updates[name] > limit:
                del self._updates[name]
        chosen = [self.members[name] for name in names if name in self.members]
        known = self.members.get(to.name, to)
        outdated = known.incarnation > to.incarnation
        if to.name not in names and (outdated or known.state is not MemberState.ALIVE):
            chosen.append(known)  # so that it can deny it
        return tuple(chosen)

    def _ping_for(self, probe: Probe, now: float) -> list[SendMessage]:
        target = self.members.get(probe.target)
        if target is None:
            return []
        return [self._ping(target, now, asker=probe.sender, asker_number=probe.number)]

    def _acknowledged(self, probe: Probe, now: float) -> list[SendMessage]:
        pending = self._pending.pop(probe.number, None)
        if pending is None:
            return []
        if pending.asker is not None:
            return [self._answer(pending.asker, pending.asker_number, now)]
        if self._poll is not None:
            self._poll.answered.add(pending.target)
        elif not pending.indirect and not self._doubted:
            self._contact_at = now  # once in doubt, only a poll settles it
        return []

    def _expire(self, now: float) -> list[SendMessage]:
        tells = []
        for number, pending in list(self._pending.items()):
            age = now - pending.sent
            if age < PROBE_TIMEOUT:
                break
            if pending.asker is not None or not self._probed(pending.target):
                if age >= PERIOD:
                    del self._pending[number]
            elif not pending.indirect:
                pending.indirect = True
                tells += self._ask_others(number, pending.target, now)
                tells += self._start_poll(now)
            elif age >= PERIOD:
                del self._pending[number]
                self._suspect(pending.target, now)
        self._settle_suspects(now)
        return tells

    def _ask_others(self, number: int, target: str, now: float) -> list[SendMessage]:
        names = {self.me.name, target}
        others = [m for m in self.alive() if m.name not in names]
        chosen = self._random.sample(others, min(len(others), INDIRECT_PROBES))
        kind = ProbeKind.PING_REQUEST
        return [self._tell(member, kind, number, now, target) for member in chosen]

    def _suspect(self, name: str, now: float) -> None:
        member = self.members[name]
        if member.state is MemberState.ALIVE:
            suspected = dataclasses.replace(member, state=MemberState.SUSPECT)
            self._learn(suspected, now)

    def _settle_suspects(self, now: float) -> None:
        for name, since in list(self._since.items()):
            member = self.members[name]
            if member.state is MemberState.SUSPECT and now - since > SUSPECT_TIMEOUT:
                dead = dataclasses.replace(member, state=MemberState.DEAD)
                self._learn(dead, now)
            elif now - since > FORGET_AFTER:
                del self._since[name]
                del self.members[name]
                self._updates.pop(name, None)

    @property
    def _alone(self) -> bool:
        """Tell whether this entry has yet to meet any other."""
        return bool(self._addresses) and len(self.members) == 1

    def _greet(self, now: float) -> list[SendMessage]:
        """Ping entries of which only the address is known."""
        if not self._alone:
            return []
        return [
            SendMessage("", address, Probe(ProbeKind.PING, 0, self.me))
            for address in self._addresses
        ]

    def _reclaim(self, now: float) -> list[SendMessage]:
        if now < self._next_reclaim:
            return []
        self._next_reclaim = now + RECLAIM_PERIOD
        dead = [m for m in self.members.values() if m.state is MemberState.DEAD]
        return [self._ping(self._random.choice(dead), now)] if dead else []

    def _start_poll(self, now: float) -> list[SendMessage]:
        if self._poll is not None or now < self._next_poll:
            return []
        others = [
            member
            for member in self.members.values()
            if member.state is not MemberState.LEFT and member.name != self.me.name
        ]
        chosen = self._random.sample(others, min(len(others), POLL_SIZE))
        domain = self.relays(self.me.failure_domain)[:RELAYS]
        relays = [m for m in domain if m.name != self.me.name and m not in chosen]
        relays = self._random.sample(relays, min(len(relays), 1))
        self._doubted = True
        self._poll = _Poll(now, {member.name for member in chosen}, set())
        tells = []
        for member in (*chosen, *relays):
            tells.append(self._ping(member, now, indirect=True))
        return tells

    def _continue_poll(self, now: float) -> list[SendMessage]:
        poll = self._poll
        if poll is None or now - poll.started < POLL_TIMEOUT:
            return []
        self._poll = None
        if not self._is_majority(poll):
            self._agreed = 0
            self._next_poll = now + POLL_RETRY
            return []
        self._agreed += 1
        if self._agreed >= (SAMPLES if len(poll.asked) == POLL_SIZE else 1):
            self._agreed = 0
            self._contact_at = now
            self._doubted = False
        return []

    def _is_majority(self, poll: _Poll) -> bool:
        if self._alone:
            return False
        asked = len(poll.asked) + 1
        reached = len(poll.asked & poll.answered) + 1
        if 2 * reached != asked:
            return 2 * reached > asked
        # One half exactly counts if it holds the lowest name.
        lowest = min(poll.asked | {self.me.name})
        return lowest == self.me.name or lowest in poll.answered

    def _meet(self, sender: Member, now: float) -> None:
        """Learn of a sender by its own word."""
        known = self.members.get(sender.name)
        if known is None or sender.overrides(known):
            self._learn(sender, now)
        elif sender.revision > known.revision and sender.name != self.me.name:
            self.members[sender.name] = dataclasses.replace(
                known, revision=sender.revision
            )

    def _learn(self, news: Member, now: float) -> None:
        if news.name == self.me.name:
            self._deny(news)
            return
        known = self.members.get(news.name)
        if known is not None and not news.overrides(known):
            return
        if known is None and news.state in (MemberState.DEAD, MemberState.LEFT):
            return
        if known is not None:
            revision = max(news.revision, known.revision)
            if news.incarnation > known.incarnation:
                revision = news.revision
            news = dataclasses.replace(news, revision=revision)
        self.members[news.name] = news
        self._updates[news.name] = 0
        if news.state is MemberState.ALIVE:
            self._since.pop(news.name, None)
        else:
            self._since[news.name] = now

    def _deny(self, news: Member) -> None:
        """Answer word of my own death with a higher incarnation."""
        if self.me.state is MemberState.LEFT:
            return
        wrong = news.state is not MemberState.ALIVE
        newer = news.incarnation > self.me.incarnation
        if newer or (wrong and news.incarnation == self.me.incarnation):
            self.me = dataclasses.replace(self.me, incarnation=news.incarnation + 1)
            self.members[self.me.name] = self.me
            self._updates[self.me.name] = 0


def rank(scope: str, name: str) -> bytes:
    """Return a member's place in the order of a scope, alike everywhere."""
    return hashlib.blake2b(f"{scope}/{name}".encode(), digest_size=8).digest()
