"""Limits of workspaces against the exact count."""

import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from chicorycove.admission import request_priority
from chicorycove.catalogue import Catalogue, Limits, PriorityClass, Workspace
from chicorycove.quota import Pool, Quotas, QuotaSettings, Rate, WorkspaceQuota
from chicorycove.reason import Reason
from chicorycove.request import Call, Prompt, Request

ALONE = QuotaSettings(max_entries=1, burst=2.0)
LIMIT = 300.0
ENTRIES = 3
SHARED = QuotaSettings(
    max_entries=ENTRIES, burst=2.0, loan_duration=5.0, clock_skew=0.5
)


def request(number=0, tokens=10, workspace="w", priority_class="c"):
    work = Prompt("m", tokens, 0)
    return Request(f"r{number}", workspace, priority_class, work, 0.0, 60.0)


class WorkspaceQuotaTest(unittest.TestCase):
    def test_request_rate(self):
        quota = WorkspaceQuota(Limits(requests_per_second=1.0), ALONE, 0.0)
        self.assertIsNone(quota.admit(request(), 0.0))
        self.assertIsNone(quota.admit(request(), 0.0))
        over = quota.admit(request(), 0.0)
        self.assertIs(over.reason, Reason.LIMIT_REQUESTS)
        self.assertEqual(over.retry_after, 1.0)
        self.assertIsNone(quota.admit(request(), over.retry_after))

    def test_prompt_beyond_the_burst_is_paid_off(self):
        quota = WorkspaceQuota(Limits(tokens_per_second=10.0), ALONE, 0.0)
        self.assertIsNone(quota.admit(request(tokens=100), 0.0))
        over = quota.admit(request(tokens=1), 1.0)
        self.assertIs(over.reason, Reason.LIMIT_TOKENS)
        self.assertAlmostEqual(over.retry_after, 7.1)
        self.assertIsNone(quota.admit(request(tokens=1), 8.2))

    def test_memory_is_held_while_a_request_runs(self):
        quota = WorkspaceQuota(Limits(memory_tokens=15), ALONE, 0.0)
        first = request(tokens=10)
        self.assertIsNone(quota.admit(first, 0.0))
        over = quota.admit(request(tokens=10), 0.0)
        self.assertIs(over.reason, Reason.LIMIT_MEMORY)
        quota.release(first)
        self.assertIsNone(quota.admit(request(tokens=10), 0.0))

    def test_refused_request_is_charged_nothing(self):
        limits = Limits(
            requests_per_second=1.0, tokens_per_second=10.0, memory_tokens=5
        )
        quota = WorkspaceQuota(limits, ALONE, 0.0)
        for _ in range(10):
            over = quota.admit(request(tokens=10), 0.0)
            self.assertIs(over.reason, Reason.LIMIT_MEMORY)
        self.assertIsNone(quota.admit(request(tokens=5), 0.0))


class QuotasTest(unittest.TestCase):
    def catalogue(self, memory):
        workspaces = {
            name: Workspace(
                name=name,
                owner="o",
                priority_class="c",
                limits=Limits(memory_tokens=memory),
            )
            for name in ("w", "v")
        }
        return Catalogue(workspaces=workspaces)

    def test_workspaces_do_not_use_each_others_limits(self):
        quotas = Quotas(ALONE)
        catalogue = self.catalogue(10)
        self.assertIsNone(quotas.admit(request(1), catalogue, 0.0))
        self.assertIsNotNone(quotas.admit(request(2), catalogue, 0.0))
        other = request(3, workspace="v")
        self.assertIsNone(quotas.admit(other, catalogue, 0.0))

    def test_end_is_counted_once(self):
        quotas = Quotas(ALONE)
        catalogue = self.catalogue(10)
        quotas.admit(request(1), catalogue, 0.0)
        for _ in range(3):
            quotas.release("r1")
        self.assertIsNone(quotas.admit(request(2), catalogue, 0.0))
        self.assertIsNotNone(quotas.admit(request(3), catalogue, 0.0))

    def test_changed_limit_is_in_force_at_once_and_keeps_count(self):
        quotas = Quotas(ALONE)
        quotas.admit(request(1), self.catalogue(10), 0.0)
        wider = self.catalogue(25)
        self.assertIsNone(quotas.admit(request(2), wider, 0.0))
        self.assertIsNotNone(quotas.admit(request(3), wider, 0.0))
        quotas.release("r1")
        self.assertIsNone(quotas.admit(request(3), wider, 0.0))


class UrgencyTest(unittest.TestCase):
    def test_class_goes_before_length(self):
        classes = {
            name: PriorityClass(name=name, owner="o", priority=number, deadline=1.0)
            for number, name in enumerate(("first", "second"))
        }
        catalogue = Catalogue(classes=classes)
        order = [
            request(tokens=1000, priority_class="first"),
            request(tokens=1_000_000, priority_class="first"),
            request(tokens=1000, priority_class="second"),
            request(tokens=20_000, priority_class="second"),
            request(tokens=100_000, priority_class="second"),
        ]
        ranks = [request_priority(x, catalogue) for x in order]
        self.assertEqual(ranks, sorted(set(ranks)))

    def test_call_has_the_rank_of_its_class(self):
        classes = {"c": PriorityClass(name="c", owner="o", priority=0, deadline=1.0)}
        call = Request("r", "w", "c", Call("s", "GET", "/", True), 0.0, 1.0)
        self.assertEqual(request_priority(call, Catalogue(classes=classes)), 0)


class LentQuotaMachine(RuleBasedStateMachine):
    """Entries whose clocks differ, and loans that are lost or late.

    The oracle counts exactly what all entries hold and took.
    """

    OFFSETS = (0.0, 0.2, -0.2)  # seconds by which clocks are off

    @initialize()
    def begin(self):
        self.now = 0.0
        self.pools = [Pool(LIMIT, SHARED) for _ in range(ENTRIES)]
        self.rates = [
            Rate(LIMIT, SHARED, self.clock(entry)) for entry in range(ENTRIES)
        ]
        self.held = []
        self.taken = 0.0
        self.late = []

    def clock(self, entry):
        return self.now + self.OFFSETS[entry]

    @rule(seconds=st.floats(0.01, 4.0))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(entry=st.integers(0, 2), amount=st.integers(1, 300))
    def hold(self, entry, amount):
        if self.pools[entry].take(amount, self.clock(entry)):
            self.held.append((entry, amount))

    @rule(data=st.data())
    def let_go(self, data):
        if self.held:
            index = data.draw(st.integers(0, len(self.held) - 1))
            entry, amount = self.held.pop(index)
            self.pools[entry].give_back(amount)

    @rule(entry=st.integers(0, 2), amount=st.floats(1, 400))
    def spend(self, entry, amount):
        if self.rates[entry].take(amount, self.clock(entry)) == 0.0:
            self.taken += amount

    @rule(
        lender=st.integers(0, 2),
        borrower=st.integers(0, 2),
        amount=st.floats(1, 300),
        fate=st.sampled_from(["arrives", "late", "lost"]),
        pool=st.booleans(),
    )
    def lend(self, lender, borrower, amount, fate, pool):
        if lender == borrower:
            return
        limits = self.pools if pool else self.rates
        in_use = self.pools[lender].in_use if pool else 0.0
        loan = limits[lender].share.lend(amount, in_use, self.clock(lender))
        if loan is None:
            return
        if fate == "arrives":
            limits[borrower].share.borrow(loan, self.clock(borrower))
        elif fate == "late":
            self.late.append((limits[borrower], borrower, loan))

    @rule()
    def deliver_late(self):
        for limit, entry, loan in self.late:
            limit.share.borrow(loan, self.clock(entry))
        self.late = []

    @invariant()
    def shares_never_exceed_the_limit(self):
        for limits in (self.pools, self.rates):
            usable = sum(
                limit.share.usable(self.clock(entry))
                for entry, limit in enumerate(limits)
            )
            assert usable <= LIMIT + 1e-6

    @invariant()
    def spending_is_within_the_stated_bound(self):
        largest = 400.0  # one request beyond the bucket, for each entry
        bound = LIMIT * (self.now + SHARED.burst) + ENTRIES * largest
        bound += LIMIT * 2 * max(self.OFFSETS)
        assert self.taken <= bound, (self.taken, bound)

    @invariant()
    def holding_is_within_the_stated_bound(self):
        held = sum(amount for _, amount in self.held)
        overhang = LIMIT * (1 - SHARED.retained_share) * (ENTRIES - 1) / ENTRIES
        assert held <= LIMIT + overhang + 1e-6, held


class LentQuotaTest(LentQuotaMachine.TestCase):
    """Runs the machine, under a name that a test process can load."""


LentQuotaTest.settings = settings(
    max_examples=80, stateful_step_count=40, deadline=None, derandomize=True
)
