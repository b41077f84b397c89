"""Limits of workspaces, checked against exact counts."""

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
from chicorycove.quota import (
    CapacityLimiter,
    Quotas,
    QuotaSettings,
    RateLimiter,
    WorkspaceQuota,
)
from chicorycove.reason import Reason
from chicorycove.request import Call, Prompt, Request

SINGLE_ENTRY = QuotaSettings(max_entries=1, burst=2.0)
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
        quota = WorkspaceQuota(Limits(requests_per_second=1.0), SINGLE_ENTRY, 0.0)
        self.assertIsNone(quota.admit(request(), 0.0))
        self.assertIsNone(quota.admit(request(), 0.0))
        exceeded = quota.admit(request(), 0.0)
        self.assertIs(exceeded.reason, Reason.LIMIT_REQUESTS)
        self.assertEqual(exceeded.retry_after, 1.0)
        self.assertIsNone(quota.admit(request(), exceeded.retry_after))

    def test_prompt_beyond_the_burst_delays_later_ones(self):
        quota = WorkspaceQuota(Limits(tokens_per_second=10.0), SINGLE_ENTRY, 0.0)
        self.assertIsNone(quota.admit(request(tokens=100), 0.0))
        exceeded = quota.admit(request(tokens=1), 1.0)
        self.assertIs(exceeded.reason, Reason.LIMIT_TOKENS)
        self.assertAlmostEqual(exceeded.retry_after, 7.1)
        self.assertIsNone(quota.admit(request(tokens=1), 8.2))

    def test_memory_is_held_while_a_request_runs(self):
        quota = WorkspaceQuota(Limits(memory_tokens=15), SINGLE_ENTRY, 0.0)
        first = request(tokens=10)
        self.assertIsNone(quota.admit(first, 0.0))
        exceeded = quota.admit(request(tokens=10), 0.0)
        self.assertIs(exceeded.reason, Reason.LIMIT_MEMORY)
        quota.release(first)
        self.assertIsNone(quota.admit(request(tokens=10), 0.0))

    def test_refused_request_is_charged_nothing(self):
        limits = Limits(
            requests_per_second=1.0, tokens_per_second=10.0, memory_tokens=5
        )
        quota = WorkspaceQuota(limits, SINGLE_ENTRY, 0.0)
        for _ in range(10):
            exceeded = quota.admit(request(tokens=10), 0.0)
            self.assertIs(exceeded.reason, Reason.LIMIT_MEMORY)
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
        quotas = Quotas(SINGLE_ENTRY)
        catalogue = self.catalogue(10)
        self.assertIsNone(quotas.admit(request(1), catalogue, 0.0))
        self.assertIsNotNone(quotas.admit(request(2), catalogue, 0.0))
        other = request(3, workspace="v")
        self.assertIsNone(quotas.admit(other, catalogue, 0.0))

    def test_release_is_counted_once(self):
        quotas = Quotas(SINGLE_ENTRY)
        catalogue = self.catalogue(10)
        quotas.admit(request(1), catalogue, 0.0)
        for _ in range(3):
            quotas.release("r1")
        self.assertIsNone(quotas.admit(request(2), catalogue, 0.0))
        self.assertIsNotNone(quotas.admit(request(3), catalogue, 0.0))

    def test_changed_limit_is_in_force_immediately_and_keeps_count(self):
        quotas = Quotas(SINGLE_ENTRY)
        quotas.admit(request(1), self.catalogue(10), 0.0)
        wider = self.catalogue(25)
        self.assertIsNone(quotas.admit(request(2), wider, 0.0))
        self.assertIsNotNone(quotas.admit(request(3), wider, 0.0))
        quotas.release("r1")
        self.assertIsNone(quotas.admit(request(3), wider, 0.0))


class RequestPriorityTest(unittest.TestCase):
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
        priorities = [request_priority(item, catalogue) for item in order]
        self.assertEqual(priorities, sorted(set(priorities)))

    def test_call_has_the_priority_of_its_class(self):
        classes = {"c": PriorityClass(name="c", owner="o", priority=0, deadline=1.0)}
        call = Request("r", "w", "c", Call("s", "GET", "/", True), 0.0, 1.0)
        self.assertEqual(request_priority(call, Catalogue(classes=classes)), 0)


class LentQuotaMachine(RuleBasedStateMachine):
    """Entries with clock skew that lend each other shares of a limit.

    Loans may be lost or delayed. The invariants compare the limit with exact
    counts of what all entries hold and have consumed.
    """

    OFFSETS = (0.0, 0.2, -0.2)  # seconds of each entry's clock skew

    @initialize()
    def begin(self):
        self.now = 0.0
        self.capacity_limiters = [
            CapacityLimiter(LIMIT, SHARED) for _ in range(ENTRIES)
        ]
        self.rate_limiters = [
            RateLimiter(LIMIT, SHARED, self.clock(entry)) for entry in range(ENTRIES)
        ]
        self.held_amounts = []
        self.consumed = 0.0
        self.delayed_loans = []

    def clock(self, entry):
        return self.now + self.OFFSETS[entry]

    @rule(seconds=st.floats(0.01, 4.0))
    def advance_time(self, seconds):
        self.now += seconds

    @rule(entry=st.integers(0, 2), amount=st.integers(1, 300))
    def acquire(self, entry, amount):
        if self.capacity_limiters[entry].acquire(amount, self.clock(entry)):
            self.held_amounts.append((entry, amount))

    @rule(data=st.data())
    def release(self, data):
        if self.held_amounts:
            index = data.draw(st.integers(0, len(self.held_amounts) - 1))
            entry, amount = self.held_amounts.pop(index)
            self.capacity_limiters[entry].release(amount)

    @rule(entry=st.integers(0, 2), amount=st.floats(1, 400))
    def consume(self, entry, amount):
        if self.rate_limiters[entry].consume(amount, self.clock(entry)) == 0.0:
            self.consumed += amount

    @rule(
        lender=st.integers(0, 2),
        borrower=st.integers(0, 2),
        amount=st.floats(1, 300),
        delivery=st.sampled_from(["arrives", "delayed", "lost"]),
        capacity=st.booleans(),
    )
    def lend(self, lender, borrower, amount, delivery, capacity):
        if lender == borrower:
            return
        limiters = self.capacity_limiters if capacity else self.rate_limiters
        in_use = self.capacity_limiters[lender].in_use if capacity else 0.0
        loan = limiters[lender].share.lend(amount, in_use, self.clock(lender))
        if loan is None:
            return
        if delivery == "arrives":
            limiters[borrower].share.borrow(loan, self.clock(borrower))
        elif delivery == "delayed":
            self.delayed_loans.append((limiters[borrower], borrower, loan))

    @rule()
    def deliver_delayed_loans(self):
        for limiter, entry, loan in self.delayed_loans:
            limiter.share.borrow(loan, self.clock(entry))
        self.delayed_loans = []

    @invariant()
    def shares_never_exceed_the_limit(self):
        for limiters in (self.capacity_limiters, self.rate_limiters):
            usable = sum(
                limiter.share.usable(self.clock(entry))
                for entry, limiter in enumerate(limiters)
            )
            assert usable <= LIMIT + 1e-6

    @invariant()
    def spending_is_within_the_stated_bound(self):
        largest = 400.0  # one request larger than the bucket, at each entry
        bound = LIMIT * (self.now + SHARED.burst) + ENTRIES * largest
        bound += LIMIT * 2 * max(self.OFFSETS)
        assert self.consumed <= bound, (self.consumed, bound)

    @invariant()
    def holding_is_within_the_stated_bound(self):
        held = sum(amount for _, amount in self.held_amounts)
        held_past_expiry = LIMIT * (1 - SHARED.retained_share) * (ENTRIES - 1) / ENTRIES
        assert held <= LIMIT + held_past_expiry + 1e-6, held


class LentQuotaTest(LentQuotaMachine.TestCase):
    """Run the state machine, under a name that test processes can import."""


LentQuotaTest.settings = settings(
    max_examples=80, stateful_step_count=40, deadline=None, derandomize=True
)
