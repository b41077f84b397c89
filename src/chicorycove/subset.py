"""Choice of the targets that an entry keeps links to."""

import heapq
import typing as t

import xxhash

from .catalogue import Catalogue
from .host import Host
from .routing import matches


def choose_hosts(
    entry: str, hosts: t.Iterable[Host], catalogue: Catalogue, count: int
) -> dict[str, Host]:
    """Return the hosts that an entry links to, by name.

    They are at most ``count`` hosts for each service, chosen by rendezvous
    hashing: links are spread evenly over the hosts, and few change when hosts
    are added or removed.
    """
    candidates = tuple(hosts)
    chosen: dict[str, Host] = {}
    for service in catalogue.services.values():
        matching = [host for host in candidates if matches(host, service.selector)]
        lowest = heapq.nsmallest(count, matching, key=lambda host: _rank(entry, host))
        chosen.update((host.name, host) for host in lowest)
    return chosen


def _rank(entry: str, host: Host) -> int:
    return xxhash.xxh64_intdigest(f"{entry}\0{host.name}".encode())
