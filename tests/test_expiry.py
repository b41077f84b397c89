"""Keys that expire share leases, and are written without one if need be."""

import unittest

from chicorycove.command import StoreSwap
from chicorycove.event import Swapped, Unavailable
from chicorycove.exceptions import LeaseLost, StoreUnavailable
from chicorycove.platform.expiry import SPAN, ExpiringWriter


class Store:
    def __init__(self):
        self.grants = []
        self.writes = []
        self.down = False
        self.lost = False

    async def grant(self, ttl):
        if self.down:
            raise StoreUnavailable("down")
        self.grants.append(ttl)
        return len(self.grants)

    async def swap(self, key, version, value, lease=None):
        if self.lost and lease is not None:
            raise LeaseLost("lost")
        self.writes.append((key, lease))
        return Swapped(1)


def write(key, expires):
    return StoreSwap(1, key, 0, b"", expires)


class ExpiringWriterTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = Store()
        self.writer = ExpiringWriter(self.store)

    async def test_one_lease_for_a_span(self):
        for number in range(5):
            await self.writer.swap(write(f"k{number}", SPAN * 24 - number), 0.0)
        self.assertEqual(self.store.grants, [SPAN * 25])
        self.assertEqual({lease for _, lease in self.store.writes}, {1})

    async def test_lease_outlives_its_keys(self):
        await self.writer.swap(write("k", SPAN * 24 + 1), 10.0)
        self.assertGreater(self.store.grants[0] + 10.0, SPAN * 24 + 1)

    async def test_no_lease_to_be_had(self):
        self.store.down = True
        result = await self.writer.swap(write("k", SPAN), 0.0)
        self.assertEqual(result, Swapped(1))
        self.assertEqual(self.store.writes, [("k", None)])

    async def test_lost_lease_is_granted_again(self):
        await self.writer.swap(write("k", SPAN), 0.0)
        self.store.lost = True
        lost = await self.writer.swap(write("k", SPAN), 0.0)
        self.assertEqual(lost, Unavailable())
        self.store.lost = False
        await self.writer.swap(write("k", SPAN), 0.0)
        self.assertEqual(len(self.store.grants), 2)

    async def test_keys_without_expiry(self):
        await self.writer.swap(StoreSwap(1, "k", 0, b""), 0.0)
        self.assertEqual(self.store.writes, [("k", None)])
        self.assertEqual(self.store.grants, [])
