"""Tests that the stand-in engine follows docs/design/engine.md."""

import asyncio

import msgspec
import xxhash

from standin.batch import TimeModel
from standin.engine import EngineSettings, create_app
from tests.served import ServedTestCase

INSTANT_STEPS = TimeModel(scale=0.0)
SLOW_STEPS = TimeModel(prefill_token=0.0, decode_base=0.02)


def headers(request="r1", number=1, **extra):
    ids = {"X-Request-Id": request, "X-Attempt-Id": f"{request}/{number}/n"}
    return ids | {name.replace("_", "-"): value for name, value in extra.items()}


def body(prompt="How thick a gate?", max_tokens=8, **extra):
    return {
        "model": "advisor",
        "prompt": prompt,
        "max_tokens": max_tokens,
    } | extra


class EngineTestCase(ServedTestCase):
    async def engine(self, **options):
        options = {"time_model": INSTANT_STEPS, "load_lag": 0.0} | options
        return await self.serve(create_app(EngineSettings(**options)))

    async def complete(self, engine, sent, **options):
        return await self.post(f"{engine.url}/v1/completions", sent, headers(**options))

    async def fetch_bytes(self, method, url, **options):
        response = await self.client.request(url, method, **options)
        return await response.content()


class AnswerTest(EngineTestCase):
    async def test_complete_answer_has_its_checksum(self):
        engine = await self.engine()
        status, answer = await self.complete(engine, body())
        self.assertEqual(status, 200)
        text = answer["choices"][0]["text"]
        self.assertEqual(len(text.split()), 8)
        self.assertEqual(answer["checksum"], xxhash.xxh64_hexdigest(text.encode()))
        self.assertEqual(answer["usage"]["prompt_tokens"], 5)

    async def test_streamed_chat_answer_matches_its_checksum(self):
        engine = await self.engine()
        sent = {
            "model": "advisor",
            "messages": [{"role": "user", "content": "Which steel?"}],
            "max_tokens": 5,
            "stream": True,
        }
        raw = await self.fetch_bytes(
            "POST", f"{engine.url}/v1/chat/completions", json=sent, headers=headers()
        )
        events = raw.decode().strip().split("\n\n")
        self.assertEqual(events[-1], "data: [DONE]")
        parsed = [
            msgspec.json.decode(event.removeprefix("data: ")) for event in events[:-1]
        ]
        text = "".join(event["choices"][0]["delta"]["content"] for event in parsed)
        self.assertEqual(len(parsed), 6)
        self.assertEqual(parsed[-1]["checksum"], xxhash.xxh64_hexdigest(text.encode()))

    async def test_same_request_gives_the_same_bytes_on_another_engine(self):
        first_engine, second_engine = await self.engine(name="a"), await self.engine(
            name="b"
        )
        first = await self.complete(first_engine, body())
        second = await self.complete(second_engine, body(), number=2)
        other = await self.complete(second_engine, body(), request="r2")
        self.assertEqual(first, second)
        self.assertNotEqual(first, other)

    async def test_temperature_without_a_seed_is_not_repeatable(self):
        engine = await self.engine()
        first = await self.complete(engine, body(temperature=0.7), number=1)
        second = await self.complete(engine, body(temperature=0.7), number=2)
        self.assertNotEqual(first, second)

    async def test_resume_from_an_offset(self):
        engine = await self.engine()
        url = f"{engine.url}/v1/completions"
        raw = await self.fetch_bytes(
            "POST", url, json=body(stream=True), headers=headers()
        )
        rest = await self.fetch_bytes(
            "GET", f"{engine.url}/engine/streams/r1/1/n?offset=70"
        )
        self.assertEqual(rest, raw[70:])
        status, _ = await self.get(f"{engine.url}/engine/streams/other/1/n")
        self.assertEqual(status, 404)

    async def test_bad_requests_do_not_run(self):
        engine = await self.engine()
        status, answer = await self.complete(engine, b"{")
        self.assertEqual((status, answer["error"]["reason"]), (400, "bad_request"))
        status, answer = await self.complete(engine, body() | {"model": "other"})
        self.assertEqual((status, answer["error"]["reason"]), (503, "model_not_loaded"))
        self.assertEqual((await self.get(f"{engine.url}/engine/runs"))[1], [])


class MemoryTest(EngineTestCase):
    async def test_prompt_beyond_memory_is_refused(self):
        engine = await self.engine(memory_tokens=100)
        status, answer = await self.complete(engine, body("x" * 400))
        self.assertEqual((status, answer["error"]["reason"]), (429, "memory_full"))

    async def test_cancel_frees_memory_and_aborts_the_answer(self):
        engine = await self.engine(time_model=SLOW_STEPS)
        task = asyncio.create_task(self.complete(engine, body(max_tokens=1000)))

        async def memory_used():
            return (await self.get(f"{engine.url}/engine/load"))[1]["memory_used"]

        await self.wait_until(memory_used)
        _, freed = await self.post(f"{engine.url}/engine/cancel", {"attempt": "r1/1/n"})
        self.assertEqual(freed, {"freed": 1005})
        _, freed = await self.post(f"{engine.url}/engine/cancel", {"attempt": "r1/1/n"})
        self.assertEqual(freed, {"freed": 0})
        with self.assertRaises(Exception):
            await task
        self.assertEqual(await memory_used(), 0)

    async def test_prefix_blocks_are_published_and_evicted(self):
        engine = await self.engine(
            memory_tokens=1200, event_lag=0.0, event_gap_rate=0.0
        )
        await self.complete(engine, body("a" * 4096))
        await self.complete(engine, body("b" * 4096), request="r2")
        _, log = await self.get(f"{engine.url}/engine/events?after=0")
        kinds = [event["kind"] for event in log["events"]]
        self.assertEqual(kinds, ["stored", "evicted", "stored"])
        first = xxhash.xxh64_intdigest(b"a" * 2048, seed=0)
        self.assertEqual(log["events"][0]["blocks"][0], first)

    async def test_load_report_lags(self):
        engine = await self.engine(time_model=SLOW_STEPS, load_lag=30.0)
        task = asyncio.create_task(self.complete(engine, body(max_tokens=5)))
        await task
        _, load = await self.get(f"{engine.url}/engine/load")
        self.assertEqual(load["memory_total"], 131_072)
        self.assertEqual(load["attempts"], {})


class PriorityTest(EngineTestCase):
    async def test_lower_priority_number_runs_first(self):
        engine = await self.engine(
            time_model=TimeModel(prefill_token=0.0, decode_base=0.001, max_batch=1)
        )

        async def complete_named(name, priority, max_tokens=4):
            sent = body(max_tokens=max_tokens)
            await self.complete(engine, sent, request=name, X_Priority=priority)

        async def load(name):
            return (await self.get(f"{engine.url}/engine/load"))[1][name]

        first = asyncio.create_task(complete_named("first", "5", 100_000))
        await self.wait_until(lambda: load("running"))
        low_priority = asyncio.create_task(complete_named("low", "9"))
        await self.wait_until(lambda: load("queued"))
        urgent = asyncio.create_task(complete_named("urgent", "0"))

        async def both_queued():
            return await load("queued") == 2

        await self.wait_until(both_queued)
        await self.post(f"{engine.url}/engine/cancel", {"attempt": "first/1/n"})
        await asyncio.gather(first, low_priority, urgent, return_exceptions=True)
        _, runs = await self.get(f"{engine.url}/engine/runs")
        self.assertEqual([run["request"] for run in runs], ["first", "urgent", "low"])


class GroupTest(EngineTestCase):
    def member_name(self, engine):
        return f"{engine.address}/r1/2/n"

    async def prefill(self, engine, start, stop):
        return await self.post(
            f"{engine.url}/engine/prefill?attempt=r1/2/n&model=advisor"
            f"&start={start}&stop={stop}",
            b"x" * 4 * (stop - start),
        )

    async def test_engine_holds_only_its_own_segment(self):
        member = await self.engine(memory_tokens=1000)
        last = await self.engine(memory_tokens=1000)
        self.assertEqual(await self.prefill(member, 0, 900), (200, {"held": 900}))
        status, _ = await self.complete(
            last,
            body("x" * 4 * 1700),
            X_Members=self.member_name(member),
            X_Context="900",
        )
        self.assertEqual(status, 200)
        _, load = await self.get(f"{member.url}/engine/load")
        self.assertEqual(load["attempts"], {"r1/2/n": 900})

    async def test_request_with_a_missing_member_is_not_run(self):
        member = await self.engine()
        last = await self.engine()
        status, answer = await self.complete(
            last, body(), X_Members=self.member_name(member), X_Context="1"
        )
        self.assertEqual((status, answer["error"]["reason"]), (503, "member_lost"))

    async def test_answer_is_aborted_when_a_member_dies(self):
        member = await self.engine()
        last = await self.engine(time_model=SLOW_STEPS)
        await self.prefill(member, 0, 2)
        task = asyncio.create_task(
            self.complete(
                last,
                body(max_tokens=5000),
                X_Members=self.member_name(member),
                X_Context="2",
            )
        )

        async def running():
            return (await self.get(f"{last.url}/engine/load"))[1]["running"]

        await self.wait_until(running)
        await self.post(f"{member.url}/engine/faults", {"die": True})
        with self.assertRaises(Exception):
            await task


class ExportTest(EngineTestCase):
    async def test_exported_attempt_finishes_elsewhere_with_the_same_bytes(self):
        source, destination = (
            await self.engine(time_model=SLOW_STEPS),
            await self.engine(),
        )
        _, expected = await self.complete(destination, body(max_tokens=30))
        task = asyncio.create_task(self.complete(source, body(max_tokens=30), number=2))

        async def running():
            return (await self.get(f"{source.url}/engine/load"))[1]["running"]

        await self.wait_until(running)
        exported = await self.fetch_bytes(
            "POST", f"{source.url}/engine/export", json={"attempt": "r1/2/n"}
        )
        with self.assertRaises(Exception):
            await task
        await self.post(f"{destination.url}/engine/import?attempt=r1/2/n", exported)
        _, moved = await self.get(f"{destination.url}/engine/streams/r1/2/n")
        self.assertEqual(moved, expected)
        self.assertEqual(
            (await self.get(f"{source.url}/engine/load"))[1]["attempts"], {}
        )


class OrderTest(EngineTestCase):
    async def send_order(self, engine, **fields):
        return await self.post(f"{engine.url}/engine/order", fields)

    async def test_stale_fence_is_refused(self):
        engine = await self.engine()
        await self.send_order(engine, kind="role", role="prefill", fence=7)
        status, answer = await self.send_order(
            engine, kind="role", role="decode", fence=6
        )
        self.assertEqual((status, answer), (409, {"reason": "stale_fence", "fence": 7}))
        _, state = await self.get(f"{engine.url}/engine/state")
        self.assertEqual((state["role"], state["fence"]), ("prefill", 7))

    async def test_engine_without_fence_checks_accepts_a_stale_fence(self):
        engine = await self.engine(checks_fence=False)
        await self.send_order(engine, kind="role", role="prefill", fence=7)
        status, state = await self.send_order(
            engine, kind="role", role="decode", fence=6
        )
        self.assertEqual((status, state["role"]), (200, "decode"))

    async def test_model_is_served_once_it_is_loaded(self):
        engine = await self.engine()
        status, state = await self.send_order(
            engine, kind="load_model", model="review", version="2"
        )
        self.assertEqual(state["models"]["review"]["state"], "loading")

        async def ready():
            _, state = await self.get(f"{engine.url}/engine/state")
            return state["models"]["review"]["state"] == "ready"

        await self.wait_until(ready)
        status, _ = await self.complete(engine, body() | {"model": "review"})
        self.assertEqual(status, 200)


class FaultTest(EngineTestCase):
    async def test_request_with_a_lost_answer_has_run(self):
        engine = await self.engine()
        await self.post(f"{engine.url}/engine/faults", {"lose_answers": 1})
        with self.assertRaises(Exception):
            await self.complete(engine, body())
        _, runs = await self.get(f"{engine.url}/engine/runs")
        self.assertEqual([run["finished"] for run in runs], [True])

    async def test_dead_engine_answers_nothing_until_revived(self):
        engine = await self.engine()
        await self.post(f"{engine.url}/engine/faults", {"die": True})
        with self.assertRaises(Exception):
            await self.complete(engine, body())
        await self.post(f"{engine.url}/engine/faults", {"die": False})
        status, _ = await self.complete(engine, body())
        self.assertEqual(status, 200)

    async def test_hanging_engine_continues_after_the_hang(self):
        engine = await self.engine()
        await self.post(f"{engine.url}/engine/faults", {"hang": True})
        task = asyncio.create_task(self.complete(engine, body()))
        await asyncio.sleep(0.05)
        self.assertFalse(task.done())
        await self.post(f"{engine.url}/engine/faults", {"hang": False})
        self.assertEqual((await task)[0], 200)

    async def test_unknown_fault_is_refused(self):
        engine = await self.engine()
        status, _ = await self.post(f"{engine.url}/engine/faults", {"explode": True})
        self.assertEqual(status, 400)
