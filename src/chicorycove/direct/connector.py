"""Opens the sockets of calls to targets and to the store."""

import asyncio
import socket
import typing as t


async def open_socket(address: str, timeout: float) -> socket.socket:
    """Return a socket connected to "host:port"; the timeout is in seconds.

    The caller sends only over what is returned, so a failure proves that
    nothing was sent.

    :raises OSError: if no connection opens, or the address cannot be one
    """
    until = asyncio.get_running_loop().time() + timeout
    failure: OSError | None = None
    try:
        for family, endpoint in await _resolve(address, until):
            try:
                return await _connect(family, endpoint, until)
            except TimeoutError:
                raise
            except OSError as error:
                failure = error
    except (ValueError, OverflowError) as error:
        raise OSError(f"{address!r} is not an address: {error}") from None
    raise failure or OSError(f"{address!r} has no address")


async def _resolve(address: str, until: float) -> list[tuple[int, t.Any]]:
    """Return the families and endpoints of "host:port"."""
    host, port = address.rsplit(":", 1)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        socket.inet_pton(family, host)
    except OSError:  # a name, whose resolution may block
        async with asyncio.timeout_at(until):
            found = await asyncio.get_running_loop().getaddrinfo(
                host, int(port), type=socket.SOCK_STREAM
            )
        return [(family, endpoint) for family, _, _, _, endpoint in found]
    return [(family, (host, int(port)))]


async def _connect(family: int, endpoint: t.Any, until: float) -> socket.socket:
    # Only with a protocol does asyncio set TCP_NODELAY.
    sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        sock.setblocking(False)
        try:
            async with asyncio.timeout_at(until):
                await asyncio.get_running_loop().sock_connect(sock, endpoint)
        except TimeoutError:
            # A process that runs late may see the end of the timeout before
            # it sees that the connection has opened in time.
            if not _is_connected(sock):
                raise
    except BaseException:
        sock.close()
        raise
    return sock


def _is_connected(sock: socket.socket) -> bool:
    try:
        sock.getpeername()
    except OSError:
        return False
    return True
