"""Tests of the small components of a direct entry."""

import asyncio
import errno
import os
import unittest
import unittest.mock

import msgspec
from hypothesis import given, settings, strategies as st

from chicorycove.direct import peer_datagram, peer_link
from chicorycove.direct.board import WorkItem, WorkItemKey
from chicorycove.direct.budget import BudgetSettings, SharedRetryBudget
from chicorycove.direct.command import UpdatePeers
from chicorycove.direct.event import PeersUpdated
from chicorycove.direct.eventstream import EventBuffer, find_last_id
from chicorycove.direct.http import (
    HttpRequest,
    compute_fingerprint,
    end_to_end_headers,
)
from chicorycove.direct.linelog import MAX_BUFFERED, MAX_WRITE, LineLog
from chicorycove.direct.route import (
    Deployment,
    Route,
    RoutingTable,
    Share,
    WorkspaceKeys,
    pick_service,
)
from chicorycove.direct.store_lag import StoreLagDetector
from chicorycove.direct.store_revision import StoreRevision

from .direct import REVISION, DirectWorld


def route(prefix, host="a.example", name=""):
    return Route(
        name=name or prefix,
        host=host,
        prefix=prefix,
        shares=(Share(service="s"),),
        repeatable=True,
        streamed=False,
        timeout=1.0,
        objective=0.1,
    )


class EventBufferTest(unittest.TestCase):
    stream = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(1, 21))

    @given(st.lists(st.integers(1, 40), max_size=40))
    @settings(max_examples=200, deadline=None)
    def test_any_split_yields_each_complete_event_once(self, sizes):
        buffer = EventBuffer(None)
        rest, output, last = self.stream, b"", 0
        for size in [*sizes, len(self.stream)]:
            batch = buffer.feed(rest[:size])
            rest = rest[size:]
            if batch is not None:
                self.assertTrue(batch.data.endswith(b"\n\n"))
                self.assertGreater(batch.last_id, last)
                last = batch.last_id
                output += batch.data
        self.assertEqual(output, self.stream)
        self.assertFalse(buffer.has_partial_event)

    @given(st.integers(0, 20))
    def test_events_that_a_rerun_repeats_are_omitted(self, after):
        batch = EventBuffer(after).feed(self.stream)
        if after == 20:
            self.assertIsNone(batch)
        else:
            self.assertEqual(batch.count, 20 - after)
            self.assertTrue(batch.data.startswith(b"id: %d\n" % (after + 1)))

    def test_incomplete_event_is_held_back(self):
        buffer = EventBuffer(None)
        self.assertIsNone(buffer.feed(b"id: 1\ndata: x\n"))
        self.assertTrue(buffer.has_partial_event)
        self.assertEqual(buffer.feed(b"\n").last_id, 1)

    def test_ids_that_are_not_numbers(self):
        self.assertIsNone(find_last_id(b"data: x\n\n"))
        self.assertIsNone(find_last_id(b"id: abc\n\n"))


class RoutingTableTest(unittest.TestCase):
    def test_longest_prefix_of_the_host(self):
        table = RoutingTable(
            Deployment(
                version=1,
                routes=(route("/"), route("/a/"), route("/a/b/"), route("/z/", "b.b")),
            )
        )
        found = {
            "/": "/",
            "/a": "/",
            "/a/": "/a/",
            "/a/b": "/a/",
            "/a/b/c/d": "/a/b/",
            "/z/": "/",
        }
        for path, prefix in found.items():
            with self.subTest(path):
                self.assertEqual(table.find_route("A.example", path).prefix, prefix)
        self.assertIsNone(table.find_route("b.b", "/a/"))
        self.assertIsNone(table.find_route("c.c", "/"))

    def test_key_identifies_its_workspace(self):
        keys = (WorkspaceKeys(name="w", keys=("k1", "k2")),)
        table = RoutingTable(Deployment(version=1, workspaces=keys))
        self.assertEqual(table.find_workspace("k2").name, "w")
        self.assertIsNone(table.find_workspace("k3"))
        self.assertIsNone(table.find_workspace(None))

    def test_services_are_picked_by_weight(self):
        shares = (Share(service="a", weight=90), Share(service="b", weight=10))
        draws = [number / 1000 for number in range(1000)]
        picked = [pick_service(shares, draw) for draw in draws]
        self.assertEqual(picked.count("b"), 100)


class SharedRetryBudgetTest(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(st.floats(0, 1.0), st.booleans(), st.integers(0, 4)),
            max_size=400,
        )
    )
    @settings(max_examples=100, deadline=None)
    def test_all_entries_together_stay_within_the_budget(self, steps):
        limits = BudgetSettings(ratio=0.2, window=10.0, extra_retries=20)
        entries = [SharedRetryBudget(limits) for _ in range(5)]
        now, requests, retries = 0.0, [], []
        for pause, is_request, number in steps:
            now += pause
            if is_request:
                entries[number].count_request("s", now)
                requests.append(now)
            elif entries[number].consume("s", 5, now):
                retries.append(now)
            recent = sum(1 for time in retries if time > now - limits.window)
            counted = sum(1 for time in requests if time > now - 2 * limits.window)
            self.assertLessEqual(recent, limits.ratio * counted + limits.extra_retries)

    def test_entries_that_restart_together_stay_within_the_budget(self):
        # Each may have started alone or beside 67 others, which it learns from
        # the store's first list.
        limits = BudgetSettings(ratio=0.2, window=10.0, extra_retries=206)
        retry_count = 0
        for _ in range(68):
            budget = SharedRetryBudget(limits)
            for _ in range(10):
                budget.count_request("s", 0.0)
            retry_count += sum(budget.consume("s", None, 0.1) for _ in range(100))
            retry_count += sum(budget.consume("s", 68, 0.2) for _ in range(100))
        self.assertLessEqual(retry_count, 0.2 * 68 * 10 + 206)


class EntryCountTest(unittest.TestCase):
    def test_entries_are_counted_once_the_store_has_listed_them(self):
        world = DirectWorld()
        names = frozenset({"entry-1"})
        world.handle(PeersUpdated(names, complete=False))
        self.assertIsNone(world.board.entry_count)
        world.handle(PeersUpdated(names))
        self.assertEqual(world.board.entry_count, 1)


class PeerUpdateTest(unittest.TestCase):
    def test_work_item_is_decoded_by_another_clock(self):
        sent = WorkItem(
            WorkItemKey("entry-1", 7),
            "t",
            tokens=5000,
            prefill_time=0.5,
            memory=6000,
            context_tokens=6000.0,
            events_left=12,
            max_gap=0.2,
            value=1.5,
            placed_at=99.0,
            expected_prefill_end=100.5,
            objective_at=101.0,
            preempting=True,
        )
        update = UpdatePeers((sent,), (WorkItemKey("entry-1", 3),), ("x",))
        (data,) = peer_datagram.encode("entry-1", update, REVISION, 100.0)
        update = peer_datagram.decode(data, 5000.0)
        (received,) = update.work_items
        self.assertEqual((received.key, received.target), (sent.key, "t"))
        self.assertAlmostEqual(received.expected_prefill_end, 5000.5)
        self.assertAlmostEqual(received.placed_at, 4999.0)
        self.assertTrue(received.preempting)
        self.assertEqual(update.ended, (WorkItemKey("entry-1", 3),))
        self.assertEqual(update.unreachable, ("x",))
        self.assertEqual(update.store_revision, REVISION)

    def test_datagrams_of_many_work_items_fit_a_frame(self):
        work_items = tuple(
            WorkItem(WorkItemKey("e", n), "i-0123456789") for n in range(40)
        )
        for data in peer_datagram.encode(
            "front-kitakyushu-1.01234567",
            UpdatePeers(work_items),
            StoreRevision(1, 10**9),
            0.0,
        ):
            self.assertLess(len(data), 1400)

    def test_foreign_datagrams_are_rejected(self):
        for data in (b"", b"hello", b"\x93\x01\x02\x03", b"\xff" * 2000):
            with self.assertRaises(msgspec.MsgspecError):
                peer_datagram.decode(data, 0.0)


class PeerLinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.now = 10.0
        self.failures = []
        loop = asyncio.get_running_loop()
        with unittest.mock.patch.object(loop, "time", lambda: self.now):
            self.link = peer_link.PeerLink(
                "entry-1.aa",
                lambda update: None,
                lambda update: None,
                lambda event, error, is_new: self.failures.append((event, is_new)),
            )

    def receive(self, name, host):
        (data,) = peer_datagram.encode(name, UpdatePeers(), REVISION, self.now)
        self.link.datagram_received(data, (host, 7000))

    async def test_unlisted_unresponsive_peer_is_removed(self):
        self.receive("entry-2.aa", "10.0.0.2")
        self.now += 2.0
        self.link.prune(set(), 1.0)
        self.assertEqual(list(self.link.names), [])

    async def test_peer_name_from_before_a_restart_is_removed(self):
        self.receive("entry-2.aa", "10.0.0.2")
        self.now += 2.0
        self.receive("entry-2.bb", "10.0.0.2")
        self.link.prune({"entry-2.bb"}, 1.0)
        self.assertEqual(list(self.link.names), ["entry-2.bb"])

    async def test_failures_are_new_once_a_second(self):
        for _ in range(3):
            self.link.datagram_received(b"none of ours", ("10.0.0.9", 1))
            self.link.error_received(ConnectionRefusedError())
        new_failures = [event for event, is_new in self.failures if is_new]
        self.assertEqual(new_failures, ["datagram unreadable", "datagram refused"])
        self.assertEqual(len(self.failures), 6)
        self.now += 1.0
        self.link.datagram_received(b"none of ours", ("10.0.0.9", 1))
        self.assertEqual(self.failures[-1], ("datagram unreadable", True))

    async def test_listed_name_of_a_restarted_peer_is_not_unresponsive(self):
        self.link.add("entry-2.aa", ("10.0.0.2", 7000))
        self.link.add("entry-3.aa", ("10.0.0.3", 7000))
        self.receive("entry-2.bb", "10.0.0.2")
        self.assertEqual(self.link.unresponsive(1.0), {"entry-3.aa"})


class StoreLagDetectorTest(unittest.TestCase):
    def setUp(self):
        self.store_lag = StoreLagDetector(tolerance=1.0)
        self.store_lag.record_own_revision(StoreRevision(1, 10))

    def test_peer_that_stays_ahead_requires_a_resync(self):
        self.assertFalse(self.store_lag.record_peer_revision(StoreRevision(1, 11), 0.0))
        self.assertFalse(self.store_lag.record_peer_revision(StoreRevision(1, 12), 1.0))
        self.assertTrue(self.store_lag.record_peer_revision(StoreRevision(1, 12), 1.1))

    def test_resync_is_required_once_per_tolerance(self):
        self.store_lag.record_peer_revision(StoreRevision(1, 11), 0.0)
        self.assertTrue(self.store_lag.record_peer_revision(StoreRevision(1, 11), 1.1))
        self.assertFalse(self.store_lag.record_peer_revision(StoreRevision(1, 11), 1.2))
        self.assertTrue(self.store_lag.record_peer_revision(StoreRevision(1, 11), 2.2))

    def test_changes_that_arrive_in_time_require_no_resync(self):
        for number in range(20):
            self.assertFalse(
                self.store_lag.record_peer_revision(
                    StoreRevision(1, 11 + number), number * 0.5
                )
            )
            self.store_lag.record_own_revision(StoreRevision(1, 11 + number))

    def test_peer_that_is_behind_requires_no_resync(self):
        self.assertFalse(self.store_lag.record_peer_revision(StoreRevision(1, 9), 0.0))
        self.assertFalse(self.store_lag.record_peer_revision(StoreRevision(1, 10), 5.0))

    def test_peer_of_an_earlier_era_requires_no_resync(self):
        self.store_lag.record_own_revision(StoreRevision(2, 3))
        for now in (0.0, 5.0):
            self.assertFalse(
                self.store_lag.record_peer_revision(StoreRevision(1, 50), now)
            )

    def test_peer_without_an_era_requires_no_resync(self):
        # It is an entry of an earlier version, in this era or the one before.
        for now in (0.0, 5.0):
            self.assertFalse(
                self.store_lag.record_peer_revision(StoreRevision(0, 50), now)
            )

    def test_peer_of_a_later_era_requires_a_resync(self):
        self.store_lag.record_peer_revision(StoreRevision(2, 3), 0.0)
        self.assertTrue(self.store_lag.record_peer_revision(StoreRevision(2, 3), 1.1))

    def test_revision_of_an_earlier_era_is_not_missing_in_the_next(self):
        self.store_lag.record_peer_revision(StoreRevision(1, 50), 0.0)
        self.store_lag.record_own_revision(StoreRevision(2, 3))
        self.assertFalse(self.store_lag.record_peer_revision(StoreRevision(2, 4), 5.0))


class LineLogTest(unittest.TestCase):
    def test_full_pipe_drops_lines_and_counts_them(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        log = LineLog(writer, "p")
        for number in range(20_000):
            log.write("event", number=number)
        self.assertLessEqual(len(log._buffer), MAX_BUFFERED + 200)
        os.set_blocking(reader, False)
        while True:
            try:
                os.read(reader, 65_536)
            except BlockingIOError:
                log.flush()
                if not log._buffer:
                    break
        while True:
            try:
                os.read(reader, 1 << 20)
            except BlockingIOError:
                break
        log.write("after")
        line = msgspec.json.decode(os.read(reader, 65_536).splitlines()[-1])
        self.assertGreater(line["dropped_before"], 0)
        self.assertEqual(line["dropped_before"], log.dropped_count)

    def test_each_write_has_complete_lines_that_fit_a_pipe(self):
        # inc-a60e: a start wrote 20 KB at once, of which the log showed 8.
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        log = LineLog(writer, "p")
        with unittest.mock.patch.object(log, "_schedule", return_value=True):
            for number in range(300):
                log.write("event", number=number)
            log.write("long", text="x" * 2 * MAX_WRITE)
        pieces = []

        def write(descriptor, data):
            pieces.append(data)
            return len(data)

        with unittest.mock.patch("os.write", write):
            log.flush()
        self.assertTrue(all(piece.endswith(b"\n") for piece in pieces))
        self.assertTrue(all(len(piece) <= MAX_WRITE for piece in pieces[:-1]))
        self.assertEqual(b"".join(pieces).count(b"\n"), 301)

    def test_lines_that_cannot_be_written_are_counted(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        log = LineLog(writer, "p")
        error = OSError(errno.ENOSPC, "No space left on device")
        with unittest.mock.patch("os.write", side_effect=error):
            log.write("event")
            log.write("event")
        self.assertEqual(log.dropped_count, 2)
        log.write("after")
        line = msgspec.json.decode(os.read(reader, 65_536))
        self.assertEqual(line["dropped_before"], 2)

    def test_closed_reader_raises_no_error(self):
        reader, writer = os.pipe()
        os.close(reader)
        self.addCleanup(os.close, writer)
        LineLog(writer, "p").write("event")


class HeaderTest(unittest.TestCase):
    def test_hop_by_hop_headers_are_omitted(self):
        headers = [
            (b"Connection", b"close, X-Once"),
            (b"x-once", b"1"),
            (b"Keep-Alive", b"timeout=5"),
            (b"TE", b"trailers"),
            (b"Content-Length", b"3"),
            (b"X-Kept", b"2"),
        ]
        self.assertEqual(end_to_end_headers(headers), [(b"X-Kept", b"2")])


class FingerprintTest(unittest.TestCase):
    def fingerprint(self, method=b"GET", url=b"/a/1", body=b"", workspace="w", id=b""):
        headers = [(b"Chicorycove-Attempt-Id", id)]
        request = HttpRequest(method, url, headers, body, received_at=0.0)
        return compute_fingerprint(request, workspace)

    def test_repeat_with_another_id_has_the_same_fingerprint(self):
        self.assertEqual(self.fingerprint(id=b"1"), self.fingerprint(id=b"2"))

    def test_other_requests_have_other_fingerprints(self):
        others = {
            self.fingerprint(),
            self.fingerprint(method=b"DELETE"),
            self.fingerprint(url=b"/a/1?b"),
            self.fingerprint(body=b"x"),
            self.fingerprint(workspace="v"),
        }
        self.assertEqual(len(others), 5)
