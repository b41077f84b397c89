"""Failure: a stop under load drops requests without an answer.

Each request that reaches a stopping entry is answered or truthfully refused.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import unittest
from unittest import mock

from bench.deployment import free_port
from chicorycove import Reason, Verdict
from chicorycove.direct.board import WorkItem, WorkItemKey
from chicorycove.direct.event import (
    AnswerHeadReceived,
    AttemptConnected,
    PeersUpdated,
    StopTimeExpired,
)
from chicorycove.direct.linelog import LineLog
from chicorycove.direct.settings import DirectSettings
from chicorycove.lifecycle import AttemptFailed, StopRequested, Tick
from chicorycove.platform import process as process_module
from chicorycove.platform.listeners import open_listeners
from chicorycove.platform.process import PlatformProcess
from chicorycove.utils import cancel_all
from tests.direct import (
    LONG,
    LOOKUP,
    OK,
    ORDER,
    SHORT,
    TARGET_FULL,
    DirectWorld,
    command_names,
    only_command,
)
from tests.platform_case import Caller, PlatformTestCase, config, new_boot, route
from tests.scripted import answer as format_answer

CALLERS = 5
TIMEOUT = 20.0  # seconds


def request_bytes(id, path="/order/x", body=b"y"):
    head = (
        f"POST {path} HTTP/1.1\r\nHost: desk.example\r\n"
        f"Authorization: Bearer key-1\r\nChicorycove-Attempt-Id: {id}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class EndOfStopTest(PlatformTestCase):
    grace = 1.0

    async def stop_with(self, arrive):
        """Stop, and block the event loop at the end while callers arrive."""
        stop = asyncio.create_task(self.process.stop())
        await asyncio.sleep(0.3)

        def block():
            arrive()
            time.sleep(0.8)  # past the end of the accept time and the grace

        asyncio.get_running_loop().call_soon(block)
        await stop

    async def stop_as_callers_arrive(self, arrive):
        """Let callers arrive just before the listen queue is closed."""
        stop_listening = PlatformProcess._stop_listening

        def arrive_and_stop(process):
            arrive()
            return stop_listening(process)

        with mock.patch.object(PlatformProcess, "_stop_listening", arrive_and_stop):
            await self.process.stop()

    async def connect(self):
        caller = await self.open_caller()
        self.assertEqual((await caller.request("/order/x", b"first")).status, 200)
        return caller

    async def test_connections_in_the_listen_queue_are_answered(self):
        for stop in (self.stop_with, self.stop_as_callers_arrive):
            with self.subTest(stop.__name__):
                host, port = self.boot.callers.rsplit(":", 1)
                sockets = []

                def arrive():
                    for number in range(CALLERS):
                        caller = socket.create_connection((host, int(port)))
                        caller.sendall(request_bytes(f"queued-{number}"))
                        sockets.append(caller)

                await stop(arrive)
                for caller in sockets:
                    caller.setblocking(False)
                    reader, writer = await asyncio.open_connection(sock=caller)
                    answer = await Caller(reader, writer).read()
                    writer.close()
                    self.assertEqual(answer.status, 503)
                    self.assertIn("retry-after", answer.headers)
                self.assertEqual(self.runs(), [])
                with self.assertRaises(OSError):
                    await self.open_caller()
                self.process = await self.start_entry()

    async def test_next_request_of_a_kept_connection_is_answered(self):
        callers = [await self.connect() for _ in range(CALLERS)]

        def arrive():
            for caller in callers:
                caller.send("/order/x", b"late")

        await self.stop_with(arrive)
        for caller in callers:
            self.assertEqual((await caller.read()).status, 503)
        self.assertEqual(len(self.runs()), CALLERS)

    async def test_partly_read_request_is_refused(self):
        partial = (request_bytes("head")[:40], request_bytes("body", body=b"ab")[:-1])
        callers = []
        for data in partial:
            caller = await self.open_caller()
            caller.writer.write(data)
            callers.append(caller)
        await asyncio.sleep(0.05)
        await self.process.stop()
        for caller in callers:
            answer = await caller.read()
            self.assertEqual(answer.status, 503)
            self.assertEqual(answer.headers["connection"], "close")
        self.assertEqual(self.runs(), [])

    async def test_request_after_the_last_check_is_not_passed_on_and_cut(self):
        callers = [await self.connect() for _ in range(CALLERS)]
        self.hang()

        async def arrive_and_cancel(tasks):
            for caller in callers:
                caller.send("/order/x", b"late", Chicorycove_Time_Budget_Ms="300")
            await asyncio.sleep(0.1)  # in which they reach a target
            await cancel_all(tasks)

        with mock.patch.object(process_module, "cancel_all", arrive_and_cancel):
            await self.process.stop()
        self.assertNotIn(b"late", [run.body for run in self.runs()])

    async def test_whole_requests_behind_the_one_in_flight_are_answered(self):
        for last in (False, True):
            with self.subTest(last=last):
                self.hang()
                for server in self.shop_servers:
                    server.runs.clear()
                caller = await self.open_caller()
                for _ in range(3):
                    caller.send("/order/x", b"steel")
                await self.wait_until(self.is_running)
                stop = asyncio.create_task(self.process.stop())
                await asyncio.sleep(0.1)
                self.hang(last)
                answers = [await caller.read() for _ in range(3)]
                self.assertEqual(
                    [answer.status for answer in answers],
                    [502, 503, 503] if last else [200, 200, 200],
                )
                self.assertEqual(answers[2].headers["connection"], "close")
                await stop
                self.process = await self.start_entry()

    def hang(self, hang=True):
        for server in self.shop_servers:
            server.faults.hang = hang

    async def test_request_that_runs_at_the_end_is_not_called_unrun(self):
        self.hang()
        caller = await self.open_caller()
        caller.send("/order/x", b"steel")
        await self.wait_until(self.is_running)
        await self.process.stop()
        answer = await caller.read()
        self.assertEqual(answer.status, 502)
        self.assertNotIn("retry-after", answer.headers)
        self.assertEqual(len(self.runs()), 1)

    async def test_stream_that_runs_at_the_end_shows_as_incomplete(self):
        for server in self.model_servers:
            server.faults.pause = 0.05
        stream = asyncio.create_task(self.request_stream(output=46 * 1000))
        await self.wait_until(self.is_running)
        await self.process.stop()
        answer = await stream
        self.assertFalse(answer.complete)
        self.assertTrue(answer.events)

    async def is_running(self):
        return bool(self.runs())


class EarlyStopTest(PlatformTestCase):
    """A stop signal that comes during the start."""

    async def test_stop_begins_with_the_signal(self):
        self.store.faults.down = True  # the start waits for its first list
        handlers = {}
        processes = []

        def create(*args):
            processes.append(PlatformProcess(*args))
            return processes[0]

        boot = new_boot(store=self.boot.store, name="entry-2")
        listeners = open_listeners(boot.callers, boot.readiness)
        log = LineLog(os.dup(self.log.fileno()), boot.name)
        loop = asyncio.get_running_loop()
        with (
            mock.patch.object(loop, "add_signal_handler", handlers.__setitem__),
            mock.patch.object(process_module, "PlatformProcess", create),
        ):
            run = asyncio.create_task(process_module.run(boot, listeners, log))
            await asyncio.sleep(0.05)
            handlers[signal.SIGTERM]()
            self.assertTrue(processes[0]._entry.stopping)
            await run
        (line,) = [
            line for line in await self.log_lines() if line["event"] == "stopping"
        ]
        self.assertEqual(line["grace"], boot.grace)


class LateRequestTest(PlatformTestCase):
    """Requests that two entries read in any part of their stop."""

    grace = 4.0
    shop_count = 0
    part_count = 20  # of the grace period

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.process_boots = [self.boot]
        self.processes = [self.process]
        boot = new_boot(store=self.boot.store, name="entry-2", grace=self.grace)
        self.processes.append(await self.start_entry(boot))
        self.process_boots.append(boot)
        self.timed = await self.add_scripted_server("timed", self.answer_in_time)
        for server in self.model_servers:
            server.faults.pause = 0.05
        fields = {"timeoutMs": 8000, "targetLatencyMs": 200}
        stream = {"kind": "streaming", "service": "model", "gapTargetMs": 500}
        routes = [
            route("order", kind="unsafe", service="timed", **fields),
            route("lookup", service="timed", **fields),
            route("ask", **stream, **fields, resumable=True),
            route("say", **stream, **fields, resumable=False),
        ]
        new_config = config(2, routes)
        new_config["services"].append({"name": "timed", "healthPath": "/health"})
        self.write_config(new_config)
        await asyncio.sleep(0.5)

    async def answer_in_time(self, request):
        """Answer after the seconds that the path ends with."""
        await asyncio.sleep(float(request.path.rsplit("/", 1)[1]))
        id = request.header("chicorycove-attempt-id")
        request.send(format_answer(b"done", [f"Chicorycove-Attempt-Id: {id}"]))

    async def test_whatever_is_passed_on_is_answered(self):
        kept = [
            [
                [await Caller.open(boot.callers) for _ in range(8)]
                for boot in self.process_boots
            ]
            for _ in range(self.part_count)
        ]
        stops = [asyncio.create_task(each.stop()) for each in self.processes]
        tasks = []
        for part in range(self.part_count):
            left = self.grace * (1 - part / self.part_count)
            for number, boot in enumerate(self.process_boots):
                for caller, request in zip(kept[part][number], self.requests(left)):
                    tasks.append(asyncio.create_task(self.send(caller, *request)))
                    tasks.append(asyncio.create_task(self.send_new(boot, *request)))
            await asyncio.sleep(self.grace / self.part_count)
        await asyncio.gather(*stops)
        outcomes = await asyncio.gather(*tasks)
        arrived = {run.attempt for run in self.runs()} | {
            request.header("chicorycove-attempt-id") for request in self.timed.requests
        }
        for id, path, answer in outcomes:
            with self.subTest(path=path, id=id):
                if id in arrived:
                    self.assertIsNotNone(answer)
                    self.assertTrue(answer.complete)
                    self.assertIn(answer.status, (200, 502, 504))
                elif answer is not None:
                    self.assertEqual(answer.status, 503)
        statuses = [answer.status for _, _, answer in outcomes if answer is not None]
        self.assertEqual(set(statuses), {200, 502, 503, 504})

    def requests(self, left):
        """Return paths and time limits, before and after the process ends."""
        return [
            ("/order/0", 8.0),
            (f"/order/{left * 0.8}", 8.0),
            (f"/order/{left * 1.2}", 8.0),
            (f"/order/{left * 0.4}", left * 0.8),
            ("/order/9", left * 0.8),
            (f"/lookup/{left * 0.8}", 8.0),
            ("/ask/x", 8.0),
            ("/say/x", 8.0),
        ]

    async def send_new(self, boot, path, time_limit):
        try:
            caller = await Caller.open(boot.callers)
        except ConnectionRefusedError:
            return None, path, None
        return await self.send(caller, path, time_limit)

    async def send(self, caller, path, time_limit):
        """Return the request's id, its path, and the answer, if one begins."""
        headers = {"Chicorycove_Time_Budget_Ms": str(int(time_limit * 1000))}
        if path in ("/ask/x", "/say/x"):
            headers["Chicorycove_Token_Counts"] = "100,460"
        id = caller.send(path, b"y", **headers)
        try:
            return id, path, await caller.read()
        except (ConnectionError, asyncio.IncompleteReadError):
            return id, path, None
        finally:
            caller.close()


class AcceptTest(PlatformTestCase):
    """What a stopping entry accepts can end before the process does.

    ``direct.shutdown.ShutdownPolicy`` decides it for each request.
    """

    grace = 4.0

    async def test_requests_of_the_last_milliseconds_are_answered(self):
        for server in self.model_servers:
            server.faults.pause = 0.01
        stop = asyncio.create_task(self.process.stop())
        tasks = []
        while not stop.done():
            for path in ("/order/x", "/ask/x"):
                tasks.append(asyncio.create_task(self.send_once(path)))
            await asyncio.sleep(0.01)
        outcomes = await asyncio.gather(*tasks)
        statuses = [answer.status for answer in outcomes if answer is not None]
        self.assertLessEqual(set(statuses), {200, 503})
        self.assertGreater(statuses.count(200), 100)
        self.assertTrue(all(each.complete for each in outcomes if each is not None))
        self.assertEqual(len(self.runs()), statuses.count(200))

    async def send_once(self, path):
        """Return the answer, or None if the connection was refused."""
        try:
            caller = await Caller.open(self.boot.callers)
        except ConnectionRefusedError:
            return None
        try:
            return await caller.request(path, Chicorycove_Token_Counts="100,460")
        finally:
            caller.close()


class BusyTargetTest(PlatformTestCase):
    """Failure: a stream is accepted behind a long prompt, and then cut.

    Whether it could end in time was decided by the route's objective, whatever
    the target still had to read.
    """

    grace = 6.0
    shop_count = 0
    model_count = 1

    async def test_stream_behind_a_long_prompt_is_refused(self):
        stream = {"kind": "streaming", "service": "model", "resumable": True}
        fields = {**stream, "timeoutMs": 15_000, "targetLatencyMs": 300}
        self.write_config(config(2, [route("ask", gapTargetMs=500, **fields)]))
        await asyncio.sleep(0.5)
        (server,) = self.model_servers
        caller = await self.open_caller()
        await caller.request("/ask/x", **self.prompt(1_000))
        server.faults.hang = True
        long_caller = await self.open_caller()
        # The engine reads it for over six seconds.
        long_id = long_caller.send("/ask/x", **self.prompt(330_000))
        await self.wait_until(self.reads_long_prompt)
        stop = asyncio.create_task(self.process.stop())
        await asyncio.sleep(2.9)  # seconds, after which not all is accepted
        answer = await caller.request("/ask/x", **self.prompt(5_000))
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertEqual([run.attempt for run in server.runs[1:]], [long_id])
        server.faults.hang = False
        await stop

    def prompt(self, tokens):
        budget = {"Chicorycove_Time_Budget_Ms": "15000"}
        return {"Chicorycove_Token_Counts": f"{tokens},460", **budget}

    async def reads_long_prompt(self):
        return len(self.runs()) == 2


class SharedTargetTest(PlatformTestCase):
    """Failure: a stream is accepted late, slowed down by others, and cut.

    Another entry sends a long prompt to the same target after it.
    """

    grace = 4.0
    shop_count = 0
    model_count = 1

    async def asyncSetUp(self):
        await super().asyncSetUp()
        stream = {"kind": "streaming", "service": "model", "resumable": True}
        fields = {**stream, "timeoutMs": 8000, "targetLatencyMs": 200}
        self.write_config(config(2, [route("ask", gapTargetMs=500, **fields)]))
        self.stopping, self.stopping_boot = self.process, self.boot
        await self.start_entry(
            new_boot(store=self.boot.store, name="entry-2", grace=self.grace)
        )
        await self.wait_until(self.entries_know_each_other)

    async def entries_know_each_other(self):
        return self.stopping._board.entry_count == 2

    async def test_late_stream_is_refused_while_others_may_slow_it_down(self):
        (server,) = self.model_servers
        early, late = [await Caller.open(self.stopping_boot.callers) for _ in range(2)]
        self.addCleanup(early.close)
        self.addCleanup(late.close)
        server.faults.pause = 0.045
        early_id = early.send("/ask/x", **self.prompt(2760))
        stop = asyncio.create_task(self.stopping.stop())
        await asyncio.sleep(self.grace / 2 + 0.1)  # not all is accepted any more
        late_id = late.send("/ask/x", **self.prompt(460))
        await asyncio.sleep(0.1)
        server.faults.pause = 0.5  # as the target reads a long prompt
        answer = await late.read()
        self.assertTrue(answer.complete)
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.headers["retry-after"], "0.000")
        server.faults.pause = 0.01
        repeat = await self.request("/ask/x", **self.prompt(460))
        self.assertEqual((repeat.status, repeat.complete), (200, True))
        runs = [run.attempt for run in server.runs]
        self.assertIn(early_id, runs)
        self.assertNotIn(late_id, runs)
        await stop

    def prompt(self, output_tokens):
        budget = {"Chicorycove_Time_Budget_Ms": "8000"}
        return {"Chicorycove_Token_Counts": f"1000,{output_tokens}", **budget}


class AnswerEndTest(unittest.TestCase):
    """Decisions of a stopping entry on answers that may end after it."""

    def setUp(self):
        self.settings = DirectSettings(stop_accept_time=2.8, stop_finish_time=7.5)

    def create(self, **fields):
        return DirectWorld(settings=self.settings, **fields)

    def stop(self, world, at):
        world.now = at
        world.handle(StopRequested())

    def assert_refused(self, commands, verdict=Verdict.NOT_RUN):
        failure = only_command(commands, "FailRequest")
        self.assertEqual((failure.reason, failure.verdict), (Reason.STOPPING, verdict))

    def assert_sent(self, commands, *targets):
        self.assertIn(only_command(commands, "SendAttempt").target.target, targets)

    def test_short_prompt_at_an_idle_target_is_accepted(self):
        world = self.create()
        self.stop(world, 0.0)
        for world.now in (0.0, 2.9, 3.5):
            commands = world.receive(f"r{world.now}", SHORT, output_tokens=1610)
            only_command(commands, "SendAttempt")

    def test_short_prompt_behind_a_long_one_is_refused(self):
        for groups, accepted in ((1, False), (2, True)):
            with self.subTest(engines=groups):
                world = self.create(engines=groups)
                self.occupy_alone(world)
                self.stop(world, 0.5)
                world.now = 3.5
                commands = world.receive("short", SHORT, output_tokens=1610)
                if accepted:
                    self.assert_sent(commands, "e1")
                else:
                    self.assert_refused(commands)

    def occupy_alone(self, world, tokens=330_000, prefill_time=6.3):
        """Let the first target read a prompt that is not split."""
        view = world.board.targets["e0"]
        item = WorkItem(
            WorkItemKey("entry-2", 1),
            "e0",
            tokens=tokens,
            prefill_time=prefill_time,
            placed_at=world.now,
            expected_prefill_end=world.now + prefill_time,
            refreshed_at=world.now,
        )
        view.work_items[item.key] = item
        return item

    def test_late_prompt_is_refused_beside_other_entries(self):
        for names, complete, accepted in (
            ({"entry-1", "entry-2"}, True, False),
            ({"entry-1"}, False, False),  # the others are not known
            ({"entry-1"}, True, True),
        ):
            for output_tokens in (46, 1610):
                with self.subTest(names=names, complete=complete, out=output_tokens):
                    world = self.create()
                    world.handle(PeersUpdated(frozenset(names), complete=complete))
                    self.stop(world, 0.0)
                    world.now = 2.7
                    early = world.receive("early", SHORT, output_tokens=output_tokens)
                    only_command(early, "SendAttempt")
                    world.now = 2.9
                    late = world.receive("late", SHORT, output_tokens=output_tokens)
                    if accepted:
                        only_command(late, "SendAttempt")
                    else:
                        self.assert_refused(late)

    def test_late_prompt_is_sent_beside_other_entries_if_its_deadline_ends_it(self):
        world = self.create()
        world.handle(PeersUpdated(frozenset({"entry-1", "entry-2"})))
        self.stop(world, 0.0)
        world.now = 2.9
        commands = world.receive("short", SHORT, time_limit=4.5)
        only_command(commands, "SendAttempt")

    def test_late_prompt_is_measured_alike_after_a_refusal_by_a_target(self):
        for sent_at, accepted in ((2.7, True), (2.9, False)):
            with self.subTest(sent_at=sent_at):
                world = self.create(engines=2)
                self.stop(world, 0.0)
                world.now = sent_at
                send = world.send("short", SHORT, output_tokens=1610)
                world.now = 4.8
                commands = world.handle(AnswerHeadReceived(send.attempt, TARGET_FULL))
                if accepted:
                    only_command(commands, "SendAttempt")
                else:
                    self.assert_refused(commands)

    def test_answer_that_a_long_prompt_would_cut_is_not_begun(self):
        # Its last tokens are read far more slowly than its first ones.
        world = self.create(engines=1)
        self.stop(world, 0.0)
        world.now = 2.0
        send = world.send("short", SHORT, output_tokens=230)
        world.now = 4.0
        self.occupy_alone(world, 250_000, 3.8)
        commands = world.handle(AnswerHeadReceived(send.attempt, OK))
        self.assert_refused(commands, Verdict.MAY_HAVE_RUN)

    def test_prompt_that_cannot_end_is_refused_at_once(self):
        world = self.create(engines=1)
        self.stop(world, 0.0)
        world.now = 2.0
        self.assert_refused(world.receive("long", LONG, tokens=330_000))
        self.assert_sent(world.receive("short", SHORT), "e0")

    def test_prompt_at_a_slow_target_is_refused(self):
        world = self.create(engines=1)
        world.board.targets["e0"].pace = 4.0
        self.stop(world, 0.0)
        world.now = 3.5
        self.assert_refused(world.receive("short", SHORT, output_tokens=1610))

    def test_answer_that_begins_too_late_is_not_begun(self):
        # The prediction was wrong: the target had more to read than was known.
        world = self.create(engines=1)
        self.stop(world, 0.0)
        world.now = 0.1
        send = world.send("short", SHORT, output_tokens=1610)
        world.now = 6.5
        commands = world.handle(AnswerHeadReceived(send.attempt, OK))
        self.assert_refused(commands, Verdict.MAY_HAVE_RUN)
        self.assertNotIn("RelayStream", command_names(commands))

    def test_answer_that_can_end_is_begun(self):
        world = self.create(engines=1)
        self.stop(world, 0.0)
        world.now = 0.1
        send = world.send("short", SHORT, output_tokens=1610)
        world.now = 5.0
        commands = world.handle(AnswerHeadReceived(send.attempt, OK))
        only_command(commands, "RelayStream")

    def test_answer_to_a_request_from_before_the_stop_is_begun(self):
        world = self.create(engines=1)
        send = world.send("short", SHORT, output_tokens=1610)
        self.stop(world, 0.1)
        world.now = 6.5
        commands = world.handle(AnswerHeadReceived(send.attempt, OK))
        only_command(commands, "RelayStream")

    def test_answer_is_begun_late_if_its_deadline_ends_it(self):
        world = self.create(engines=1)
        self.stop(world, 0.0)
        world.now = 0.1
        send = world.send("short", SHORT, output_tokens=1610, time_limit=7.0)
        world.now = 6.5
        commands = world.handle(AnswerHeadReceived(send.attempt, OK))
        only_command(commands, "RelayStream")

    def test_begun_answer_is_resumed_until_the_end(self):
        world = self.create(engines=2)
        self.stop(world, 0.0)
        send = world.send("short", SHORT, output_tokens=1610)
        world.stream(send)
        world.now = 7.0
        failed = AttemptFailed(send.attempt, Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN)
        resumed = only_command(world.handle(failed), "SendAttempt")
        world.handle(AttemptConnected(resumed.attempt))
        commands = world.handle(AnswerHeadReceived(resumed.attempt, OK))
        only_command(commands, "RelayStream")

    def test_late_call_is_sent_if_its_deadline_ends_it(self):
        for at in (0.0, 2.7, 2.9, 5.0, 7.4):
            for beyond_end in (-0.05, 0.05):
                for kind in (ORDER, LOOKUP):
                    with self.subTest(at=at, beyond_end=beyond_end, route=kind.name):
                        world = self.create()
                        self.stop(world, 0.0)
                        world.now = at
                        time_limit = 7.5 + beyond_end - at
                        commands = world.receive("call", kind, time_limit=time_limit)
                        if at < 2.8 or beyond_end < 0:
                            self.assert_sent(commands, "s0", "s1")
                        else:
                            self.assert_refused(commands)

    def test_call_is_failed_at_the_end(self):
        for at in (0.0, 2.7):
            for kind in (ORDER, LOOKUP):
                with self.subTest(at=at, route=kind.name):
                    world = self.create()
                    self.stop(world, 0.0)
                    world.now = at
                    world.send("call", kind, time_limit=20.0)
                    world.now = 7.5
                    commands = world.handle(StopTimeExpired())
                    self.assert_refused(commands, Verdict.MAY_HAVE_RUN)
                    self.assertEqual(world.board.requests, {})

    def test_failed_call_is_sent_again(self):
        world = self.create()
        self.stop(world, 0.0)
        send = world.send("call", LOOKUP)
        world.now = 0.1
        failed = AttemptFailed(send.attempt, Reason.STREAM_BROKEN, Verdict.MAY_HAVE_RUN)
        only_command(world.handle(failed), "SendAttempt")

    def test_late_attempt_is_not_left_for_one_that_cannot_end(self):
        world = self.create(engines=2)
        self.stop(world, 0.0)
        send = world.send("short", SHORT, output_tokens=1610)
        world.now = 6.6
        self.assertNotIn("CancelAttempt", command_names(world.handle(Tick())))
        self.assertEqual(world.board.requests["short"].attempts[-1].id, send.attempt)


class SignalTest(PlatformTestCase):
    """A process of its own, which gets more than one stop signal."""

    async def start_process(self):
        port = free_port()
        while (following := free_port()) != port + 1:
            port = following
        callers = f"127.0.0.1:{free_port()}"
        boot = {
            "node": "entry-2",
            "ip": "127.0.0.1",
            "zone": "here",
            "listen": {"front": callers, "ready": f"127.0.0.1:{free_port()}"},
            "internalPortRange": [port, port + 1],
            "platform": {"address": self._store_server.address},
            "bounds": {
                "graceS": 6,
                "drainMs": 2000,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetExtra": 100,
                "holdMaxMs": 20000,
            },
        }
        file = tempfile.NamedTemporaryFile("w", suffix=".json")
        self.addCleanup(file.close)
        json.dump(boot, file)
        file.flush()
        path = os.pathsep.join(sys.path)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "chicorycove.platform",
            env={**os.environ, "PYTHONPATH": path, "CHICORYCOVE_BOOT": file.name},
            stdout=asyncio.subprocess.DEVNULL,
        )
        self.addAsyncCleanup(self.end_process, process)
        return process, callers, boot["listen"]["ready"]

    async def end_process(self, process):
        if process.returncode is None:
            process.kill()
            await process.wait()

    async def test_second_signal_ends_no_request(self):
        process, callers, readiness = await self.start_process()

        async def is_ready():
            try:
                page = await self.get_page(readiness, "/chicorycove/ready")
            except OSError:
                return False
            return page.status == 200

        await self.wait_until(is_ready)
        for server in self.model_servers:
            server.faults.pause = 0.1
        caller = await Caller.open(callers)
        self.addCleanup(caller.close)
        caller.send("/ask/x", Chicorycove_Token_Counts="100,920")

        async def is_running():
            return bool(self.runs())

        await self.wait_until(is_running)
        for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGINT, signal.SIGTERM):
            process.send_signal(number)
            await asyncio.sleep(0.05)
        answer = await caller.read()
        self.assertTrue(answer.complete)
        self.assertEqual(answer.events, list(range(1, 21)))
        async with asyncio.timeout(TIMEOUT):
            self.assertEqual(await process.wait(), 0)
