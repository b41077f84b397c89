"""What entries tell one another of their work, by datagrams."""

import asyncio
import itertools
import typing as t

import msgspec

from .board import WorkItem, WorkItemKey
from .event import PeerUpdateReceived

FAILURE_PAUSE = 1.0  # seconds between those that are news: a dead peer has many
MAX_WORKS = 12  # in a datagram, so that it stays under an Ethernet frame


class Account(msgspec.Struct, array_like=True):
    """Some of an entry's work as it is sent; ages and times are in seconds."""

    owner: str
    work_items: list["Part"]
    ended: list[int]
    unreachable: list[str]
    revision: int  # of the store, that it has followed it up to


class Part(msgspec.Struct, array_like=True):
    """One part of a request; instants are relative to the sending."""

    number: int
    target: str
    tokens: int
    read_time: float
    memory: int
    context_tokens: float
    writes_answer: bool
    events_left: int
    max_gap: float
    value: float
    age: float
    read_left: float
    objective_left: float
    preempting: bool
    writing: bool
    missed_objective: bool


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Account)


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
    first = Account(owner, parts[:MAX_WORKS], numbers, list(unreachable), revision)
    accounts = [first]
    for start in range(MAX_WORKS, len(parts), MAX_WORKS):
        more = parts[start : start + MAX_WORKS]
        accounts.append(Account(owner, more, [], [], revision))
    return [_encoder.encode(account) for account in accounts]


def decode(data: bytes, now: float) -> PeerUpdateReceived:
    """Read a datagram.

    :raises msgspec.MsgspecError: if it is none of ours
    """
    account = _decoder.decode(data)
    owner = account.owner
    return PeerUpdateReceived(
        owner,
        tuple(_work(owner, part, now) for part in account.work_items),
        tuple(WorkItemKey(owner, number) for number in account.ended),
        tuple(account.unreachable),
        account.revision,
    )


def _part(work: WorkItem, now: float) -> Part:
    return Part(
        work.key.number,
        work.target,
        work.tokens,
        work.read_time,
        work.memory,
        work.context_tokens,
        work.writes_answer,
        work.events_left,
        work.max_gap,
        work.value,
        now - work.placed_at,
        work.expected_read_end - now,
        work.objective_at - now,
        work.preempting,
        work.writing,
        work.missed_objective,
    )


def _work(owner: str, part: Part, now: float) -> WorkItem:
    return WorkItem(
        WorkItemKey(owner, part.number),
        part.target,
        tokens=part.tokens,
        read_time=part.read_time,
        memory=part.memory,
        context_tokens=part.context_tokens,
        writes_answer=part.writes_answer,
        events_left=part.events_left,
        max_gap=part.max_gap,
        value=part.value,
        placed_at=now - part.age,
        expected_read_end=now + part.read_left,
        objective_at=now + part.objective_left,
        preempting=part.preempting,
        writing=part.writing,
        missed_objective=part.missed_objective,
    )


Address = tuple[str, int]


class PeerLink(asyncio.DatagramProtocol):
    """Sends and receives accounts on one UDP address."""

    def __init__(
        self,
        name: str,
        told: t.Callable[[PeerUpdateReceived], None],
        failed: t.Callable[[str, Exception, bool], None],
    ) -> None:
        self._name = name
        self._told = told
        self._failed = failed
        self._failed_at: dict[str, float] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._clock = asyncio.get_running_loop().time
        self._addresses: dict[str, Address] = {}
        self._heard_at: dict[str, float] = {}
        self.revision = 0  # that peers are told

    @property
    def names(self) -> t.Collection[str]:
        """Return the peers that are told."""
        return self._addresses.keys()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        try:
            told = decode(data, self._clock())
        except msgspec.MsgspecError as error:
            self._fail("datagram unreadable", error)
            return
        if told.owner == self._name:
            return
        self._heard_at[told.owner] = self._clock()
        self._addresses.setdefault(told.owner, address)
        self._told(told)

    def error_received(self, error: Exception) -> None:
        """Tell of a peer that cannot be reached, which the list lets go."""
        self._fail("datagram refused", error)

    def add(self, name: str, address: Address) -> None:
        """Tell a peer from now on."""
        self._addresses[name] = address

    def prune(self, listed: t.Collection[str], silence: float) -> None:
        """Let go of peers that are not listed and silent for some seconds."""
        limit = self._clock() - silence
        for name in list(self._addresses):
            if name not in listed and self._heard_at.get(name, 0.0) < limit:
                del self._addresses[name]
                self._heard_at.pop(name, None)

    def silent(self, silence: float) -> frozenset[str]:
        """Return the peers that have not been heard for some seconds.

        A name that its host has given up for another is heard by that one.
        """
        limit = self._clock() - silence
        heard = {
            self._addresses[name] for name, at in self._heard_at.items() if at >= limit
        }
        return frozenset(
            name for name, address in self._addresses.items() if address not in heard
        )

    def tell(
        self,
        names: t.Container[str],
        work_items: t.Iterable[WorkItem] = (),
        ended: t.Iterable[WorkItemKey] = (),
        unreachable: t.Iterable[str] = (),
    ) -> None:
        """Send an account to the peers that are named."""
        if self._transport is None or not self._addresses:
            return
        datagrams = encode(
            self._name, work_items, ended, unreachable, self.revision, self._clock()
        )
        told = {x for name, x in self._addresses.items() if name in names}
        for address, datagram in itertools.product(told, datagrams):
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
        self._failed(what, error, news)
