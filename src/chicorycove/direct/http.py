"""HTTP messages and socket options of connections to callers and targets."""

import asyncio
import dataclasses
import hashlib
import socket
import struct
import weakref

from .send_window import ClosedWindowTimer, SendState

Headers = list[tuple[bytes, bytes]]

KEEPALIVE_INTERVAL = 1  # seconds of inactivity before each keepalive probe
KEEPALIVE_PROBES = 2  # unanswered, so that a dead peer is detected within 3 s
FINGERPRINT_SIZE = 8  # bytes
HEADER_OVERHEAD = 130  # bytes of a header's tuple, two byte strings and list item
REQUEST_OVERHEAD = 500  # bytes of a request's objects without any content
UNACKNOWLEDGED_TIMEOUT = 2500  # milliseconds that sent bytes wait for a TCP ACK
# Seconds between checks for a closed window; the kernel counts one as bytes
# that wait for an ACK.
WINDOW_CHECK_INTERVAL = 1.0
MIN_CHECKED_SIZE = 4_096  # bytes; what is smaller fits into any usual buffer
# Of Linux's struct tcp_info: probes sent without an ACK, segments in flight,
# and bytes not yet sent.
TCP_INFO = struct.Struct("=3xB20xI116xI")
# Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


@dataclasses.dataclass(slots=True)
class HttpRequest:
    """A caller's complete request."""

    method: bytes
    url: bytes  # path and query
    headers: Headers
    body: bytes
    received_at: float  # seconds, by the event loop's clock
    keep_alive: bool = True
    held_size: int = 0  # bytes, its headers included

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header; the name is in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


def enable_keepalive(transport: asyncio.Transport) -> None:
    """Have the kernel close a connection whose peer does not respond."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    _set_unacknowledged_timeout(sock, UNACKNOWLEDGED_TIMEOUT)


def allow_closed_window(transport: asyncio.Transport) -> None:
    """Let a peer pause its reading after this end has closed."""
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        _set_unacknowledged_timeout(sock, 0)


class WindowMonitor:
    """Lets the peer of a connection pause its reading, while it is there.

    The connection is checked while it has much to send.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = weakref.ref(transport)
        self._loop = asyncio.get_running_loop()
        self._timer = ClosedWindowTimer(UNACKNOWLEDGED_TIMEOUT / 1000)
        self._window_closed = False
        self._unchecked_size = 0  # bytes written since the connection was idle
        self._checking = False

    def count_written(self, size: int) -> None:
        """Count bytes that were handed to the transport."""
        self._unchecked_size += size
        if self._unchecked_size >= MIN_CHECKED_SIZE and not self._checking:
            self._checking = True
            self._loop.call_later(WINDOW_CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        self._checking = False
        transport = self._transport()
        if transport is None:
            return
        sock = transport.get_extra_info("socket")
        if sock is None or sock.fileno() < 0:
            return
        state = _read_send_state(transport, sock)
        if state.window_closed is not self._window_closed:
            self._window_closed = state.window_closed
            timeout = 0 if state.window_closed else UNACKNOWLEDGED_TIMEOUT
            _set_unacknowledged_timeout(sock, timeout)
        if self._timer.has_expired(state, self._loop.time()):
            transport.abort()
            return
        if not state.pending:
            self._unchecked_size = 0
        self.count_written(0)


def _set_unacknowledged_timeout(sock: socket.socket, timeout: int) -> None:
    """Set a timeout in milliseconds; 0 for the system's."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout)


def _read_send_state(transport: asyncio.Transport, sock: socket.socket) -> SendState:
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO.size)
    probes, in_flight, unsent = TCP_INFO.unpack(info)
    return SendState(
        pending=in_flight > 0 or unsent > 0 or transport.get_write_buffer_size() > 0,
        window_closed=unsent > 0 and in_flight == 0,
        probes=probes,
    )


def compute_fingerprint(request: HttpRequest, workspace: str) -> str:
    """Return a digest of a request's method, path, workspace and body."""
    digest = hashlib.blake2b(request.body, digest_size=FINGERPRINT_SIZE)
    for text in (request.method, request.url, workspace.encode()):
        digest.update(b"\n" + text)
    return digest.hexdigest()


def format_request(method: bytes, url: bytes, headers: Headers, body: bytes) -> bytes:
    """Return the bytes of an HTTP/1.1 request."""
    lines = [b"%b %b HTTP/1.1" % (method, url)]
    lines += [b"%b: %b" % header for header in headers]
    if body or method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that are not specific to one connection."""
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    excluded = HOP_BY_HOP | connection_options | {b"content-length", b"expect"}
    return [header for header in headers if header[0].lower() not in excluded]
