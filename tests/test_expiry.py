import unittest

from chicorycove.exceptions import StoreUnavailable
from chicorycove.expiry import PERIOD, ExpiryLeases


class FakeClock:
    def __init__(self):
        self.time = 1000.0

    def now(self):
        return self.time


class FakeStore:
    def __init__(self):
        self.ttls = []
        self.down = False

    async def grant(self, ttl):
        if self.down:
            raise StoreUnavailable("down")
        self.ttls.append(ttl)
        return len(self.ttls)


class ExpiryLeasesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.store = FakeStore()
        self.leases = ExpiryLeases(self.store, self.clock)

    async def test_values_of_one_period_share_a_lease(self):
        for passed in range(0, int(PERIOD), 600):
            lease = await self.leases.covering(1000.0 + passed + 500.0)
            self.assertEqual(lease, 1)
        self.assertEqual(self.store.ttls, [500.0 + PERIOD])

    async def test_lease_never_ends_before_a_value_expires(self):
        for passed in range(0, 20_000, 700):
            self.clock.time = 1000.0 + passed
            expires = self.clock.time + 500.0
            before = len(self.store.ttls)
            await self.leases.covering(expires)
            if len(self.store.ttls) > before:
                ends = self.clock.time + self.store.ttls[-1]
            self.assertGreaterEqual(ends, expires)
        self.assertLess(len(self.store.ttls), 20_000 / PERIOD + 2)

    async def test_lapsed_lease_is_replaced(self):
        first = await self.leases.covering(1500.0)
        self.leases.forget(first)
        self.assertNotEqual(await self.leases.covering(1500.0), first)

    async def test_store_down(self):
        self.store.down = True
        with self.assertRaises(StoreUnavailable):
            await self.leases.covering(1500.0)
