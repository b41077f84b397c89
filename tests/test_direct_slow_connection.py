"""Tests of connections to targets in a process that runs late."""

import asyncio
import contextlib
import errno
import gc
import socket
import struct
import unittest
import unittest.mock
import warnings

from chicorycove.attempt import AttemptStep, advance
from chicorycove.direct.client import CONNECT_TIMEOUT, CallFailed, HttpClient
from chicorycove.direct.connector import open_socket
from chicorycove.direct.event import TargetProbed
from chicorycove.direct.exchange import TargetAttempt
from chicorycove.direct.settings import DirectSettings
from chicorycove.direct.target_calls import TargetCalls
from chicorycove.direct.target_connection import CancelledConnections
from chicorycove.identity import AttemptId
from chicorycove.reason import Reason
from chicorycove.verdict import Verdict

from .platform_case import TIMEOUT, PlatformTestCase
from .scripted import ScriptedServer, answer

SLOW_TIME = 2.0  # seconds, within the deadline of an order
LATE_TURNS = 16  # of the event loop, more than a call takes


class SteppedClock:
    """Advances the event loop's clock, as turns do that take long."""

    def __init__(self):
        loop = asyncio.get_running_loop()
        self._real_time, loop.time = loop.time, self.time
        self._real_select = loop._selector.select
        loop._selector.select = self._select
        self._offset = 0.0
        self._delays = []

    def time(self):
        return self._real_time() + self._offset

    async def delay_turns(self, delays, begun=lambda: True):
        """Delay one turn after the other, once a call has begun."""
        while not begun():
            await asyncio.sleep(0)
        self._delays = list(delays)
        while self._delays:
            await asyncio.sleep(0)

    def _select(self, timeout):
        """End a turn: its delay has passed as the loop looks for events."""
        if self._delays:
            self._offset += self._delays.pop(0)
        return self._real_select(timeout)


def late_turns(timeout):
    """Yield delays by which a timeout ends in one turn or another."""
    for turn in range(LATE_TURNS):
        yield [0.0] * turn + [1.1 * timeout]
    for share in (0.1, 0.2, 0.25, 0.34, 0.5, 0.75, 1.0):
        yield [share * timeout] * int(SLOW_TIME / (share * timeout))


class OrderTest(PlatformTestCase):
    """Orders may run once, and are served although the process runs late."""

    model_count = 0

    async def asyncSetUp(self):
        self.clock = SteppedClock()
        await super().asyncSetUp()

    async def test_order_is_not_sent_again_as_its_connection_times_out(self):
        timeout = DirectSettings().timeouts.connect_timeout
        others = []
        for delays in late_turns(timeout):
            caller = await self.open_caller()
            order = caller.send("/order/x")
            turns = self.clock.delay_turns(delays, lambda: self.process._entry.busy)
            reply, _ = await asyncio.gather(caller.read(), turns)
            runs = [run for run in self.runs() if run.attempt == order]
            if (reply.status, len(runs)) != (200, 1):
                others.append((delays, reply.status, len(runs)))
        self.assertEqual(others, [])
        events = {line["event"] for line in await self.log_lines()}
        self.assertNotIn("attempt failed", events)

    async def test_request_that_has_ended_is_not_sent(self):
        self.assertFalse(self.process._entry.begin_attempt(AttemptId("gone", 1, "1")))

    async def test_attempt_that_has_ended_is_not_sent(self):
        for server in self.shop_servers:
            server.faults.hang = True
        caller = await self.open_caller()
        order = caller.send("/order/x")
        async with asyncio.timeout(TIMEOUT):
            while not self.runs():
                await asyncio.sleep(0)
        attempt = self.process._board.requests[order].attempts[-1]
        advance(attempt, AttemptStep.FAIL)
        self.assertFalse(self.process._entry.begin_attempt(attempt.id))


class CallTest(unittest.IsolatedAsyncioTestCase):
    """Calls go on over connections that have opened in time."""

    async def asyncSetUp(self):
        async def handle(request):
            request.send(answer(b"{}"))

        self.server = await ScriptedServer.start(handle)
        self.addAsyncCleanup(self.server.close)
        self.clock = SteppedClock()

    async def test_open_connection_does_not_time_out(self):
        failures = []
        for delays in late_turns(CONNECT_TIMEOUT):
            client = HttpClient(self.server.address)
            call = client.call("GET", "/", timeout=2 * SLOW_TIME)
            try:
                await asyncio.gather(call, self.clock.delay_turns(delays))
            except CallFailed as error:
                failures.append((delays, error))
        self.assertEqual(failures, [])

    async def test_live_target_is_not_reported_as_unreachable(self):
        settings = DirectSettings()
        events = []
        log = unittest.mock.Mock()
        calls = TargetCalls(None, None, settings, log, events.append)
        for delays in late_turns(settings.timeouts.connect_timeout):
            probe = calls.probe("i-1", self.server.address)
            await asyncio.gather(probe, self.clock.delay_turns(delays))
        self.assertNotIn(TargetProbed("i-1", False), events)
        log.write.assert_not_called()

    async def test_only_a_refused_probe_says_that_the_target_has_ended(self):
        settings = DirectSettings()
        for error, refused in (
            (ConnectionRefusedError(), True),
            (TimeoutError(), False),
            (OSError(errno.EHOSTUNREACH, "No route to host"), False),
        ):
            events = []
            calls = TargetCalls(
                None, None, settings, unittest.mock.Mock(), events.append
            )
            with (
                self.subTest(error),
                unittest.mock.patch(
                    "chicorycove.direct.target_calls.open_socket", side_effect=error
                ),
            ):
                await calls.probe("i-1", self.server.address)
                self.assertEqual(events, [TargetProbed("i-1", False, refused)])


class AttemptTest(unittest.IsolatedAsyncioTestCase):
    """Attempts send nothing that they may not, and say what they sent."""

    async def asyncSetUp(self):
        self.received = []  # bytes, by connection
        self.open_count = 0  # connections
        self.ended = asyncio.Event()
        server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = "%s:%d" % server.sockets[0].getsockname()

    async def accept(self, reader, writer):
        """Close a connection at its end, or once a request is read."""
        data = b""
        self.open_count += 1
        with contextlib.suppress(ConnectionError):
            while not data and not reader.at_eof():
                data += await reader.read(100)
        self.received.append(data)
        self.open_count -= 1
        self.ended.set()
        writer.close()

    def new_attempt(self, time_left=3.0, begins=True, address=None):
        self.listener = unittest.mock.Mock()
        self.listener.begin_attempt.return_value = begins
        exchange = unittest.mock.Mock(listener=self.listener)
        exchange.dialect.build_request.return_value = b"GET / HTTP/1.1\r\n\r\n"
        now = asyncio.get_running_loop().time()
        command = unittest.mock.Mock(
            address=address or self.address, deadline=now + time_left
        )
        return TargetAttempt(exchange, command)

    async def check_nothing_sent(self, attempt):
        """Open an attempt and check that its connection gets no byte."""
        async with asyncio.timeout(TIMEOUT):
            await attempt.open(1.0)
            await self.ended.wait()
        self.assertEqual(self.received, [b""])

    async def check_failure(self, attempt, reason, verdict):
        """Open an attempt and check how it failed."""
        failed = asyncio.Event()
        self.listener.attempt_failed.side_effect = lambda *_: failed.set()
        async with asyncio.timeout(TIMEOUT):
            await attempt.open(1.0)
            await failed.wait()
        self.listener.attempt_failed.assert_called_once_with(
            attempt.attempt, reason, verdict
        )

    async def test_attempt_that_must_not_begin_sends_nothing(self):
        await self.check_nothing_sent(self.new_attempt(begins=False))

    async def test_connection_that_opens_after_the_deadline_sends_nothing(self):
        await self.check_nothing_sent(self.new_attempt(time_left=0.0))
        self.listener.begin_attempt.assert_not_called()

    async def test_refused_connection_proves_that_nothing_ran(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = "127.0.0.1:%d" % listener.getsockname()[1]
        attempt = self.new_attempt(address=address)
        await self.check_failure(attempt, Reason.TARGET_UNREACHABLE, Verdict.NOT_RUN)

    async def test_attempt_that_was_just_reset_can_be_closed(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            attempt = self.new_attempt(address="%s:%d" % listener.getsockname())
            attempt._exchange.cancelled_connections = CancelledConnections()
            await attempt.open(1.0)
            peer, _ = listener.accept()
            peer.recv(100)
            peer.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            peer.close()  # the event loop has not seen the reset yet
            attempt.close()

    async def test_connection_lost_after_the_request_may_have_run(self):
        attempt = self.new_attempt()
        await self.check_failure(attempt, Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN)

    async def test_attempt_that_is_closed_in_any_turn_sends_nothing_later(self):
        for turn in range(LATE_TURNS):
            for end in ("close", "cancel"):
                with self.subTest(turn=turn, end=end), no_leak(self):
                    await self.end_in_turn(turn, end)

    async def end_in_turn(self, turn, end):
        attempt = self.new_attempt()
        opening = asyncio.create_task(attempt.open(1.0))
        for _ in range(turn):
            await asyncio.sleep(0)
        begun = self.listener.begin_attempt.called
        if end == "close":
            attempt.close()
        else:
            opening.cancel()
        await asyncio.wait([opening])
        for _ in range(LATE_TURNS):
            await asyncio.sleep(0)
        sent = attempt.log_fields()["sent"]
        self.assertEqual(sent, self.listener.begin_attempt.called)
        if end == "close":
            self.assertEqual(sent, begun)
        if sent:  # the answer's head would end it
            attempt.connection.abort()
            await asyncio.sleep(0)
        else:
            self.assertEqual(self.open_count, 0)


class ConnectorTest(unittest.IsolatedAsyncioTestCase):
    async def test_names_and_addresses_are_connected_to(self):
        hosts = {socket.AF_INET: ["127.0.0.1", "localhost"], socket.AF_INET6: ["::1"]}
        for family, names in hosts.items():
            try:
                listener = socket.create_server((names[0], 0), family=family)
            except OSError:  # a host without IPv6
                self.assertEqual(family, socket.AF_INET6)
                continue
            with listener:
                port = listener.getsockname()[1]
                for name in names:
                    with await open_socket(f"{name}:{port}", 1.0) as sock:
                        self.assertEqual(sock.getpeername()[:2], (names[0], port))

    async def test_last_part_of_a_request_does_not_wait_for_an_answer(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            sock = await open_socket("%s:%d" % listener.getsockname(), 1.0)
            loop = asyncio.get_running_loop()
            transport, _ = await loop.create_connection(asyncio.Protocol, sock=sock)
            option = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            transport.abort()
            self.assertTrue(option)

    async def test_each_address_of_a_name_is_tried(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            refused = listener.getsockname()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            found = [
                (socket.AF_INET, socket.SOCK_STREAM, 6, "", endpoint)
                for endpoint in (refused, listener.getsockname())
            ]
            lookup = unittest.mock.AsyncMock(return_value=found)
            with unittest.mock.patch.object(
                asyncio.get_running_loop(), "getaddrinfo", lookup
            ):
                with await open_socket("target.example:80", 1.0) as sock:
                    self.assertEqual(sock.getpeername(), listener.getsockname())

    async def test_what_cannot_be_an_address_is_an_error(self):
        for address in ("nowhere", "127.0.0.1:x", "127.0.0.1:70000", "::1:-1"):
            with self.subTest(address=address), no_leak(self):
                with self.assertRaisesRegex(OSError, "is not an address"):
                    await open_socket(address, 1.0)

    async def test_connection_that_does_not_open_times_out(self):
        with contextlib.ExitStack() as stack:
            listener = stack.enter_context(socket.socket())
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            for _ in range(4):  # fill the accept queue: later ones get no answer
                waiting = stack.enter_context(socket.socket())
                waiting.setblocking(False)
                waiting.connect_ex(listener.getsockname())
            await asyncio.sleep(0.05)
            port = listener.getsockname()[1]
            with no_leak(self), self.assertRaises(TimeoutError):
                await open_socket(f"127.0.0.1:{port}", 0.1)


@contextlib.contextmanager
def no_leak(test):
    """Fail a test if a socket is left to the garbage collector."""
    with warnings.catch_warnings(record=True) as caught:
        warnings.simplefilter("always", ResourceWarning)
        yield
        gc.collect()
    test.assertEqual([str(warning.message) for warning in caught], [])
