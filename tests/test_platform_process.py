"""Tests of the platform's entry process with callers and stand-in servers."""

import asyncio

from standin import platform_server
from standin.platform_server import Faults

from .platform_case import KEY, PlatformTestCase, config, route
from .scripted import answer as answer_bytes
from .test_direct_backoff import ALLOWED_REQUESTS, GRACE


class RelayTest(PlatformTestCase):
    async def test_request_and_answer_are_unchanged(self):
        answer = await self.request("/order/a%2Fb?x=1&y=", b"12 tons", X_Own="kept")
        self.assertEqual((answer.status, answer.body), (200, b"12 tons"))
        self.assertIn("chicorycove-response-signature", answer.headers)
        run = self.runs()[0]
        self.assertEqual(run.method, "POST")
        self.assertEqual(run.headers["x-own"], "kept")
        self.assertTrue(run.path.startswith("/order/a"))
        self.assertTrue(run.path.endswith("?x=1&y="))

    async def test_internal_headers_of_callers_are_replaced_or_removed(self):
        await self.request(
            "/order/x",
            Chicorycove_Tenant="another",
            Chicorycove_Expect_Instance="i-0",
            Chicorycove_Helpers="10.0.0.1:1",
        )
        run = self.runs()[0]
        self.assertEqual(run.headers["chicorycove-tenant"], "toolroom")
        self.assertIn(
            run.headers["chicorycove-expect-instance"],
            [server.id for server in self.shop_servers],
        )
        self.assertNotIn("chicorycove-helpers", run.headers)
        self.assertNotIn("authorization", run.headers)
        self.assertLessEqual(int(run.headers["chicorycove-time-budget-ms"]), 3000)

    async def test_connection_is_reused_for_many_requests(self):
        caller = await self.open_caller()
        for number in range(5):
            body = b"%d" % number
            answer = await caller.request("/order/x", body)
            self.assertEqual(answer.body, body)

    async def test_chunked_body_is_relayed_completely(self):
        caller = await self.open_caller()
        caller.writer.write(
            b"POST /order/x HTTP/1.1\r\nHost: desk.example\r\n"
            b"Authorization: Bearer key-1\r\nChicorycove-Attempt-Id: c1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        answer = await caller.read()
        self.assertEqual(answer.body, b"abcde")

    async def test_longest_matching_prefix_selects_the_route(self):
        routes = [
            route("lookup"),
            {**route("deep", service="model"), "prefix": "/lookup/deep/"},
        ]
        self.write_config(config(2, routes))
        await asyncio.sleep(0.5)
        await self.request("/lookup/deep/x", method="GET")
        await self.request("/lookup/deeper/x", method="GET")
        self.assertEqual(sum(len(server.runs) for server in self.model_servers), 1)
        self.assertEqual(sum(len(server.runs) for server in self.shop_servers), 1)

    async def test_pipelined_requests_are_answered_in_order(self):
        caller = await self.open_caller()
        for number in range(20):
            caller.send("/order/x", b"%d" % number)
        for number in range(20):
            self.assertEqual((await caller.read()).body, b"%d" % number)

    async def test_body_may_take_longer_than_the_header_timeout(self):
        caller = await self.open_caller()
        caller.writer.write(
            b"POST /order/x HTTP/1.1\r\nHost: desk.example\r\n"
            b"Authorization: Bearer key-1\r\nChicorycove-Attempt-Id: s1\r\n"
            b"Content-Length: 4\r\n\r\nab"
        )
        await asyncio.sleep(1.2)  # seconds, more than the header timeout
        caller.writer.write(b"cd")
        self.assertEqual((await caller.read()).body, b"abcd")


class RefusalTest(PlatformTestCase):
    async def test_unknown_path_or_key_is_refused(self):
        self.assertEqual((await self.request("/nothing/x")).status, 404)
        self.assertEqual((await self.request("/order/x", key="other")).status, 401)
        self.assertEqual((await self.request("/order/x", key=None)).status, 401)
        self.assertEqual(self.runs(), [])

    async def test_invalid_requests_are_not_run(self):
        line = b"POST /order/x HTTP/1.1\r\n"
        base = line + b"Host: desk.example\r\nAuthorization: Bearer key-1\r\n"
        id = b"Chicorycove-Attempt-Id: b1\r\n"
        both = b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"
        cases = {
            "no attempt id": (base + b"Content-Length: 0\r\n\r\n", 400),
            "not HTTP": (b"hello there\r\n\r\n", 400),
            "two lengths": (
                base + id + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                400,
            ),
            "length and chunks": (base + id + both + b"\r\n0\r\n\r\n", 400),
            "bad chunk": (
                base + id + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
                400,
            ),
            "oversized head": (base + b"X: " + b"x" * 5000 + b"\r\n\r\n", 431),
            "oversized body": (
                base + id + b"Content-Length: 200000\r\n\r\n" + b"x" * 200_000,
                413,
            ),
            "slow head": (base, 408),
        }
        for name, (data, status) in cases.items():
            with self.subTest(name):
                caller = await self.open_caller()
                caller.writer.write(data)
                answer = await caller.read()
                self.assertEqual(answer.status, status)
        self.assertEqual(self.runs(), [])

    async def test_slow_head_behind_a_request_is_refused_after_its_answer(self):
        for server in self.shop_servers:
            server.faults.hang = True
        caller = await self.open_caller()
        caller.send("/order/x", b"steel")
        caller.writer.write(b"POST /order/x HTTP/1.1\r\n")
        await asyncio.sleep(1.2)  # seconds, more than the header timeout
        for server in self.shop_servers:
            server.faults.hang = False
        self.assertEqual((await caller.read()).body, b"steel")
        self.assertEqual((await caller.read()).status, 408)
        self.assertEqual(len(self.runs()), 1)

    async def test_revoked_key_is_refused(self):
        self.write_config(config(2, keys=("key-2",)))
        await asyncio.sleep(0.6)
        self.assertEqual((await self.request("/order/x", key=KEY)).status, 401)
        self.assertEqual((await self.request("/order/x", key="key-2")).status, 200)

    async def test_older_configuration_is_never_applied(self):
        self.write_config(config(5, keys=("key-5",)))
        await asyncio.sleep(0.5)
        self.write_config(config(4, keys=("key-4",)))
        await asyncio.sleep(0.5)
        self.assertEqual((await self.request("/order/x", key="key-4")).status, 401)

    async def test_malformed_store_values_are_ignored_and_logged(self):
        bad = [b"\xff\xfe", b"{}", b"[]", b'{"service": 3}', b'{"state": "odd"}']
        for number, value in enumerate(bad):
            self.store.put(f"servers/bad-{number}", value)
        self.store.put("op/config", b"{")
        await asyncio.sleep(0.5)
        self.assertEqual((await self.request("/order/x", b"y")).body, b"y")
        malformed = [
            line
            for line in await self.log_lines()
            if line["event"] == "entry unreadable"
        ]
        self.assertGreaterEqual(len(malformed), len(bad))


class AtMostOnceTest(PlatformTestCase):
    async def test_unsafe_request_with_a_lost_answer_is_not_repeated(self):
        for server in self.shop_servers:
            server.faults.lost_answers = 1
        answer = await self.request("/order/x", b"steel")
        self.assertEqual(answer.status, 502)
        self.assertEqual(len(self.runs()), 1)

    async def test_safe_request_with_lost_answers_is_sent_at_most_twice(self):
        for server in self.shop_servers:
            server.faults.lost_answers = 1
        answer = await self.request("/lookup/x", method="GET")
        self.assertEqual(answer.status, 502)  # after the maximum of two attempts
        self.assertEqual(len(self.runs()), 2)
        self.assertEqual((await self.request("/lookup/x", method="GET")).status, 200)

    async def test_refused_request_is_sent_to_another_target(self):
        self.shop_servers[0].faults.refusals = self.shop_servers[1].faults.refusals = 1
        answer = await self.request("/order/x", b"steel")
        self.assertEqual(answer.status, 200)
        self.assertEqual(len(self.runs()), 1)

    async def test_other_target_at_the_address_does_not_run_the_request(self):
        self.shop_servers[0].id = self.shop_servers[1].id = "i-other"
        answer = await self.request("/order/x", b"steel")
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.runs(), [])

    async def test_error_answer_of_a_target_is_relayed(self):
        for server in self.shop_servers:
            server.faults.failures = 1
        answer = await self.request("/order/x", b"steel")
        self.assertEqual((answer.status, answer.body), (500, b"failed"))
        self.assertIn("chicorycove-response-signature", answer.headers)

    async def test_time_budget_is_enforced(self):
        for server in self.shop_servers:
            server.faults.hang = True
        answer = await self.request("/order/x", Chicorycove_Time_Budget_Ms="200")
        self.assertEqual(answer.status, 504)


class UnmarkedRefusalTest(PlatformTestCase):
    """Failure: a status that means "not run" is passed on after a run."""

    model_count = shop_count = 0

    async def test_statuses_of_a_target_that_may_have_run_the_request(self):
        async def handle(request):
            status = int(request.path.rpartition("/")[2])
            headers = ["Chicorycove-Response-Signature: s", "Retry-After: 0"]
            request.send(answer_bytes(b"ran", headers, status))

        for service in ("shop", "model"):
            await self.add_scripted_server(service, handle)
        await asyncio.sleep(0.5)
        for status in (408, 429, 500, 503):
            for path in ("/order", "/say", "/lookup"):
                with self.subTest(path=path, status=status):
                    stream = {"Chicorycove_Token_Counts": "1000,460"}
                    fields = stream if path == "/say" else {}
                    answer = await self.request(f"{path}/{status}", **fields)
                    if status == 500 or path == "/lookup":
                        self.assertEqual((answer.status, answer.body), (status, b"ran"))
                        continue
                    self.assertEqual((answer.status, answer.body), (502, b""))
                    self.assertNotIn("retry-after", answer.headers)
                    self.assertNotIn("chicorycove-response-signature", answer.headers)


class StreamTest(PlatformTestCase):
    async def test_events_arrive_in_order(self):
        answer = await self.request_stream()
        self.assertTrue(answer.complete)
        self.assertEqual(answer.events, list(range(1, 11)))

    async def test_aborted_stream_is_resumed_in_one_answer(self):
        for abort_mid_event in (False, True):
            with self.subTest(abort_mid_event=abort_mid_event):
                faults = Faults(abort_after=4, abort_mid_event=abort_mid_event)
                for server in self.model_servers:
                    server.faults = faults  # shared: only one stream is aborted
                answer = await self.request_stream(output=460)
                self.assertTrue(answer.complete)
                self.assertEqual(answer.events, list(range(1, 11)))

    async def test_aborted_stream_of_a_route_without_resumption_ends_truncated(self):
        for server in self.model_servers:
            server.faults.abort_after = 4
        answer = await self.request_stream("/say/x")  # route without resumption
        self.assertFalse(answer.complete)
        self.assertEqual(answer.events, [1, 2, 3, 4])
        self.assertEqual(len(self.runs()), 1)

    async def test_caller_resumes_a_stream_after_its_last_event(self):
        answer = await self.request_stream(Last_Event_Id="7")
        self.assertEqual(answer.events, [8, 9, 10])

    async def test_disconnect_cancels_the_stream_at_the_target(self):
        for server in self.model_servers:
            server.faults.pause = 0.05
        caller = await self.open_caller()
        caller.send("/ask/x", Chicorycove_Token_Counts="1000,46000")
        await self.wait_until(self.has_open_streams)
        caller.writer.transport.abort()
        await self.wait_until(self.has_no_open_streams)

    async def has_open_streams(self):
        return any(server.open_streams for server in self.model_servers)

    async def has_no_open_streams(self):
        return not any(server.open_streams for server in self.model_servers)

    async def test_group_too_slow_for_the_route_is_refused(self):
        # Two engines cannot prefill 600,000 tokens within the route's timeout
        # and the caller's time budget, both 3 s.
        answer = await self.request_stream(
            tokens=600_000, Chicorycove_Time_Budget_Ms="3000"
        )
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.runs(), [])


class UnframedStreamTest(PlatformTestCase):
    """Streams without a length that end with their connection."""

    model_count = 0
    head = b"HTTP/1.1 200 OK\r\nChicorycove-Response-Signature: s\r\n"
    events = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

    async def add_scripted_server(self, id, answer, aborts=False):
        """Register a server that sends some bytes and ends the connection."""

        async def handle(reader, writer):
            await reader.read(65_536)
            writer.write(answer)
            await writer.drain()
            await asyncio.sleep(0.05)
            if aborts:
                writer.transport.abort()
            writer.close()

        listener = await asyncio.start_server(handle, "127.0.0.1", 0)
        self.addCleanup(listener.close)
        host, port = listener.sockets[0].getsockname()
        server = platform_server.PlatformServer("model", id=id)
        server.address = f"{host}:{port}"
        self.register_server(server)
        await asyncio.sleep(0.5)

    async def test_stream_that_ends_after_an_event_is_complete(self):
        await self.add_scripted_server("i-a", self.head + b"\r\n" + self.events)
        answer = await self.request_stream("/say/x")
        self.assertEqual((answer.complete, answer.events), (True, [1, 2]))

    async def test_stream_that_ends_inside_an_event_is_incomplete(self):
        await self.add_scripted_server("i-a", self.head + b"\r\n" + self.events[:-3])
        answer = await self.request_stream("/say/x")
        self.assertFalse(answer.complete)

    async def test_resumed_stream_that_ends_before_any_event_is_incomplete(self):
        first_chunk = b"%x\r\n%b\r\n" % (len(self.events), self.events)
        framed = self.head + b"Transfer-Encoding: chunked\r\n\r\n" + first_chunk
        await self.add_scripted_server("i-a", framed, aborts=True)
        await self.add_scripted_server("i-b", self.head + b"\r\n")
        answer = await self.request_stream("/ask/x")
        self.assertFalse(answer.complete)


class GroupTest(PlatformTestCase):
    model_count = 3

    async def asyncSetUp(self):
        await super().asyncSetUp()
        routes = [
            route(
                "long",
                kind="streaming",
                service="model",
                resumable=True,
                timeoutMs=60_000,
                targetLatencyMs=3_000,
                gapTargetMs=800,
            )
        ]
        self.write_config(config(2, routes))
        await asyncio.sleep(0.5)

    async def request_long(self):
        return await self.request_stream(
            "/long/x", tokens=600_000, Chicorycove_Time_Budget_Ms="60000"
        )

    async def test_reservations_are_released_after_the_answer(self):
        answer = await self.request_long()
        self.assertTrue(answer.complete)
        run = self.runs()[0]
        self.assertIn("/", run.headers["chicorycove-helpers"])
        await self.wait_until(self.has_no_reservations)

    async def test_group_without_free_memory_is_refused_and_not_run(self):
        for server in self.model_servers:
            server.reservations["other"] = 440_000
        answer = await self.request_long()
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(self.runs(), [])

    async def test_servers_that_refuse_orders_with_a_time_get_no_more(self):
        for server in self.model_servers:
            server.retry_after = "3"
        for _ in range(12):
            await self.request_long()
            await asyncio.sleep(0.1)
        self.assertTrue(any(server.order_arrivals for server in self.model_servers))
        for server in self.model_servers:
            times = sorted(server.order_arrivals + server.arrivals)
            late = [time for time in times if time >= times[0] + GRACE]
            self.assertLessEqual(len(late), ALLOWED_REQUESTS)

    async def has_no_reservations(self):
        return not any(server.reservations for server in self.model_servers)


class StopTest(PlatformTestCase):
    grace = 4.0

    async def test_stopping_entry_finishes_streams_and_closes_connections(self):
        for server in self.model_servers:
            server.faults.pause = 0.02
        stream_task = asyncio.create_task(self.request_stream(output=46 * 60))
        await asyncio.sleep(0.2)
        stop_task = asyncio.create_task(self.process.stop())
        await asyncio.sleep(0.05)
        self.assertFalse(await self.is_ready())
        answer_while_stopping = await self.request("/order/x", b"y")
        self.assertEqual(answer_while_stopping.status, 200)
        self.assertEqual(answer_while_stopping.headers["connection"], "close")
        answer = await stream_task
        self.assertTrue(answer.complete)
        await stop_task


class LogTest(PlatformTestCase):
    async def test_attempt_and_failure_of_a_request_are_logged(self):
        for server in self.shop_servers:
            server.faults.lost_answers = 1
        caller = await self.open_caller()
        id = caller.send("/order/x", b"steel")
        await caller.read()
        events = [
            line["event"]
            for line in await self.log_lines()
            if line.get("request") == id
        ]
        self.assertEqual(events, ["attempt sent", "attempt failed", "request failed"])

    async def test_failed_attempts_are_logged_with_what_was_sent(self):
        for server in self.shop_servers:
            server.faults.lost_answers = 1
        await self.request("/order/x")
        for server in self.shop_servers:
            await self.close_listener(server)
        await self.request("/order/x")
        lost, *unreachable = [
            line for line in await self.log_lines() if line["event"] == "attempt failed"
        ]
        self.assertTrue(lost["sent"])
        self.assertLessEqual(lost["connected_after"], lost["took"])
        self.assertTrue(unreachable)
        for line in unreachable:
            self.assertEqual((line["sent"], line["connected_after"]), (False, None))

    async def test_metrics_page_counts_answers(self):
        await self.request("/order/x")
        page = await self.get_page(f"127.0.0.1:{self.boot.metrics_port}", "/metrics")
        self.assertIn(b"chicorycove_answers_total", page.body)
        self.assertIn(b"chicorycove_dropped_log_lines_total 0.0", page.body)

    async def test_shared_parts_and_begun_answers_are_logged(self):
        for server in self.model_servers:
            server.faults.abort_after = 2
        await self.request_stream(
            "/say/x", Chicorycove_Prompt_Prefix="5c1e07a2:800, 91bd3f06:410,e4402b7d:9"
        )
        lines = {line["event"]: line for line in await self.log_lines()}
        self.assertEqual(lines["attempt sent"]["parts"], ["5c1e07a2", "91bd3f06"])
        self.assertEqual(lines["attempt failed"]["status"], 200)
