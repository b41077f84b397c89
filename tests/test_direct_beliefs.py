"""What a direct entry believes of its surroundings, against simple oracles."""

import asyncio
import base64
import collections
import json
import random
import unittest
import unittest.mock

from hypothesis import given, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chicorycove.direct.board import (
    DirectBoard,
    TargetListing,
    TargetView,
    WorkItem,
    WorkItemKey,
)
from chicorycove.direct.budget import BudgetSettings, SharedRetryBudget
from chicorycove.direct.event import (
    DeploymentReceived,
    PeersUpdated,
    PeerUpdateReceived,
    StoreLost,
    StoreRegained,
    TargetListed,
    TargetUnlisted,
)
from chicorycove.direct.settings import DirectSettings, peer_timeout
from chicorycove.direct.target_list import TargetList
from chicorycove.direct.work import WorkTracker
from chicorycove.exceptions import StoreUnavailable
from chicorycove.platform import follower
from chicorycove.platform.store import HistoryLost, Item, ItemBatch

from .platform_case import config

IDS = st.integers(0, 4).map("t{}".format)
PAUSES = st.sampled_from((0.01, 0.3, 1.0, 2.5))


def listing(id, leaving=False, started_at=1):
    return TargetListing(
        id, "model", f"10.0.0.{id[1:]}:80", "here", 8, leaving, started_at
    )


class TargetListMachine(RuleBasedStateMachine):
    """The oracle: a lapse is excused for its time after the store's return."""

    def __init__(self):
        super().__init__()
        self.settings = DirectSettings()
        self.board = DirectBoard()
        self.list = TargetList(self.board, self.settings)
        self.now = 10.0
        self.listed = {}  # id: leaving, as the platform said last
        self.excused = {}  # id: until when it may be used though unlisted
        self.away = False
        self.back_at = float("-inf")

    def handle(self, event):
        self.list.handle(event, self.now)

    @rule(id=IDS, leaving=st.booleans(), started_at=st.integers(1, 2))
    def tell(self, id, leaving, started_at):
        self.handle(TargetListed(listing(id, leaving, started_at)))
        self.listed[id] = leaving
        self.excused.pop(id, None)

    @rule(id=IDS)
    def take_away(self, id):
        self.handle(TargetUnlisted(id))
        leaving = self.listed.pop(id, None)
        if leaving is None:
            return
        lapsed = self.away or self.now < self.back_at + self.settings.lapse_grace
        if lapsed and not leaving:
            since = max(self.back_at, self.now)
            self.excused[id] = since + self.settings.lapse_grace

    @rule(away=st.booleans())
    def store(self, away):
        self.handle(StoreLost() if away else StoreRegained())
        if self.away and not away:
            self.back_at = self.now
        self.away = away

    @rule(pause=PAUSES)
    def wait(self, pause):
        self.now += pause
        for item in self.board.timers.pop(self.now):
            self.list.due(item, self.now)
        self.excused = {k: v for k, v in self.excused.items() if v > self.now}

    @invariant()
    def targets_are_those_listed_or_excused(self):
        assert set(self.board.targets) == set(self.listed) | set(self.excused)

    @invariant()
    def leaving_targets_get_nothing(self):
        usable = {view.listing.id for view in self.board.available_targets("model")}
        wanted = {id for id, leaving in self.listed.items() if not leaving}
        assert usable == wanted | set(self.excused)


class BudgetMachine(RuleBasedStateMachine):
    """The oracle: all entries together, in each window that slides."""

    def __init__(self):
        super().__init__()
        self.limits = BudgetSettings(
            ratio=0.2, window=10.0, extra_repeats=10, used_share=0.8
        )
        self.budgets = [SharedRetryBudget(self.limits) for _ in range(3)]
        self.now = 0.0
        self.requests = collections.deque()
        self.repeats = collections.deque()

    @rule(entry=st.integers(0, 2), count=st.integers(1, 30))
    def arrive(self, entry, count):
        for _ in range(count):
            self.budgets[entry].count_request("model", self.now)
            self.requests.append(self.now)

    @rule(entry=st.integers(0, 2), count=st.integers(1, 10))
    def repeat(self, entry, count):
        for _ in range(count):
            if self.budgets[entry].consume("model", 3, self.now):
                self.repeats.append(self.now)

    @rule(pause=PAUSES)
    def wait(self, pause):
        self.now += pause

    @invariant()
    def window_keeps_to_the_budget(self):
        # A request counts for the repeats of the window in which they are
        # made; the platform counts the window before as well.
        since = self.now - self.limits.window
        recent = sum(1 for at in self.repeats if at > since)
        asked = sum(1 for at in self.requests if at > since - self.limits.window)
        assert recent <= self.limits.ratio * asked + self.limits.extra_repeats


class PeerWorkMachine(RuleBasedStateMachine):
    """The oracle: the last that each peer has said, until it falls silent."""

    def __init__(self):
        super().__init__()
        self.settings = DirectSettings()
        self.board = DirectBoard()
        for number in range(3):
            view = TargetView(listing(f"t{number}"))
            self.board.targets[view.listing.id] = view
        self.book = WorkTracker(self.board, self.settings, "self")
        self.now = 0.0
        self.told = {}  # key: target and when it was last heard of

    @rule(owner=st.sampled_from(("p1", "p2")), numbers=st.sets(st.integers(0, 3)))
    def hear(self, owner, numbers):
        work_items = tuple(
            WorkItem(WorkItemKey(owner, number), f"t{number % 3}", memory=1)
            for number in numbers
        )
        self.book.handle(PeerUpdateReceived(owner, work_items), self.now)
        for work in work_items:
            self.told[work.key] = (work.target, self.now)

    @rule(owner=st.sampled_from(("p1", "p2")), number=st.integers(0, 3))
    def end(self, owner, number):
        key = WorkItemKey(owner, number)
        self.book.handle(PeerUpdateReceived(owner, (), (key,)), self.now)
        self.told.pop(key, None)

    @rule(pause=PAUSES, entries=st.integers(1, 30))
    def wait(self, pause, entries):
        self.now += pause
        names = frozenset(f"e{number}" for number in range(entries))
        self.board.peer_names = names
        self.book.handle(PeersUpdated(names), self.now)
        silence = peer_timeout(self.settings, entries)
        self.told = {
            key: (target, at)
            for key, (target, at) in self.told.items()
            if at >= self.now - silence
        }

    @invariant()
    def board_holds_what_peers_said(self):
        known = {
            key: view.listing.id
            for view in self.board.targets.values()
            for key in view.work_items
        }
        assert known == {key: target for key, (target, _) in self.told.items()}


class ScriptedStore:
    """Answers a follower from a script, and then no more."""

    def __init__(self, steps):
        self._steps = iter(steps)
        self.done = asyncio.Event()

    async def pages(self, prefix):
        yield await self._next(True)

    async def watch(self, prefix, after):
        return await self._next(False)

    async def _next(self, listing):
        for step in self._steps:
            if step == "down":
                raise StoreUnavailable("down")
            if step == "forgotten" and not listing:
                raise HistoryLost("forgotten")
            if isinstance(step, int):
                return ItemBatch((item(step),), step)
        self.done.set()
        await asyncio.Event().wait()


def item(version):
    """Return what a writer wrote; negative ones cannot be read."""
    text = json.dumps(config(version, keys=(f"key-{version}",)))
    data = text if version > 0 else text[:-1]
    value = base64.b64encode(data.encode()).decode()
    return Item("op/config", abs(version), value)


class ConfigurationBeliefTest(unittest.IsolatedAsyncioTestCase):
    steps = st.lists(
        st.one_of(st.sampled_from(("down", "forgotten")), st.integers(-9, 9)),
        max_size=12,
    )

    @settings(deadline=None, max_examples=60, derandomize=True)
    @given(steps=steps)
    def test_newest_that_can_be_read_is_in_force_and_none_before_it(self, steps):
        tables = asyncio.run(self.follow(steps))
        versions = [table.deployment.version for table in tables]
        wanted = []
        for step in steps:
            if isinstance(step, int) and step > max(wanted, default=0):
                wanted.append(step)
        self.assertEqual(versions, wanted)
        for table, version in zip(tables, wanted):
            for other in range(1, 10):
                known = table.workspace(f"key-{other}") is not None
                self.assertEqual(known, other == version)

    async def follow(self, steps):
        """Return the tables that a follower put in force."""
        events = []
        store = ScriptedStore(steps)
        following = follower.Follower(
            store, Silent(), random.Random(1), events.append, lambda entries: None
        )
        with unittest.mock.patch.multiple(
            follower, MIN_RETRY_DELAY=0.0, MAX_RETRY_DELAY=0.0, WATCH_PAUSE=0.0
        ):
            task = asyncio.create_task(following.follow())
            await store.done.wait()
            task.cancel()
        return [
            event.table for event in events if isinstance(event, DeploymentReceived)
        ]


class Silent:
    def write(self, event, **fields):
        pass


class TargetListTest(TargetListMachine.TestCase):
    """Runs the machine, under a name that a test process can load."""


class BudgetTest(BudgetMachine.TestCase):
    """Runs the machine, under a name that a test process can load."""


class PeerWorkTest(PeerWorkMachine.TestCase):
    """Runs the machine, under a name that a test process can load."""


for case in (TargetListTest, BudgetTest, PeerWorkTest):
    case.settings = settings(
        max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
    )


if __name__ == "__main__":
    unittest.main()
