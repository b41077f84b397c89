"""Tracks which entries are alive, and whether a majority is reachable.

This is the SWIM gossip protocol: entries probe random other entries, and
the probes and their answers carry updates of members.  All times are in
seconds.
"""

import dataclasses
import enum
import hashlib
import math
import random
import typing as t

frozen = dataclasses.dataclass(frozen=True, slots=True)

PROBE_PERIOD = 0.5  # between rounds of probes
PROBES_PER_ROUND = 2
PROBE_TIMEOUT = 0.2
INDIRECT_PROBES = 3
SUSPECT_TIMEOUT = 3.0
RETENTION_TIME = 600.0  # until a dead or departed member is removed
DEAD_PROBE_PERIOD = 2.0  # between probes of a random dead member
MAX_UPDATES = 6  # in one message
SPREAD_FACTOR = 3  # an update is sent this many times log2(members)
POLL_SIZE = 48  # most members pinged when contact with a majority is unsure
POLL_TIMEOUT = 0.4
CONFIRMING_POLLS = 2  # consecutive majorities required when a poll is a sample
POLL_RETRY = 1.0  # from a poll without a majority to the next
MAX_STALENESS = 2.5  # an entry without contact stops serving after this
RELAYS_PER_DOMAIN = 2  # entries that watch the store and relay changes


class Role(enum.Enum):
    """The kind of a process."""

    ENTRY = "entry"
    AGENT = "agent"


class MemberState(enum.Enum):
    """The state of a member.

    Within an incarnation a later state overrides an earlier one.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@frozen
class Member:
    """A process as recorded by its peers."""

    name: str
    address: str
    role: Role
    region: str
    failure_domain: str
    incarnation: int = 0
    state: MemberState = MemberState.ALIVE
    revision: int = 0

    def overrides(self, other: "Member") -> bool:
        """Return whether this state of the member replaces the other one."""
        precedence = (self.incarnation, self.state.value)
        return precedence > (other.incarnation, other.state.value)


class ProbeKind(enum.Enum):
    """The kind of a probe message."""

    PING = 0
    ACK = 1
    PING_REQUEST = 2  # asks the receiver to ping the target for the sender


@frozen
class Probe:
    """A probe or its answer, with updates of members.

    The store age is the time since the sender, or a peer that it had this
    from, last read the store; None if it is unknown or too long ago.
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
class _PendingProbe:
    """A probe that has not been answered yet."""

    target: str
    sent_at: float
    indirect: bool = False
    requester: Member | None = None  # of an indirect ping, to be answered
    requester_number: int = 0


@dataclasses.dataclass(slots=True)
class _Poll:
    """Pings to many members that check for contact with a majority."""

    started_at: float
    polled: set[str]
    answered: set[str]


class Membership:
    """One entry's view of all entries."""

    def __init__(
        self,
        local_member: Member,
        seeds: t.Iterable[Member],
        seed: int,
        now: float,
        addresses: tuple[str, ...] = (),
    ) -> None:
        self.local_member = local_member
        self.members: dict[str, Member] = {local_member.name: local_member}
        self._random = random.Random(seed)
        self._last_number = 0
        self._probe_order: list[str] = []
        self._pending: dict[int, _PendingProbe] = {}
        self._state_since: dict[str, float] = {}
        self._update_sends: dict[str, int] = {}
        self._poll: _Poll | None = None
        self._next_poll_at = now
        self._contact_uncertain = bool(addresses)
        self._majority_polls = 0  # consecutive polls with a majority
        self._next_round_at = now + self._random.random() * PROBE_PERIOD
        self._next_dead_probe_at = now + DEAD_PROBE_PERIOD
        self._addresses = addresses  # of seeds with unknown names
        self._majority_at = -math.inf if addresses else now  # last contact
        self._store_read_at = -math.inf  # by this entry or a peer
        for member in seeds:
            self._apply_update(member, now)
        self._update_sends.clear()  # every entry starts with the seeds

    def tick(self, now: float) -> list[SendMessage]:
        """Expire probes, and return the messages that are due."""
        messages = self._expire_probes(now)
        messages += self._continue_poll(now)
        if self._contact_uncertain:
            messages += self._start_poll(now)
        if now >= self._next_round_at:
            self._next_round_at = max(self._next_round_at + PROBE_PERIOD, now)
            for name in self._next_targets():
                messages.append(self._ping(self.members[name], now))
            messages += self._probe_dead(now)
            messages += self._ping_addresses(now)
        return messages

    def receive(self, probe: Probe, now: float) -> list[SendMessage]:
        """Handle a probe or an answer, and return the messages to send."""
        self._record_sender(probe.sender, now)
        messages = []
        for update in probe.updates:
            self._apply_update(update, now)
        if probe.store_age is not None:
            self._store_read_at = max(self._store_read_at, now - probe.store_age)
        match probe.kind:
            case ProbeKind.PING:
                messages.append(self._acknowledge(probe.sender, probe.number, now))
            case ProbeKind.PING_REQUEST:
                messages += self._ping_on_behalf(probe, now)
            case ProbeKind.ACK:
                messages += self._handle_ack(probe, now)
        return messages

    def leave(self, now: float) -> list[SendMessage]:
        """Return messages that notify some members that this one leaves."""
        self.local_member = dataclasses.replace(
            self.local_member, state=MemberState.LEFT
        )
        self.members[self.local_member.name] = self.local_member
        others = [
            member for member in self.alive() if member.name != self.local_member.name
        ]
        chosen = self._random.sample(others, min(len(others), 2 * INDIRECT_PROBES))
        return [self._ping(member, now) for member in chosen]

    def set_revision(self, revision: int) -> None:
        """Set the revision that each message reports."""
        self.local_member = dataclasses.replace(self.local_member, revision=revision)
        self.members[self.local_member.name] = self.local_member

    def store_read(self, now: float) -> None:
        """Record that this process has just read the store."""
        self._store_read_at = now

    def alive(self) -> list[Member]:
        """Return the members that are alive or suspect, with this one."""
        return [
            member
            for member in self.members.values()
            if member.state in (MemberState.ALIVE, MemberState.SUSPECT)
        ]

    def relays(self, failure_domain: str) -> list[Member]:
        """Return the live members of a domain, preferred relays first."""
        members = [
            member for member in self.alive() if member.failure_domain == failure_domain
        ]
        members.sort(
            key=lambda member: (member.state.value, rank(failure_domain, member.name))
        )
        return members

    def watches(self, now: float) -> bool:
        """Return whether this entry should watch the store."""
        domain = self.relays(self.local_member.failure_domain)[:RELAYS_PER_DOMAIN]
        cut_off = not self.in_majority(now) and not self._store_fresh(now)
        return cut_off or any(
            member.name == self.local_member.name for member in domain
        )

    def in_majority(self, now: float) -> bool:
        """Return whether this entry recently had contact with a majority."""
        return now - self._majority_at <= MAX_STALENESS

    def may_serve(self, now: float) -> bool:
        """Return whether this entry cannot have missed an accepted change.

        It is in contact with a majority, one of which would have sent the
        change, or the store was read recently.
        """
        return self.in_majority(now) or self._store_fresh(now)

    def _store_fresh(self, now: float) -> bool:
        return now - self._store_read_at <= MAX_STALENESS

    def _next_targets(self) -> list[str]:
        targets: list[str] = []
        for _ in range(2):
            while self._probe_order and len(targets) < PROBES_PER_ROUND:
                name = self._probe_order.pop()
                if self._is_probed(name) and name not in targets:
                    targets.append(name)
            if not self._probe_order:
                self._probe_order = list(self.members)
                self._random.shuffle(self._probe_order)
        return targets

    def _is_probed(self, name: str) -> bool:
        member = self.members.get(name)
        if member is None or name == self.local_member.name:
            return False
        return member.state in (MemberState.ALIVE, MemberState.SUSPECT)

    def _ping(self, member: Member, now: float, **pending: t.Any) -> SendMessage:
        self._last_number += 1
        self._pending[self._last_number] = _PendingProbe(member.name, now, **pending)
        return self._send_probe(member, ProbeKind.PING, self._last_number, now)

    def _acknowledge(self, member: Member, number: int, now: float) -> SendMessage:
        return self._send_probe(member, ProbeKind.ACK, number, now)

    def _send_probe(
        self,
        recipient: Member,
        kind: ProbeKind,
        number: int,
        now: float,
        target: str = "",
    ) -> SendMessage:
        age = now - self._store_read_at
        store_age = age if age <= MAX_STALENESS else None
        updates = self._select_updates(recipient)
        probe = Probe(kind, number, self.local_member, target, updates, store_age)
        return SendMessage(recipient.name, recipient.address, probe)

    def _select_updates(self, recipient: Member) -> tuple[Member, ...]:
        names = sorted(self._update_sends, key=self._update_sends.__getitem__)[
            :MAX_UPDATES
        ]
        limit = SPREAD_FACTOR * max(math.log2(len(self.members) + 1), 1)
        for name in names:
            self._update_sends[name] += 1
            if self._update_sends[name] > limit:
                del self._update_sends[name]
        chosen = [self.members[name] for name in names if name in self.members]
        known = self.members.get(recipient.name, recipient)
        outdated = known.incarnation > recipient.incarnation
        if recipient.name not in names and (
            outdated or known.state is not MemberState.ALIVE
        ):
            chosen.append(known)  # lets the member refute it
        return tuple(chosen)

    def _ping_on_behalf(self, probe: Probe, now: float) -> list[SendMessage]:
        target = self.members.get(probe.target)
        if target is None:
            return []
        return [
            self._ping(
                target, now, requester=probe.sender, requester_number=probe.number
            )
        ]

    def _handle_ack(self, probe: Probe, now: float) -> list[SendMessage]:
        pending = self._pending.pop(probe.number, None)
        if pending is None:
            return []
        if pending.requester is not None:
            return [self._acknowledge(pending.requester, pending.requester_number, now)]
        if self._poll is not None:
            self._poll.answered.add(pending.target)
        elif not pending.indirect and not self._contact_uncertain:
            self._majority_at = now  # once uncertain, only a poll restores contact
        return []

    def _expire_probes(self, now: float) -> list[SendMessage]:
        messages = []
        for number, pending in list(self._pending.items()):
            age = now - pending.sent_at
            if age < PROBE_TIMEOUT:
                break
            if pending.requester is not None or not self._is_probed(pending.target):
                if age >= PROBE_PERIOD:
                    del self._pending[number]
            elif not pending.indirect:
                pending.indirect = True
                messages += self._request_indirect_pings(number, pending.target, now)
                messages += self._start_poll(now)
            elif age >= PROBE_PERIOD:
                del self._pending[number]
                self._suspect(pending.target, now)
        self._expire_suspects(now)
        return messages

    def _request_indirect_pings(
        self, number: int, target: str, now: float
    ) -> list[SendMessage]:
        names = {self.local_member.name, target}
        others = [member for member in self.alive() if member.name not in names]
        chosen = self._random.sample(others, min(len(others), INDIRECT_PROBES))
        kind = ProbeKind.PING_REQUEST
        return [
            self._send_probe(member, kind, number, now, target) for member in chosen
        ]

    def _suspect(self, name: str, now: float) -> None:
        member = self.members[name]
        if member.state is MemberState.ALIVE:
            suspect = dataclasses.replace(member, state=MemberState.SUSPECT)
            self._apply_update(suspect, now)

    def _expire_suspects(self, now: float) -> None:
        for name, since in list(self._state_since.items()):
            member = self.members[name]
            if member.state is MemberState.SUSPECT and now - since > SUSPECT_TIMEOUT:
                dead = dataclasses.replace(member, state=MemberState.DEAD)
                self._apply_update(dead, now)
            elif now - since > RETENTION_TIME:
                del self._state_since[name]
                del self.members[name]
                self._update_sends.pop(name, None)

    @property
    def _has_no_peers(self) -> bool:
        """Return whether this entry has yet to reach any of its seeds."""
        return bool(self._addresses) and len(self.members) == 1

    def _ping_addresses(self, now: float) -> list[SendMessage]:
        """Ping seeds of which only the address is known."""
        if not self._has_no_peers:
            return []
        return [
            SendMessage("", address, Probe(ProbeKind.PING, 0, self.local_member))
            for address in self._addresses
        ]

    def _probe_dead(self, now: float) -> list[SendMessage]:
        if now < self._next_dead_probe_at:
            return []
        self._next_dead_probe_at = now + DEAD_PROBE_PERIOD
        dead = [
            member
            for member in self.members.values()
            if member.state is MemberState.DEAD
        ]
        return [self._ping(self._random.choice(dead), now)] if dead else []

    def _start_poll(self, now: float) -> list[SendMessage]:
        if self._poll is not None or now < self._next_poll_at:
            return []
        others = [
            member
            for member in self.members.values()
            if member.state is not MemberState.LEFT
            and member.name != self.local_member.name
        ]
        chosen = self._random.sample(others, min(len(others), POLL_SIZE))
        domain = self.relays(self.local_member.failure_domain)[:RELAYS_PER_DOMAIN]
        relays = [
            member
            for member in domain
            if member.name != self.local_member.name and member not in chosen
        ]
        relays = self._random.sample(relays, min(len(relays), 1))
        self._contact_uncertain = True
        self._poll = _Poll(now, {member.name for member in chosen}, set())
        messages = []
        for member in (*chosen, *relays):
            messages.append(self._ping(member, now, indirect=True))
        return messages

    def _continue_poll(self, now: float) -> list[SendMessage]:
        poll = self._poll
        if poll is None or now - poll.started_at < POLL_TIMEOUT:
            return []
        self._poll = None
        if not self._is_majority(poll):
            self._majority_polls = 0
            self._next_poll_at = now + POLL_RETRY
            return []
        self._majority_polls += 1
        if self._majority_polls >= (
            CONFIRMING_POLLS if len(poll.polled) == POLL_SIZE else 1
        ):
            self._majority_polls = 0
            self._majority_at = now
            self._contact_uncertain = False
        return []

    def _is_majority(self, poll: _Poll) -> bool:
        if self._has_no_peers:
            return False
        polled = len(poll.polled) + 1
        reached = len(poll.polled & poll.answered) + 1
        if 2 * reached != polled:
            return 2 * reached > polled
        # Exactly half is a majority if it contains the lowest name.
        lowest = min(poll.polled | {self.local_member.name})
        return lowest == self.local_member.name or lowest in poll.answered

    def _record_sender(self, sender: Member, now: float) -> None:
        """Record the state that a sender reports of itself."""
        known = self.members.get(sender.name)
        if known is None or sender.overrides(known):
            self._apply_update(sender, now)
        elif sender.revision > known.revision and sender.name != self.local_member.name:
            self.members[sender.name] = dataclasses.replace(
                known, revision=sender.revision
            )

    def _apply_update(self, update: Member, now: float) -> None:
        if update.name == self.local_member.name:
            self._refute(update)
            return
        known = self.members.get(update.name)
        if known is not None and not update.overrides(known):
            return
        if known is None and update.state in (MemberState.DEAD, MemberState.LEFT):
            return
        if known is not None:
            revision = max(update.revision, known.revision)
            if update.incarnation > known.incarnation:
                revision = update.revision
            update = dataclasses.replace(update, revision=revision)
        self.members[update.name] = update
        self._update_sends[update.name] = 0
        if update.state is MemberState.ALIVE:
            self._state_since.pop(update.name, None)
        else:
            self._state_since[update.name] = now

    def _refute(self, update: Member) -> None:
        """Override an update that has this member's state wrong."""
        if self.local_member.state is MemberState.LEFT:
            return
        wrong_state = update.state is not MemberState.ALIVE
        newer = update.incarnation > self.local_member.incarnation
        if newer or (
            wrong_state and update.incarnation == self.local_member.incarnation
        ):
            self.local_member = dataclasses.replace(
                self.local_member, incarnation=update.incarnation + 1
            )
            self.members[self.local_member.name] = self.local_member
            self._update_sends[self.local_member.name] = 0


def rank(scope: str, name: str) -> bytes:
    """Return a sort key that orders members alike in every process."""
    return hashlib.blake2b(f"{scope}/{name}".encode(), digest_size=8).digest()
