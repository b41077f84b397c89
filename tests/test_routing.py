"""Routing policies and the target index."""

import random
import unittest

from chicorycove.board import EntryBoard, TargetState
from chicorycove.catalogue import Catalogue, Model, Service, ServiceKind, Target
from chicorycove.event import TargetLoad
from chicorycove.host import Host, HostState
from chicorycove.identity import AgentId, AttemptId
from chicorycove.request import Call, Prompt, Request
from chicorycove.routing import (
    LeastOutstanding,
    LengthAware,
    RoundRobin,
    Router,
    RoutingSettings,
    stable_rank,
)

MEMORY = 131_072  # tokens
POLICIES = (RoundRobin(), LeastOutstanding(), LengthAware())


def host(name, service="advisor", state=HostState.LIVE):
    return Host(
        name=name,
        agent="127.0.0.1:1",
        region="kyushu",
        failure_domain="fukuoka",
        state=state,
        labels={"service": service},
    )


def make_board(count, memory=MEMORY):
    catalogue = Catalogue(
        models={"m": Model(name="m", owner="o", service="advisor")},
        services={
            "advisor": Service(
                name="advisor",
                owner="o",
                kind=ServiceKind.ENGINE,
                selector={"service": "advisor"},
            ),
            "purchasing": Service(
                name="purchasing",
                owner="o",
                kind=ServiceKind.PLAIN,
                selector={"service": "purchasing"},
            ),
        },
    )
    board = EntryBoard(catalogue=catalogue)
    load = TargetLoad(memory_free=memory, memory_total=memory)
    for number in range(count):
        name = f"engine-{number}"
        board.targets[name] = TargetState(host(name), AgentId(name, "1"), load)
    board.targets["plain-0"] = TargetState(
        host("plain-0", "purchasing"), AgentId("plain-0", "1")
    )
    return board


def prompt(tokens, max_tokens=16, number=0):
    work = Prompt("m", tokens, max_tokens)
    return Request(f"r{number}", "w", "c", work, 0.0, 60.0)


def make_router(policy=LengthAware()):
    return Router(RoutingSettings(policy=policy), random.Random(1))


def add_outstanding(board, name, tokens, number=0):
    attempt = AttemptId("other", number, "n")
    board.targets[name].outstanding[attempt] = tokens
    board.targets[name].prefill[attempt] = tokens


class AllPoliciesTest(unittest.TestCase):
    def choices(self, policy, board, tokens=1000, exclude=frozenset()):
        router = make_router(policy)
        return {router.choose(prompt(tokens), board, 1.0, exclude) for _ in range(200)}

    def test_unusable_targets_are_never_chosen(self):
        for policy in POLICIES:
            board = make_board(6)
            targets = board.targets
            targets["engine-0"].host = host("engine-0", state=HostState.LEAVING)
            targets["engine-1"].load = TargetLoad(leaving=True)
            targets["engine-2"].ejected_until = 2.0
            targets["engine-3"].agent = None
            drained = Target(name="engine-4", owner="o", drained=True)
            board.catalogue = Catalogue(
                models=board.catalogue.models,
                services=board.catalogue.services,
                targets={"engine-4": drained},
            )
            for tokens in (1000, 100_000):
                with self.subTest(policy=policy, tokens=tokens):
                    chosen = self.choices(policy, board, tokens)
                    self.assertEqual(chosen, {"engine-5"})
                    exclude = frozenset({"engine-5"})
                    chosen = self.choices(policy, board, tokens, exclude)
                    self.assertEqual(chosen, {None})

    def test_only_usable_target_of_many_is_found(self):
        for policy in POLICIES:
            board = make_board(500)
            for number in range(499):
                board.targets[f"engine-{number}"].agent = None
            with self.subTest(policy=policy):
                self.assertEqual(self.choices(policy, board), {"engine-499"})

    def test_engine_with_too_little_memory_is_not_chosen(self):
        for policy in POLICIES:
            board = make_board(3)
            board.targets["engine-2"].load = TargetLoad(memory_total=4 * MEMORY)
            with self.subTest(policy=policy):
                chosen = self.choices(policy, board, 2 * MEMORY)
                self.assertEqual(chosen, {"engine-2"})

    def test_call_goes_to_its_service(self):
        board = make_board(3)
        call = Call("purchasing", "POST", "/orders", False)
        request = Request("r", "w", "c", call, 0.0, 60.0)
        for policy in POLICIES:
            with self.subTest(policy=policy):
                chosen = make_router(policy).choose(request, board, 0.0)
                self.assertEqual(chosen, "plain-0")

    def test_unknown_model_has_no_target(self):
        request = Request("r", "w", "c", Prompt("x", 1, 1), 0.0, 60.0)
        self.assertIsNone(make_router().choose(request, make_board(3), 0.0))


class TargetIndexTest(unittest.TestCase):
    def test_new_target_is_chosen_immediately(self):
        board = make_board(0)
        router = make_router()
        self.assertIsNone(router.choose(prompt(10), board, 0.0))
        board.targets["n"] = TargetState(host("n"), AgentId("n", "1"))
        self.assertEqual(router.choose(prompt(10), board, 0.0), "n")

    def test_replaced_target_is_never_chosen_for_the_old_service(self):
        board = make_board(1)
        router = make_router()
        router.choose(prompt(10), board, 0.0)
        del board.targets["engine-0"]
        board.targets["other"] = TargetState(host("other"), AgentId("other", "1"))
        self.assertIsNone(router.choose(prompt(10), board, 0.1))
        self.assertEqual(router.choose(prompt(10), board, 1.0), "other")

    def test_changed_selector_takes_effect_immediately(self):
        board = make_board(2)
        router = make_router()
        router.choose(prompt(10), board, 0.0)
        changed = Service(
            name="advisor",
            owner="o",
            kind=ServiceKind.ENGINE,
            selector={"service": "nobody"},
        )
        board.catalogue = Catalogue(
            models=board.catalogue.models, services={"advisor": changed}
        )
        self.assertIsNone(router.choose(prompt(10), board, 0.0))


class LengthAwareTest(unittest.TestCase):
    def order(self, board):
        names = [name for name in board.targets if name.startswith("engine")]
        return sorted(names, key=stable_rank)

    def test_long_prompts_share_first_targets_between_entries(self):
        board = make_board(20)
        first = self.order(board)[0]
        for seed in range(5):
            router = Router(RoutingSettings(), random.Random(seed))
            self.assertEqual(router.choose(prompt(100_000), board, 0.0), first)

    def place_long(self, count):
        """Place long prompts one after another and return the board."""
        board = make_board(20)
        router = make_router()
        for number in range(count):
            request = prompt(100_000, number=number)
            name = router.choose(request, board, 0.0)
            add_outstanding(board, name, request.work.memory, number)
        return board

    def test_long_prompts_leave_other_targets_free(self):
        for count in (5, 20, 60):
            with self.subTest(count=count):
                board = self.place_long(count)
                free = [
                    target
                    for target in board.targets.values()
                    if not target.outstanding
                ]
                self.assertGreaterEqual(len(free), 0.2 * 20)

    def test_long_work_is_spread_evenly_over_the_long_pool(self):
        board = self.place_long(60)
        counts = [
            len(target.outstanding)
            for target in board.targets.values()
            if target.outstanding
        ]
        self.assertLessEqual(max(counts) - min(counts), 2)

    def test_long_pool_grows_with_long_work_and_shrinks_without(self):
        board = make_board(20)
        router = make_router()
        sizes = []
        for busy in (12, 0):
            for target in board.targets.values():
                target.prefill.clear()
            for name in self.order(board)[:busy]:
                add_outstanding(board, name, 100_000)
            for number in range(200):
                router.choose(prompt(100_000, number=number), board, 0.0)
            sizes.append(router.long_pool_size(prompt(1), board, 0.0))
        self.assertGreaterEqual(sizes[0], 12)
        self.assertEqual(sizes[1], 1)

    def test_short_prompts_avoid_targets_with_long_work(self):
        board = make_board(20)
        for name in self.order(board)[:8]:
            add_outstanding(board, name, 100_000)
        router = make_router()
        for number in range(50):
            name = router.choose(prompt(1000, number=number), board, 0.0)
            self.assertEqual(board.targets[name].outstanding_tokens, 0)

    def test_short_prompts_use_idle_targets_of_the_long_pool(self):
        board = make_board(4)
        order = self.order(board)
        for name in order[1:]:
            add_outstanding(board, name, 5000)
        self.assertEqual(make_router().choose(prompt(1000), board, 0.0), order[0])

    def test_reported_load_of_other_entries_counts(self):
        board = make_board(2)
        board.targets["engine-0"].load = TargetLoad(
            queued_prefill=50_000, memory_total=MEMORY
        )
        self.assertEqual(make_router().choose(prompt(10), board, 0.0), "engine-1")
