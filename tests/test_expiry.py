import unittest

from chicorycove.exceptions import StoreUnavailable
from chicorycove.expiry import SHARING_PERIOD, ExpiryLeases


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
        for elapsed in range(0, int(SHARING_PERIOD), 600):
            lease = await self.leases.lease_until(1000.0 + elapsed + 500.0)
            self.assertEqual(lease, 1)
        self.assertEqual(self.store.ttls, [500.0 + SHARING_PERIOD])

    async def test_lease_never_ends_before_a_value_expires(self):
        for elapsed in range(0, 20_000, 700):
            self.clock.time = 1000.0 + elapsed
            expiry = self.clock.time + 500.0
            before = len(self.store.ttls)
            await self.leases.lease_until(expiry)
            if len(self.store.ttls) > before:
                expires_at = self.clock.time + self.store.ttls[-1]
            self.assertGreaterEqual(expires_at, expiry)
        self.assertLess(len(self.store.ttls), 20_000 / SHARING_PERIOD + 2)

    async def test_lost_lease_is_replaced(self):
        first = await self.leases.lease_until(1500.0)
        self.leases.discard(first)
        self.assertNotEqual(await self.leases.lease_until(1500.0), first)

    async def test_grant_fails_while_the_store_is_down(self):
        self.store.down = True
        with self.assertRaises(StoreUnavailable):
            await self.leases.lease_until(1500.0)
