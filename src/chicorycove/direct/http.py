"""What connections to callers and to targets have in common."""

import asyncio
import dataclasses
import socket

Headers = list[tuple[bytes, bytes]]

KEEPALIVE_IDLE = 1  # seconds of silence before the kernel asks a peer
KEEPALIVE_PROBES = 2  # a second apart, so that a dead peer shows within 3 s
UNACKNOWLEDGED_LIMIT = 2500  # ms that sent bytes may stay unacknowledged
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
    """A request as it was read; its body is whole."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    read_at: float  # seconds, of the loop's clock
    keep_alive: bool = True

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, by its name in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


def enable_keepalive(transport: asyncio.Transport) -> None:
    """Have the kernel find a peer that has fallen silent."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT)


def request_bytes(method: bytes, target: bytes, headers: Headers, body: bytes) -> bytes:
    """Return a request as it is sent; a body is sent with its length."""
    lines = [b"%b %b HTTP/1.1" % (method, target)]
    lines += [b"%b: %b" % header for header in headers]
    if body or method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that are not about one connection."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for token in value.split(b",")
    }
    dropped = HOP_BY_HOP | named | {b"content-length", b"expect"}
    return [header for header in headers if header[0].lower() not in dropped]
