"""The whole path on the users' platform, against stand-ins."""

import asyncio

from standin.platform_server import Faults

from .platform_case import KEY, PlatformTestCase, config, route


class PassingOnTest(PlatformTestCase):
    async def test_request_and_answer_are_unchanged(self):
        answer = await self.ask("/order/a%2Fb?x=1&y=", b"12 tons", X_Own="kept")
        self.assertEqual((answer.status, answer.body), (200, b"12 tons"))
        self.assertIn("chicorycove-response-signature", answer.headers)
        run = self.runs()[0]
        self.assertEqual(run.method, "POST")
        self.assertEqual(run.headers["x-own"], "kept")
        self.assertTrue(run.path.startswith("/order/a"))
        self.assertTrue(run.path.endswith("?x=1&y="))

    async def test_headers_of_ours_replace_the_callers(self):
        await self.ask(
            "/order/x",
            Chicorycove_Tenant="another",
            Chicorycove_Expect_Instance="i-0",
            Chicorycove_Helpers="10.0.0.1:1",
        )
        run = self.runs()[0]
        self.assertEqual(run.headers["chicorycove-tenant"], "toolroom")
        self.assertIn(
            run.headers["chicorycove-expect-instance"], [x.id for x in self.shop]
        )
        self.assertNotIn("chicorycove-helpers", run.headers)
        self.assertNotIn("authorization", run.headers)
        self.assertLessEqual(int(run.headers["chicorycove-time-budget-ms"]), 3000)

    async def test_connection_is_kept_for_many_requests(self):
        caller = await self.caller()
        for number in range(5):
            body = b"%d" % number
            answer = await caller.ask("/order/x", body)
            self.assertEqual(answer.body, body)

    async def test_chunked_body_arrives_whole(self):
        caller = await self.caller()
        caller.writer.write(
            b"POST /order/x HTTP/1.1\r\nHost: desk.example\r\n"
            b"Authorization: Bearer key-1\r\nChicorycove-Attempt-Id: c1\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        answer = await caller.read()
        self.assertEqual(answer.body, b"abcde")

    async def test_longest_prefix_of_a_host(self):
        routes = [
            route("lookup"),
            {**route("deep", service="model"), "prefix": "/lookup/deep/"},
        ]
        self.configure(config(2, routes))
        await asyncio.sleep(0.5)
        await self.ask("/lookup/deep/x", method="GET")
        await self.ask("/lookup/deeper/x", method="GET")
        self.assertEqual(sum(len(x.runs) for x in self.model), 1)
        self.assertEqual(sum(len(x.runs) for x in self.shop), 1)

    async def test_many_requests_at_once_are_answered_in_order(self):
        caller = await self.caller()
        for number in range(20):
            caller.send("/order/x", b"%d" % number)
        for number in range(20):
            self.assertEqual((await caller.read()).body, b"%d" % number)

    async def test_slow_body_is_read_and_slow_head_is_not(self):
        caller = await self.caller()
        caller.writer.write(
            b"POST /order/x HTTP/1.1\r\nHost: desk.example\r\n"
            b"Authorization: Bearer key-1\r\nChicorycove-Attempt-Id: s1\r\n"
            b"Content-Length: 4\r\n\r\nab"
        )
        await asyncio.sleep(1.2)  # over the time that a head may take
        caller.writer.write(b"cd")
        self.assertEqual((await caller.read()).body, b"abcd")


class RefusalTest(PlatformTestCase):
    async def test_unknown_path_and_key(self):
        self.assertEqual((await self.ask("/nothing/x")).status, 404)
        self.assertEqual((await self.ask("/order/x", key="other")).status, 401)
        self.assertEqual((await self.ask("/order/x", key=None)).status, 401)
        self.assertEqual(self.runs(), [])

    async def test_bad_input_runs_nothing(self):
        line = b"POST /order/x HTTP/1.1\r\n"
        base = line + b"Host: desk.example\r\nAuthorization: Bearer key-1\r\n"
        id = b"Chicorycove-Attempt-Id: b1\r\n"
        both = b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"
        cases = {
            "no attempt id": (base + b"Content-Length: 0\r\n\r\n", 400),
            "no HTTP": (b"hello there\r\n\r\n", 400),
            "two lengths": (
                base + id + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
                400,
            ),
            "length and chunks": (base + id + both + b"\r\n0\r\n\r\n", 400),
            "bad chunk": (
                base + id + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
                400,
            ),
            "long head": (base + b"X: " + b"x" * 5000 + b"\r\n\r\n", 431),
            "long body": (
                base + id + b"Content-Length: 200000\r\n\r\n" + b"x" * 200_000,
                413,
            ),
            "slow head": (base, 408),
        }
        for name, (data, status) in cases.items():
            with self.subTest(name):
                caller = await self.caller()
                caller.writer.write(data)
                answer = await caller.read()
                self.assertEqual(answer.status, status)
        self.assertEqual(self.runs(), [])

    async def test_revoked_key(self):
        self.configure(config(2, keys=("key-2",)))
        await asyncio.sleep(0.6)
        self.assertEqual((await self.ask("/order/x", key=KEY)).status, 401)
        self.assertEqual((await self.ask("/order/x", key="key-2")).status, 200)

    async def test_older_configuration_is_never_applied(self):
        self.configure(config(5, keys=("key-5",)))
        await asyncio.sleep(0.5)
        self.configure(config(4, keys=("key-4",)))
        await asyncio.sleep(0.5)
        self.assertEqual((await self.ask("/order/x", key="key-4")).status, 401)

    async def test_entries_that_cannot_be_read_change_nothing(self):
        bad = [b"\xff\xfe", b"{}", b"[]", b'{"service": 3}', b'{"state": "odd"}']
        for number, value in enumerate(bad):
            self.store.put(f"servers/bad-{number}", value)
        self.store.put("op/config", b"{")
        await asyncio.sleep(0.5)
        self.assertEqual((await self.ask("/order/x", b"y")).body, b"y")
        unread = [x for x in await self.lines() if x["event"] == "entry unreadable"]
        self.assertGreaterEqual(len(unread), len(bad))


class OnceTest(PlatformTestCase):
    async def test_lost_answer_is_not_sent_again(self):
        for each in self.shop:
            each.faults.lost_answers = 1
        answer = await self.ask("/order/x", b"steel")
        self.assertEqual(answer.status, 502)
        self.assertEqual(len(self.runs()), 1)

    async def test_lost_answer_of_a_safe_call_is_fetched_again(self):
        for each in self.shop:
            each.faults.lost_answers = 1
        answer = await self.ask("/lookup/x", method="GET")
        self.assertEqual(answer.status, 502)  # two attempts are its most
        self.assertEqual(len(self.runs()), 2)
        self.assertEqual((await self.ask("/lookup/x", method="GET")).status, 200)

    async def test_shed_request_is_tried_elsewhere(self):
        self.shop[0].faults.refusals = self.shop[1].faults.refusals = 1
        answer = await self.ask("/order/x", b"steel")
        self.assertEqual(answer.status, 200)
        self.assertEqual(len(self.runs()), 1)

    async def test_other_target_at_the_address_runs_nothing(self):
        self.shop[0].id = self.shop[1].id = "i-other"
        answer = await self.ask("/order/x", b"steel")
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.runs(), [])

    async def test_own_failure_of_a_target_is_passed_on(self):
        for each in self.shop:
            each.faults.failures = 1
        answer = await self.ask("/order/x", b"steel")
        self.assertEqual((answer.status, answer.body), (500, b"failed"))
        self.assertIn("chicorycove-response-signature", answer.headers)

    async def test_route_time_is_kept(self):
        for each in self.shop:
            each.faults.hang = True
        answer = await self.ask("/order/x", Chicorycove_Time_Budget_Ms="200")
        self.assertEqual(answer.status, 504)


class StreamTest(PlatformTestCase):
    async def test_events_arrive_in_order(self):
        answer = await self.stream()
        self.assertTrue(answer.whole)
        self.assertEqual(answer.events, list(range(1, 11)))

    async def test_broken_stream_is_resumed_in_one_answer(self):
        for half in (False, True):
            with self.subTest(abort_mid_event=half):
                faults = Faults(abort_after=4, abort_mid_event=half)
                for each in self.model:
                    each.faults = faults  # of all: the first to stream is cut
                answer = await self.stream(output=460)
                self.assertTrue(answer.whole)
                self.assertEqual(answer.events, list(range(1, 11)))

    async def test_stream_that_may_not_be_resumed_is_broken_off(self):
        for each in self.model:
            each.faults.abort_after = 4
        answer = await self.stream("/say/x")
        self.assertFalse(answer.whole)
        self.assertEqual(answer.events, [1, 2, 3, 4])
        self.assertEqual(len(self.runs()), 1)

    async def test_caller_goes_on_where_it_was(self):
        answer = await self.stream(Last_Event_Id="7")
        self.assertEqual(answer.events, [8, 9, 10])

    async def test_hang_up_frees_the_target(self):
        for each in self.model:
            each.faults.pause = 0.05
        caller = await self.caller()
        caller.send("/ask/x", Chicorycove_Token_Counts="1000,46000")
        await self.wait_until(self.is_working)
        caller.writer.transport.abort()
        await self.wait_until(self.is_free)

    async def is_working(self):
        return any(each.open_streams for each in self.model)

    async def is_free(self):
        return not any(each.open_streams for each in self.model)

    async def test_prompt_over_one_memory_is_held_by_two(self):
        answer = await self.stream(tokens=600_000, Chicorycove_Time_Budget_Ms="3000")
        # 600,000 tokens on two engines take longer than the route's time.
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.runs(), [])


class GroupTest(PlatformTestCase):
    models = 3

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
        self.configure(config(2, routes))
        await asyncio.sleep(0.5)

    async def ask_long(self):
        return await self.stream(
            "/long/x", tokens=600_000, Chicorycove_Time_Budget_Ms="60000"
        )

    async def test_tickets_are_held_and_given_back(self):
        answer = await self.ask_long()
        self.assertTrue(answer.whole)
        run = self.runs()[0]
        self.assertIn("/", run.headers["chicorycove-helpers"])
        await self.wait_until(self.nothing_held)

    async def test_memory_that_is_taken_is_refused_as_not_run(self):
        for each in self.model:
            each.reservations["other"] = 440_000
        answer = await self.ask_long()
        self.assertEqual(answer.status, 503)
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(self.runs(), [])

    async def nothing_held(self):
        return not any(each.reservations for each in self.model)


class StopTest(PlatformTestCase):
    grace = 4.0

    async def test_what_runs_is_finished(self):
        for each in self.model:
            each.faults.pause = 0.02
        asked = asyncio.create_task(self.stream(output=46 * 60))
        await asyncio.sleep(0.2)
        stopping = asyncio.create_task(self.process.stop())
        await asyncio.sleep(0.05)
        self.assertFalse(await self.is_ready())
        late = await self.ask("/order/x", b"y")
        self.assertEqual(late.status, 200)
        self.assertEqual(late.headers["connection"], "close")
        answer = await asked
        self.assertTrue(answer.whole)
        await stopping


class LogTest(PlatformTestCase):
    async def test_each_request_leaves_its_decisions(self):
        for each in self.shop:
            each.faults.lost_answers = 1
        caller = await self.caller()
        id = caller.send("/order/x", b"steel")
        await caller.read()
        events = [x["event"] for x in await self.lines() if x.get("request") == id]
        self.assertEqual(events, ["attempt sent", "attempt failed", "request failed"])

    async def test_metrics_page(self):
        await self.ask("/order/x")
        page = await self.page(f"127.0.0.1:{self.boot.metrics_port}", "/metrics")
        self.assertIn(b"chicorycove_answers_total", page.body)
