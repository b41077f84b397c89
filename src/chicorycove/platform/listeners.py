"""The listening sockets for callers and the load balancer."""

import dataclasses
import socket

from ..exceptions import SettingsError
from .boot import Boot

BACKLOG = 1024  # connections that may wait to be accepted


@dataclasses.dataclass(frozen=True, slots=True)
class Listeners:
    """Listening sockets; the kernel queues connections until they accept."""

    callers: socket.socket
    readiness: socket.socket


def open_listeners(boot: Boot) -> Listeners:
    """Open sockets on the addresses of the settings.

    :raises SettingsError: if an address cannot be bound
    """
    return Listeners(_open_listener(boot.callers), _open_listener(boot.readiness))


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
