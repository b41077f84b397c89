"""What entries tell one another of their work, by datagrams."""

import asyncio
import itertools
import typing as t

import msgspec

from .board import WorkItem, WorkItemKey
from .event import PeerUpdateReceived

FAILURE_PAUSE = 1.0  # seconds between those that are news: a dead peer has many
MAX_WORK_ITEMS = 12  # in a datagram, so that it stays under an Ethernet frame


class PeerUpdate(msgspec.Struct, array_like=True):
    """Some of an entry's work as it is sent; ages and times are in seconds."""

    owner: str
    work_items: list["WorkItemUpdate"]
    ended: list[int]
    unreachable: list[str]
    store_revision: int  # that it has followed it up to


class WorkItemUpdate(msgspec.Struct, array_like=True):
    """One part of a request; instants are relative to the sending."""

    number: int
    target: str
    tokens: int
    prefill_time: float
    memory: int
    context_tokens: float
    generates_answer: bool
    events_left: int
    max_gap: float
    value: float
    placed_ago: float
    prefill_end_in: float
    objective_in: float
    preempting: bool
    decoding: bool
    missed_objective: bool


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerUpdate)


def encode(
    owner: str,
    work_items: t.Iterable[WorkItem],
    ended: t.Iterable[WorkItemKey],
    unreachable: t.Iterable[str],
    revision: int,
    now: float,
) -> list[bytes]:
    """Return datagrams that tell of work."""
    parts = [_part(work, now) for work in work_items]
    numbers = [key.number for key in ended]
    first = PeerUpdate(
        owner, parts[:MAX_WORK_ITEMS], numbers, list(unreachable), revision
    )
    updates = [first]
    for start in range(MAX_WORK_ITEMS, len(parts), MAX_WORK_ITEMS):
        more = parts[start : start + MAX_WORK_ITEMS]
        updates.append(PeerUpdate(owner, more, [], [], revision))
    return [_encoder.encode(update) for update in updates]


def decode(data: bytes, now: float) -> PeerUpdateReceived:
    """Read a datagram.

    :raises msgspec.MsgspecError: if it is none of ours
    """
    update = _decoder.decode(data)
    owner = update.owner
    return PeerUpdateReceived(
        owner,
        tuple(_work(owner, part, now) for part in update.work_items),
        tuple(WorkItemKey(owner, number) for number in update.ended),
        tuple(update.unreachable),
        update.store_revision,
    )


def _part(work: WorkItem, now: float) -> WorkItemUpdate:
    return WorkItemUpdate(
        work.key.number,
        work.target,
        work.tokens,
        work.prefill_time,
        work.memory,
        work.context_tokens,
        work.generates_answer,
        work.events_left,
        work.max_gap,
        work.value,
        now - work.placed_at,
        work.expected_prefill_end - now,
        work.objective_at - now,
        work.preempting,
        work.decoding,
        work.missed_objective,
    )


def _work(owner: str, part: WorkItemUpdate, now: float) -> WorkItem:
    return WorkItem(
        WorkItemKey(owner, part.number),
        part.target,
        tokens=part.tokens,
        prefill_time=part.prefill_time,
        memory=part.memory,
        context_tokens=part.context_tokens,
        generates_answer=part.generates_answer,
        events_left=part.events_left,
        max_gap=part.max_gap,
        value=part.value,
        placed_at=now - part.placed_ago,
        expected_prefill_end=now + part.prefill_end_in,
        objective_at=now + part.objective_in,
        preempting=part.preempting,
        decoding=part.decoding,
        missed_objective=part.missed_objective,
    )


Address = tuple[str, int]


class PeerLink(asyncio.DatagramProtocol):
    """Sends and receives accounts on one UDP address."""

    def __init__(
        self,
        name: str,
        on_update: t.Callable[[PeerUpdateReceived], None],
        on_failure: t.Callable[[str, Exception, bool], None],
    ) -> None:
        self._name = name
        self._on_update = on_update
        self._on_failure = on_failure
        self._failed_at: dict[str, float] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._clock = asyncio.get_running_loop().time
        self._addresses: dict[str, Address] = {}
        self._received_at: dict[str, float] = {}
        self.store_revision = 0  # that peers are told

    @property
    def names(self) -> t.Collection[str]:
        """Return the peers that are told."""
        return self._addresses.keys()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        try:
            update = decode(data, self._clock())
        except msgspec.MsgspecError as error:
            self._fail("datagram unreadable", error)
            return
        if update.owner == self._name:
            return
        self._received_at[update.owner] = self._clock()
        self._addresses.setdefault(update.owner, address)
        self._on_update(update)

    def error_received(self, error: Exception) -> None:
        """Tell of a peer that cannot be reached, which the list lets go."""
        self._fail("datagram refused", error)

    def add(self, name: str, address: Address) -> None:
        """Tell a peer from now on."""
        self._addresses[name] = address

    def prune(self, listed: t.Collection[str], timeout: float) -> None:
        """Let go of peers that are not listed and silent for some seconds."""
        limit = self._clock() - timeout
        for name in list(self._addresses):
            if name not in listed and self._received_at.get(name, 0.0) < limit:
                del self._addresses[name]
                self._received_at.pop(name, None)

    def unresponsive(self, timeout: float) -> frozenset[str]:
        """Return the peers that have not been heard for some seconds.

        A name that its host has given up for another is heard by that one.
        """
        limit = self._clock() - timeout
        recent = {
            self._addresses[name]
            for name, at in self._received_at.items()
            if at >= limit
        }
        return frozenset(
            name for name, address in self._addresses.items() if address not in recent
        )

    def send_update(
        self,
        names: t.Container[str],
        work_items: t.Iterable[WorkItem] = (),
        ended: t.Iterable[WorkItemKey] = (),
        unreachable: t.Iterable[str] = (),
    ) -> None:
        """Send an update to the peers that are named."""
        if self._transport is None or not self._addresses:
            return
        datagrams = encode(
            self._name,
            work_items,
            ended,
            unreachable,
            self.store_revision,
            self._clock(),
        )
        addresses = {x for name, x in self._addresses.items() if name in names}
        for address, datagram in itertools.product(addresses, datagrams):
            self._transport.sendto(datagram, address)

    def close(self) -> None:
        """Stop receiving."""
        if self._transport is not None:
            self._transport.close()

    def _fail(self, what: str, error: Exception) -> None:
        now = self._clock()
        news = now >= self._failed_at.get(what, float("-inf")) + FAILURE_PAUSE
        if news:
            self._failed_at[what] = now
        self._on_failure(what, error, news)
