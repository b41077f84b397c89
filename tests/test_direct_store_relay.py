"""The relay of the store's changes between entries of a failure domain."""

import asyncio
import json
import random
import unittest
import unittest.mock
import zlib

import msgspec
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from chicorycove.direct import peer_datagram
from chicorycove.direct.client import CallFailed
from chicorycove.direct.peer_link import BURST_LENGTH, PeerLink
from chicorycove.direct.store_relay import (
    MAX_COPIED_PARTS,
    MAX_PART_SIZE,
    MAX_PARTS,
    RelaySettings,
    RelayUpdate,
    StoreRelay,
)
from chicorycove.direct.store_revision import StoreRevision
from chicorycove.platform.changes import decode_changes, encode_changes
from chicorycove.platform.store import Item

from .direct import REVISION
from .platform_case import FailureDomainTestCase

HEARTBEAT_INTERVAL = 0.2  # seconds
NAMES = ("a", "b", "c", "d", "e")


class SimulatedEntry:
    """An entry that keeps a copy of the store's keys, without sockets."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.relay = StoreRelay(name, RelaySettings())
        self.revision = None
        self.recorded = None  # the last revision, also if it is forgotten
        self.copy = {}
        self.cut = False  # the store does not answer it
        self.frozen = False

    def step(self):
        """Make the call to the store that is due, if any, or apply updates."""
        now = self.world.now
        if self.frozen:
            return
        if self.relay.era_superseded:
            self._record(None)
        if self.revision is None:
            self._list()
        elif not self.relay.follows(now):
            self._watch()
        else:
            self._apply_relayed()
            due = self.relay.fetch_due_at()
            if due is not None and due <= now:
                self._watch()

    def send_heartbeat(self):
        if self.is_watcher:
            self._send([self.relay.create_heartbeat(self.revision, None)])

    @property
    def is_watcher(self):
        return (
            not self.frozen
            and not self.cut
            and self.revision is not None
            and not self.relay.follows(self.world.now)
        )

    def _list(self):
        if self.cut:
            return
        recorded, known, newest = self.recorded, self.copy, self.world.newest
        self.copy = dict(self.world.contents[newest])
        items = [
            Item(key, newest.number, value)
            for key, value in self.copy.items()
            if known.get(key) != value
        ]
        self._record(newest)
        same_era = recorded is not None and recorded.era == newest.era
        if items and same_era and self.is_watcher:
            data = encode_changes(items)
            self._send(self.relay.create_updates(recorded.number, newest, data, None))

    def _watch(self):
        self.world.watch_count += 1
        if self.cut:
            if not self.relay.follows(self.world.now):
                self._record(None)
            return
        after = self.revision.number
        if self.revision.era != self.world.newest.era:
            self._record(None)
            return
        items = [
            Item(key, revision, value)
            for revision, key, value in self.world.changes
            if revision > after
        ]
        self._apply(items)
        self._record(self.world.newest)
        if items and self.is_watcher:
            data = encode_changes(items)
            self._send(self.relay.create_updates(after, self.revision, data, None))

    def _apply_relayed(self):
        while (changes := self.relay.next_changes()) is not None:
            items = decode_changes(changes.data)
            followed = self.revision.number
            self._apply([item for item in items if item.revision > followed])
            self._record(changes.revision)

    def _apply(self, items):
        for item in items:
            self.copy[item.key] = item.value

    def _record(self, revision):
        self.revision = revision
        self.recorded = revision or self.recorded
        self.relay.record_revision(revision, self.world.now)

    def _send(self, updates):
        for name in self.relay.recipients(self.world.entries):
            for update in updates:
                data = peer_datagram.encode_relay(update, self.world.now)
                self.world.datagrams.append((name, data))


class RelayMachine(RuleBasedStateMachine):
    """Entries of a failure domain, with lost, repeated and late datagrams.

    The store is restored from copies; the numbers of lost revisions are
    assigned again.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.newest = StoreRevision(1, 0)
        self.contents = {self.newest: {}}  # the store's keys at each revision
        self.changes = []
        self.datagrams = []
        self.watch_count = 0
        self.entries = {name: SimulatedEntry(self, name) for name in NAMES}
        for entry in self.entries.values():
            entry.step()

    @rule(key=st.sampled_from("xyz"), count=st.integers(1, 3))
    def change(self, key, count):
        for _ in range(count):
            era, number = self.newest.era, self.newest.number + 1
            value = f"{era:04}{number:04}"  # base64 of six bytes
            contents = {**self.contents[self.newest], key: value}
            self.newest = StoreRevision(era, number)
            self.contents[self.newest] = contents
            self.changes.append((number, key, value))

    @rule(lost=st.integers(0, 6))
    def restore(self, lost):
        """Restore the store from a copy that lacks some changes."""
        number = max(self.newest.number - lost, 0)
        contents = self.contents[self._find(self.newest.era, number)]
        self.newest = StoreRevision(self.newest.era + 1, number)
        self.contents[self.newest] = contents
        self.changes = [change for change in self.changes if change[0] <= number]

    def _find(self, era, number):
        """Return the revision of the newest era that has a number."""
        while StoreRevision(era, number) not in self.contents:
            era -= 1
        return StoreRevision(era, number)

    @rule(seconds=st.sampled_from((0.05, 0.2, 1.0)))
    def advance(self, seconds):
        self.now += seconds
        for entry in self.entries.values():
            entry.send_heartbeat()

    @rule(name=st.sampled_from(NAMES))
    def step(self, name):
        self.entries[name].step()

    @rule(index=st.integers(0, 50), repeated=st.booleans())
    def deliver(self, index, repeated):
        if self.datagrams:
            index %= len(self.datagrams)
            name, data = self.datagrams[index]
            if not repeated:
                del self.datagrams[index]
            self._receive(name, data)

    @rule(index=st.integers(0, 50))
    def lose(self, index):
        if self.datagrams:
            del self.datagrams[index % len(self.datagrams)]

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        self.entries[name] = SimulatedEntry(self, name)

    @rule(name=st.sampled_from(NAMES), frozen=st.booleans())
    def freeze(self, name, frozen):
        self.entries[name].frozen = frozen

    @rule(name=st.sampled_from(NAMES), cut=st.booleans())
    def cut(self, name, cut):
        self.entries[name].cut = cut

    @rule()
    def end_faults(self):
        """Check that all entries follow the store again within its bound."""
        for entry in self.entries.values():
            entry.frozen = entry.cut = False
        self.datagrams.clear()
        for _ in range(10):
            self._run_for(HEARTBEAT_INTERVAL)
        self.change("x", 1)
        for _ in range(10):  # two seconds, the least time that a change may take
            self._run_for(HEARTBEAT_INTERVAL)
        revisions = [entry.revision for entry in self.entries.values()]
        assert revisions == [self.newest] * 5
        before = self.watch_count
        self._run_for(HEARTBEAT_INTERVAL)
        assert self.watch_count - before == RelaySettings().watcher_count

    def _run_for(self, seconds):
        self.now += seconds
        for entry in self.entries.values():
            entry.send_heartbeat()
            entry.step()
        while self.datagrams:
            self._receive(*self.datagrams.pop(0))

    def _receive(self, name, data):
        entry = self.entries[name]
        if not entry.frozen:
            entry.relay.receive(peer_datagram.decode_relay(data), self.now)

    @invariant()
    def each_copy_is_the_store_at_a_revision(self):
        for entry in self.entries.values():
            if entry.revision is not None:
                assert entry.copy == self.contents[entry.revision], entry.name


class RelayFuzzTest(RelayMachine.TestCase):
    """Runs the state machine under a name that a test process can load."""


RelayFuzzTest.settings = settings(
    max_examples=80, stateful_step_count=40, deadline=None, derandomize=True
)


class WatcherChoiceTest(unittest.TestCase):
    def setUp(self):
        self.relay = StoreRelay("c", RelaySettings())
        self.relay.record_revision(REVISION, 0.0)

    def hear(self, name, now, revision=REVISION):
        self.relay.receive(RelayUpdate(owner=name, revision=revision), now)

    def test_entry_watches_until_it_hears_two_earlier_watchers(self):
        self.assertFalse(self.relay.follows(1.0))
        self.hear("a", 1.0)
        self.hear("d", 1.0)
        self.assertFalse(self.relay.follows(1.0))
        self.hear("b", 1.1)
        self.assertTrue(self.relay.follows(1.1))

    def test_entry_watches_once_a_watcher_is_silent(self):
        self.hear("a", 1.0)
        self.hear("b", 1.0)
        self.hear("a", 1.8)
        timeout = RelaySettings().watcher_timeout
        self.assertTrue(self.relay.follows(1.0 + timeout - 0.01))
        self.assertFalse(self.relay.follows(1.0 + timeout + 0.01))

    def test_entry_without_a_revision_does_not_follow(self):
        self.hear("a", 1.0)
        self.hear("b", 1.0)
        self.relay.record_revision(None, 1.0)
        self.assertFalse(self.relay.follows(1.0))

    def test_heartbeats_go_to_entries_that_may_follow(self):
        self.assertEqual(self.relay.recipients("ab"), [])
        self.assertEqual(self.relay.recipients("abde"), ["d", "e"])
        self.assertEqual(StoreRelay("a", RelaySettings()).recipients("bcd"), ["c", "d"])


class LinkRateTest(unittest.TestCase):
    """Failure: an entry with a thin link watches the store for wide ones."""

    def setUp(self):
        self.rates = {"a": 7.0, "b": 100.0, "c": 20.0, "d": 100.0, "e": 7.0}

    def create_relay(self, name):
        relay = StoreRelay(name, RelaySettings(), self.rates[name])
        relay.record_link_rates(self.rates)
        relay.record_revision(REVISION, 0.0)
        return relay

    def test_entries_with_the_widest_links_watch(self):
        for name, expected in zip("abcde", (True, False, True, False, True)):
            relay = self.create_relay(name)
            for watcher in "bd":
                if watcher != name:
                    update = RelayUpdate(owner=watcher, revision=REVISION)
                    relay.receive(update, 1.0)
            self.assertEqual(relay.follows(1.0), expected, name)

    def test_entry_with_the_widest_link_is_the_first_watcher(self):
        first = [
            name for name in self.rates if self.create_relay(name).is_first(self.rates)
        ]
        self.assertEqual(first, ["b"])  # before "d" by its name

    def test_heartbeats_go_to_entries_with_thinner_links(self):
        self.assertEqual(self.create_relay("b").recipients("acde"), ["c", "a", "e"])
        self.assertEqual(self.create_relay("c").recipients("abde"), ["a", "e"])

    def test_entry_whose_link_is_unknown_precedes_none(self):
        relay = self.create_relay("a")
        for name in "xy":
            relay.receive(RelayUpdate(owner=name, revision=REVISION), 1.0)
        self.assertFalse(relay.follows(1.0))


class LateDatagramTest(unittest.TestCase):
    """Failure: a heartbeat that waited on a link passes for a recent one."""

    def setUp(self):
        self.relay = StoreRelay("c", RelaySettings())
        self.relay.record_revision(REVISION, 0.0)

    def hear(self, sent_at, arrived_at):
        for name in "ab":
            update = RelayUpdate(owner=name, revision=REVISION, sent_at=sent_at)
            self.relay.receive(update, arrived_at)

    def test_late_heartbeat_counts_from_when_it_was_sent(self):
        self.hear(500.0, 1.0)
        self.hear(500.2, 1.9)  # 0.7 s late
        self.assertTrue(self.relay.follows(2.0))
        self.assertFalse(self.relay.follows(2.2))

    def test_heartbeat_that_is_later_than_the_timeout_is_not_heard(self):
        self.hear(500.0, 1.0)
        self.hear(500.2, 4.0)
        self.assertFalse(self.relay.follows(4.0))
        self.assertFalse(self.relay.hears_watcher(4.0))

    def test_clocks_that_drift_apart_do_not_make_heartbeats_late(self):
        for second in range(100_000):
            self.hear(second, second * 1.0001)
        self.assertTrue(self.relay.follows(99_999 * 1.0001))


class EraTest(unittest.TestCase):
    """Failure: what belongs to an earlier era is taken as the present one."""

    def setUp(self):
        self.relay = StoreRelay("c", RelaySettings())
        self.relay.record_revision(StoreRevision(2, 31), 0.0)

    def receive(self, name, era, number, now=1.0, **fields):
        revision = StoreRevision(era, number)
        update = RelayUpdate(owner=name, revision=revision, **fields)
        return self.relay.receive(update, now)

    def test_watcher_of_an_earlier_era_is_not_heard(self):
        self.assertTrue(self.receive("a", 2, 31))
        self.assertFalse(self.receive("b", 1, 56))
        self.assertFalse(self.relay.follows(1.0))
        self.assertIsNone(self.relay.fetch_due_at())

    def test_watchers_heard_before_the_store_was_restored_are_not_counted(self):
        self.receive("a", 2, 31)
        self.receive("b", 2, 31)
        self.assertTrue(self.relay.follows(1.0))
        self.relay.record_revision(None, 1.0)
        self.relay.record_revision(StoreRevision(3, 20), 1.0)
        self.assertFalse(self.relay.follows(1.0))

    def test_watcher_without_an_era_is_not_heard(self):
        # An entry of an earlier version may not know of the restoration.
        self.assertFalse(self.receive("a", 0, 31))

    def test_entries_of_a_store_without_eras_follow_one_another(self):
        relay = StoreRelay("c", RelaySettings())
        relay.record_revision(StoreRevision(0, 7), 0.0)
        for name in "ab":
            relay.receive(RelayUpdate(owner=name, revision=StoreRevision(0, 7)), 1.0)
        self.assertTrue(relay.follows(1.0))

    def test_later_era_of_a_watcher_supersedes_the_own(self):
        self.receive("a", 3, 20)
        self.assertTrue(self.relay.era_superseded)
        self.relay.record_revision(None, 1.0)
        self.relay.record_revision(StoreRevision(3, 20), 1.0)
        self.assertFalse(self.relay.era_superseded)

    def test_batch_of_another_era_continues_no_revision(self):
        data = {"part_count": 1, "data": b"x"}
        self.receive("a", 1, 33, after=30, **data)
        self.receive("a", 3, 33, after=30, **data)
        self.assertIsNone(self.relay.next_changes())
        self.receive("a", 2, 33, after=30, **data)
        self.assertEqual(self.relay.next_changes().revision, StoreRevision(2, 33))

    def test_late_batch_of_an_earlier_era_is_no_gap(self):
        self.receive("a", 1, 90, after=56, part_count=1, data=b"x")
        self.assertIsNone(self.relay.fetch_due_at())


class BatchTest(unittest.TestCase):
    def setUp(self):
        self.sender = StoreRelay("a", RelaySettings())
        self.relay = StoreRelay("c", RelaySettings())
        self.relay.record_revision(REVISION, 0.0)

    def create_updates(self, after, revision, data, era=1):
        return self.sender.create_updates(
            after, StoreRevision(era, revision), data, None
        )

    def test_batch_is_complete_once_all_parts_have_arrived(self):
        data = random.Random(1).randbytes(3 * MAX_PART_SIZE - 1)
        updates = self.create_updates(7, 9, data)
        self.assertEqual(len(updates), 3)
        for update in reversed(updates):
            self.assertIsNone(self.relay.next_changes())
            self.relay.receive(update, 1.0)
        changes = self.relay.next_changes()
        self.assertEqual(changes.revision, StoreRevision(1, 9))
        self.assertEqual(changes.data, data)

    def test_batch_after_a_gap_waits_and_is_fetched(self):
        for update in self.create_updates(8, 9, b"late"):
            self.relay.receive(update, 1.0)
        self.assertIsNone(self.relay.next_changes())
        gap_tolerance = RelaySettings().gap_tolerance
        self.assertEqual(self.relay.fetch_due_at(), 1.0 + gap_tolerance)
        for update in self.create_updates(7, 8, b"early"):
            self.relay.receive(update, 1.1)
        self.assertEqual(self.relay.next_changes().data, b"early")
        self.relay.record_revision(StoreRevision(1, 8), 1.1)
        self.assertEqual(self.relay.next_changes().data, b"late")
        self.relay.record_revision(StoreRevision(1, 9), 1.1)
        self.assertIsNone(self.relay.fetch_due_at())

    def test_batch_over_the_limit_is_only_announced(self):
        data = bytes(MAX_PARTS * MAX_PART_SIZE + 1)
        (update,) = self.create_updates(7, 9, data)
        self.assertEqual(update.part_count, 0)
        self.relay.receive(update, 1.0)
        self.assertLessEqual(self.relay.fetch_due_at(), 1.0)

    def test_large_batch_comes_from_the_first_watcher_alone(self):
        data = bytes(MAX_COPIED_PARTS * MAX_PART_SIZE + 1)
        revision = StoreRevision(1, 9)
        updates = self.sender.create_updates(7, revision, data, None, first=True)
        self.assertEqual(len(updates), MAX_COPIED_PARTS + 1)
        updates = self.sender.create_updates(7, revision, data, None, first=False)
        self.assertEqual(updates, [])
        data = data[:-1]
        updates = self.sender.create_updates(7, revision, data, None, first=False)
        self.assertEqual(len(updates), MAX_COPIED_PARTS)

    def test_parts_that_arrive_put_off_the_fetch_for_a_bounded_time(self):
        settings = RelaySettings()
        updates = self.create_updates(7, 9, bytes(MAX_PARTS * MAX_PART_SIZE))
        heartbeat = self.sender.create_heartbeat(StoreRevision(1, 9), None)
        self.relay.receive(heartbeat, 1.0)
        self.assertEqual(self.relay.fetch_due_at(), 1.0 + settings.gap_tolerance)
        self.relay.receive(updates[0], 1.1)
        self.assertEqual(self.relay.fetch_due_at(), 1.1 + settings.gap_tolerance)
        self.relay.receive(updates[0], 1.15)  # the same part again
        self.assertEqual(self.relay.fetch_due_at(), 1.1 + settings.gap_tolerance)
        self.relay.receive(updates[1], 1.9)
        latest = 1.0 + settings.max_batch_time + settings.gap_tolerance
        self.assertEqual(self.relay.fetch_due_at(), latest)

    def test_missing_part_is_fetched_once_the_last_one_has_arrived(self):
        updates = self.create_updates(7, 9, bytes(3 * MAX_PART_SIZE))
        self.relay.receive(updates[0], 1.0)
        self.assertGreater(self.relay.fetch_due_at(), 1.0)
        self.relay.receive(updates[2], 1.1)
        self.assertLessEqual(self.relay.fetch_due_at(), 1.1)
        self.relay.receive(updates[1], 1.15)  # late, before the fetch
        self.assertEqual(self.relay.next_changes().revision, StoreRevision(1, 9))

    def test_batch_that_cannot_be_applied_is_fetched_at_once(self):
        (update,) = self.create_updates(7, 9, b"patch of another version")
        self.relay.receive(update, 1.0)
        self.relay.discard(self.relay.next_changes(), 1.0)
        self.assertIsNone(self.relay.next_changes())
        self.assertLessEqual(self.relay.fetch_due_at(), 1.0)

    def test_impossible_parts_are_ignored(self):
        for part, count in ((0, 0), (3, 3), (-1, 2), (0, 10**9)):
            update = RelayUpdate(
                owner="a",
                revision=StoreRevision(1, 9),
                after=7,
                part=part,
                part_count=count,
                data=b"x",
            )
            self.relay.receive(update, 1.0)
        self.assertIsNone(self.relay.next_changes())

    def test_memory_of_early_batches_is_bounded(self):
        for revision in range(10, 1_000):
            update = RelayUpdate(
                owner="a",
                revision=StoreRevision(1, revision),
                after=9,
                part_count=2,
                data=b"x",
            )
            self.relay.receive(update, 1.0)
        self.assertLess(len(self.relay._batches), 50)


class ChangesTest(unittest.TestCase):
    def test_items_are_unchanged(self):
        items = (Item("servers/i-1", 4, "AAEC"), Item("op/config", 5, deleted=True))
        self.assertEqual(decode_changes(encode_changes(items)), items)

    def test_item_that_is_not_base64_is_sent_as_unreadable(self):
        # A watcher has removed what the key named, and its followers must too.
        self.assertEqual(
            decode_changes(encode_changes([Item("k", 4, "?")])), (Item("k", 4, ""),)
        )

    def test_foreign_data_is_rejected(self):
        encoded = encode_changes([Item("servers/i-1", 4, "AAEC")])
        change = msgspec.msgpack.encode(("servers/i-1", 4, b"", False))
        nested = b"\x91" + b"\x95" + change[1:] + b"\x91" * 60_000
        for data in (b"", b"x", encoded[:-6], zlib.compress(nested)):
            with self.assertRaises(ValueError):
                decode_changes(data)

    def test_datagram_fits_a_frame(self):
        relay = StoreRelay("front-kitakyushu-13.01234567", RelaySettings())
        revision = StoreRevision(10**9, 10**9 + 1)
        for update in relay.create_updates(10**9, revision, bytes(3_000), 1.5):
            data = peer_datagram.encode_relay(update)
            self.assertLess(len(data), 1400)
            self.assertEqual(peer_datagram.decode_relay(data), update)
        with self.assertRaises(msgspec.MsgspecError):
            peer_datagram.decode_relay(peer_datagram.RELAY_MARK + b"hello")


class BurstTest(unittest.IsolatedAsyncioTestCase):
    """Failure: a series of datagrams at once overflows a socket's buffer."""

    async def asyncSetUp(self):
        self.transport = unittest.mock.Mock()
        self.transport.is_closing.return_value = False
        self.link = PeerLink("a", None, None, None)
        self.link.connection_made(self.transport)
        self.link.add("b", ("127.0.0.1", 9))

    def send(self, count):
        update = RelayUpdate(owner="a", revision=REVISION)
        self.link.send_relay({"b"}, [update] * count)

    @property
    def sent_count(self):
        return self.transport.sendto.call_count

    async def test_long_series_is_sent_in_bursts(self):
        self.send(3 * BURST_LENGTH + 1)
        self.assertEqual(self.sent_count, BURST_LENGTH)
        async with asyncio.timeout(10.0):
            while self.sent_count < 3 * BURST_LENGTH + 1:
                await asyncio.sleep(0.01)

    async def test_nothing_is_sent_after_the_socket_has_closed(self):
        self.send(2 * BURST_LENGTH)
        self.transport.is_closing.return_value = True
        await asyncio.sleep(0.1)
        self.assertEqual(self.sent_count, BURST_LENGTH)


class FollowerTest(FailureDomainTestCase):
    async def test_two_entries_watch_and_all_apply_changes(self):
        self.store.calls.clear()
        for version in range(2, 7):
            await self.wait_for_version(version, 2.0)
        watches = [path for path in self.store.calls if path.endswith("kv-watch")]
        self.assertLessEqual(len(watches), 2 * 5 + 2)

    async def test_others_watch_once_the_watchers_are_gone(self):
        for process in self.processes[:2]:
            await process.stop()
        del self.processes[:2]
        await self.wait_for_version(2, 2.0)

    async def test_lost_batches_are_fetched(self):
        with unittest.mock.patch.object(StoreRelay, "next_changes", lambda relay: None):
            await self.wait_for_version(2, 2.0)

    async def test_entry_of_an_older_version_gets_no_updates_of_the_relay(self):
        recorder = DatagramRecorder()
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: recorder, local_addr=("127.0.0.1", 0)
        )
        self.addCleanup(transport.close)
        host, port = transport.get_extra_info("sockname")
        entry = json.dumps({"address": f"{host}:{port}"}).encode()
        self.store.put("chicorycove/entries/entry-9.aa", entry)
        await self.wait_for_version(2, 2.0)
        await asyncio.sleep(0.5)
        self.assertTrue(recorder.received)
        marks = {data[:1] == peer_datagram.RELAY_MARK for data in recorder.received}
        self.assertEqual(marks, {False})

    async def test_store_is_listed_after_a_failed_call_and_silent_watchers(self):
        # The call may have lost changes that no watcher has relayed since.
        self.processes[3]._follower._must_list_at_gap = True
        for process in self.processes[:2]:
            await process.stop()
        del self.processes[:2]
        self.store.calls.clear()
        await self.wait_for_version(3, 3.0)
        self.assertIn("/chicorycove/kv-range", self.store.calls)

    async def test_entry_that_the_store_refuses_follows_the_others(self):
        refused = self.processes[3]._follower._store
        with unittest.mock.patch.multiple(
            refused,
            _call_client=RefusedClient(),
            _watch_client=RefusedClient(),
            _list_client=RefusedClient(),
            _read_client=RefusedClient(),
        ):
            for version in range(2, 5):
                await self.wait_for_version(version, 2.0)


class DatagramRecorder(asyncio.DatagramProtocol):
    """Keeps the datagrams that arrive."""

    def __init__(self):
        self.received = []

    def datagram_received(self, data, address):
        self.received.append(data)


class RefusedClient:
    """A client of a store that refuses this host."""

    async def call(self, *arguments, **options):
        raise CallFailed(ConnectionRefusedError(), False)


if __name__ == "__main__":
    unittest.main()
