"""The listening sockets for callers and the load balancer."""

import socket
import typing as t

from ..exceptions import SettingsError

BACKLOG = 1024  # connections that may wait to be accepted


class Listeners(t.NamedTuple):
    """Listening sockets; the kernel queues connections until they accept."""

    callers: socket.socket
    readiness: socket.socket


def open_listeners(callers: str, readiness: str) -> Listeners:
    """Open sockets on two addresses, each "ip:port".

    :raises SettingsError: if an address cannot be bound
    """
    return Listeners(_open_listener(callers), _open_listener(readiness))


def _open_listener(address: str) -> socket.socket:
    host, port = address.rsplit(":", 1)
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
    except OSError as error:
        listener.close()
        raise SettingsError(f"cannot listen on {address}: {error.strerror}") from None
    return listener
