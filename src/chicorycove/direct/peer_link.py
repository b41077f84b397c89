"""Exchanges datagrams with an entry's peers over UDP."""

import asyncio
import itertools
import math
import typing as t

import msgspec

from .command import UpdatePeers
from .event import PeerUpdateReceived
from .peer_datagram import RELAY_MARK, decode, decode_relay, encode, encode_relay
from .store_relay import RelayUpdate
from .store_revision import StoreRevision

LOG_INTERVAL = 1.0  # seconds between logged failures: a dead peer causes many
# Of a long series, a peer gets so many datagrams at once, so that its link and
# its socket's buffer take them beside others.
BURST_LENGTH = 16
BURST_INTERVAL = 0.025  # seconds

Address = tuple[str, int]


class PeerLink(asyncio.DatagramProtocol):
    """Sends updates to peers and receives theirs on one UDP address."""

    def __init__(
        self,
        name: str,
        on_update: t.Callable[[PeerUpdateReceived], None],
        on_relay: t.Callable[[RelayUpdate], None],
        on_failure: t.Callable[[str, Exception, bool], None],
    ) -> None:
        self._name = name
        self._on_update = on_update
        self._on_relay = on_relay
        self._on_failure = on_failure
        self._logged_at: dict[str, float] = {}
        self._transport: asyncio.DatagramTransport | None = None
        self._clock = asyncio.get_running_loop().time
        self._addresses: dict[str, Address] = {}
        self._last_received_at: dict[str, float] = {}
        # Time of the first update since an address was unresponsive.
        self._responsive_since: dict[Address, float] = {}
        self.store_revision = StoreRevision()  # sent with each update

    @property
    def names(self) -> t.Collection[str]:
        """Return the names of the peers that receive updates."""
        return self._addresses.keys()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        try:
            if data.startswith(RELAY_MARK):
                self._on_relay(decode_relay(data))
                return
            update = decode(data, self._clock())
        except msgspec.MsgspecError as error:
            self._report_failure("datagram unreadable", error)
            return
        if update.owner == self._name:
            return
        self._last_received_at[update.owner] = self._clock()
        self._addresses.setdefault(update.owner, address)
        self._responsive_since.setdefault(address, self._clock())
        self._on_update(update)

    def error_received(self, error: Exception) -> None:
        """Report a datagram that a peer's host refused.

        The peer itself is removed once it is no longer listed.
        """
        self._report_failure("datagram refused", error)

    def add(self, name: str, address: Address) -> None:
        """Send updates to a peer from now on."""
        self._addresses[name] = address

    def prune(self, listed: t.Collection[str], timeout: float) -> None:
        """Remove unlisted peers that are unresponsive; timeout in seconds."""
        limit = self._clock() - timeout
        for name in list(self._addresses):
            if name not in listed and self._last_received_at.get(name, 0.0) < limit:
                del self._addresses[name]
                self._last_received_at.pop(name, None)

    def unresponsive(self, timeout: float) -> frozenset[str]:
        """Return the peers without an update within a timeout, in seconds.

        An update from a peer's address counts under any name: a restarted
        entry has a new name, and its old one may still be listed.
        """
        limit = self._clock() - timeout
        recent_addresses = {
            self._addresses[name]
            for name, received_at in self._last_received_at.items()
            if received_at >= limit
        }
        for address in self._responsive_since.keys() - recent_addresses:
            del self._responsive_since[address]
        return frozenset(
            name
            for name, address in self._addresses.items()
            if address not in recent_addresses
        )

    def newly_responsive(self, interval: float) -> frozenset[str]:
        """Return the peers whose first update came within some seconds."""
        limit = self._clock() - interval
        return frozenset(
            name
            for name, address in self._addresses.items()
            if self._responsive_since.get(address, -math.inf) > limit
        )

    def send_update(self, names: t.Container[str], update: UpdatePeers) -> None:
        """Send an update to the named peers that are known."""
        if self._transport is None or not self._addresses:
            return
        datagrams = encode(self._name, update, self.store_revision, self._clock())
        self._send(names, datagrams)

    def send_relay(
        self, names: t.Container[str], updates: t.Iterable[RelayUpdate]
    ) -> None:
        """Send updates of the relay to the named peers that are known."""
        updates = list(updates)
        self._send_burst(names, updates[:BURST_LENGTH])
        loop = asyncio.get_running_loop()
        for start in range(BURST_LENGTH, len(updates), BURST_LENGTH):
            delay = start / BURST_LENGTH * BURST_INTERVAL
            burst = updates[start : start + BURST_LENGTH]
            loop.call_later(delay, self._send_burst, names, burst)

    def _send_burst(
        self, names: t.Container[str], updates: t.Iterable[RelayUpdate]
    ) -> None:
        now = self._clock()
        self._send(names, [encode_relay(update, now) for update in updates])

    def _send(self, names: t.Container[str], datagrams: t.Collection[bytes]) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        addresses = {
            address for name, address in self._addresses.items() if name in names
        }
        for address, datagram in itertools.product(addresses, datagrams):
            self._transport.sendto(datagram, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def _report_failure(self, event: str, error: Exception) -> None:
        now = self._clock()
        should_log = now >= self._logged_at.get(event, float("-inf")) + LOG_INTERVAL
        if should_log:
            self._logged_at[event] = now
        self._on_failure(event, error, should_log)
