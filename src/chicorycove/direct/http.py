"""HTTP messages and socket options of connections to callers and targets."""

import asyncio
import dataclasses
import hashlib
import socket

Headers = list[tuple[bytes, bytes]]

KEEPALIVE_INTERVAL = 1  # seconds of inactivity before each keepalive probe
KEEPALIVE_PROBES = 2  # unanswered, so that a dead peer is detected within 3 s
FINGERPRINT_SIZE = 8  # bytes
HEADER_OVERHEAD = 130  # bytes of a header's tuple, two byte strings and list item
REQUEST_OVERHEAD = 500  # bytes of a request's objects without any content
UNACKNOWLEDGED_TIMEOUT = 2500  # milliseconds that sent bytes wait for a TCP ACK
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
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT)


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
