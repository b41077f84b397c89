"""Measure what a version of a large configuration costs an entry.

python -m tests.measure_config
"""

import base64
import json
import time

from chicorycove.platform.changes import PatchBase, encode_changes
from chicorycove.platform.decoding import DeploymentDecoder
from chicorycove.platform.patch import apply_patch, create_patch
from chicorycove.platform.store import Item

from .platform_case import config, route, unlike_routes

ROUTE_COUNTS = (1_400, 2_600)
ADDED_ROUTE_COUNT = 1_200
CONFIG_KEY = "op/config"


def measure(count):
    """Print the size of a patch, and the times of what handles a version."""
    routes = [route(f"added-{number}") for number in range(count)]
    base = json.dumps(config(1, routes)).encode()
    routes[count // 2] = route(f"added-{count // 2}", service="model")
    del routes[5]
    routes.append(route("new"))
    value = json.dumps(config(2, routes)).encode()
    decoder = DeploymentDecoder()
    patch, creating = _time(create_patch, base, value)
    _, applying = _time(apply_patch, base, patch)
    _, first = _time(decoder.decode, base)
    _, second = _time(decoder.decode, value)
    print(
        f"{count} routes, {len(value)} bytes: patch of {len(patch)} bytes, "
        f"created in {creating:.1f} ms, applied in {applying:.1f} ms; "
        f"decoded in {first:.1f} ms, the next version in {second:.1f} ms"
    )


def measure_growth(count):
    """Print the size of a batch that adds routes, and of what it replaces."""
    base = PatchBase(CONFIG_KEY, 1, json.dumps(config(1)).encode())
    routes = config()["routes"] + unlike_routes("added", count)
    value = base64.b64encode(json.dumps(config(2, routes)).encode())
    item = Item(CONFIG_KEY, 2, value.decode())
    batch, encoding = _time(encode_changes, [item], base)
    print(
        f"{count} routes added: batch of {len(batch)} bytes, encoded in "
        f"{encoding:.1f} ms; {len(value)} bytes as sent by the store"
    )


def _time(function, *arguments):
    started_at = time.perf_counter()
    result = function(*arguments)
    return result, (time.perf_counter() - started_at) * 1000


if __name__ == "__main__":
    for route_count in ROUTE_COUNTS:
        measure(route_count)
    measure_growth(ADDED_ROUTE_COUNT)
