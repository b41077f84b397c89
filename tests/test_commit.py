"""Tests of the commit protocol against a store with faults."""

import unittest

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from chicorycove import commit
from chicorycove.catalogue import EntryId, PriorityClass, Target, Workspace
from chicorycove.change import Edit, Proposal, State, build_revert
from chicorycove.exceptions import (
    CatalogueError,
    ConflictError,
    StoreUnavailable,
    StoreUnknown,
)

from .store import DictStore


def edit(name, owner="o", drained=False):
    """Return an edit that sets a target."""
    entry = Target(name=name, owner=owner, drained=drained)
    return Edit(id=EntryId("target", name), entry=entry)


def deletion(name):
    """Return an edit that deletes a target."""
    return Edit(id=EntryId("target", name), entry=None)


def proposal(id, *edits, base=None, operator="operator"):
    """Return a proposal of an operator."""
    return Proposal(
        id=id, operator=operator, owner="board", reason="r", edits=edits, base=base
    )


class CommitTest(unittest.TestCase):
    def setUp(self):
        self.store = DictStore()
        self.count = 0

    def commit(self, *args, local_state=State(), **kwargs):
        """Commit a proposal."""
        self.count += 1
        requested = proposal(*args, **kwargs)
        calls = commit.commit(requested, local_state, f"token{self.count}", 1.0)
        return self.store.run(calls)

    def load(self, local_state=State()):
        """Load the catalogue in force."""
        return self.store.run(commit.load(local_state))

    def bucket_keys(self):
        """Return the keys of the buckets in the store."""
        return {key for key in self.store.values if "/buckets/" in key}

    def test_a_change_is_read_back(self):
        accepted = self.commit("c1", edit("a"))
        self.assertEqual(accepted.change.revision, 1)
        self.assertEqual(self.load().state, accepted.stored.state)
        self.assertIn("a", self.load().state.catalogue.targets)

    def test_several_entries_in_one_change(self):
        names = [f"t{number}" for number in range(200)]
        self.commit("c1", *map(edit, names))
        self.assertEqual(sorted(self.load().state.catalogue.targets), sorted(names))

    def test_same_id_is_accepted_once(self):
        first = self.commit("c1", edit("a"))
        self.commit("c2", edit("a", drained=True))
        again = self.commit("c1", edit("a"))
        self.assertEqual(again.change, first.change)
        self.assertTrue(self.load().state.catalogue.targets["a"].drained)

    def test_conflict_names_the_owner(self):
        self.commit("c1", edit("a"))
        self.commit("c2", edit("a", owner="p"), operator="other")
        with self.assertRaises(ConflictError) as caught:
            self.commit("c3", edit("a", owner="q"), base=1)
        self.assertIn(
            'by operator "other" of "board" in change c2', str(caught.exception)
        )

    def test_conflict_with_a_deletion(self):
        self.commit("c1", edit("a"))
        self.commit("c2", deletion("a"))
        with self.assertRaises(ConflictError):
            self.commit("c3", edit("a", owner="q"), base=1)

    def test_other_entries_do_not_conflict(self):
        self.commit("c1", edit("a"))
        self.commit("c2", edit("b"), base=0)
        self.assertEqual(self.load().state.revision, 2)

    def test_lost_answer_at_every_call(self):
        for number in range(20):
            with self.subTest(call=number):
                self.setUp()
                self.commit("c0", edit("a"))
                self.store.faults = [""] * number + ["lost"]
                accepted = self.commit("c1", edit("a", drained=True))
                self.assertEqual(accepted.change.revision, 2)
                self.assertEqual(self.load().state.revision, 2)

    def test_lost_answer_and_another_change_before_the_next_read(self):
        self.commit("c0", edit("a"))
        calls = commit.commit(proposal("c1", edit("b")), State(), "x", 1.0)
        call = calls.send(None)
        while not (isinstance(call, commit.SwapKey) and call.key == commit.HEAD_KEY):
            call = calls.send(self.store.carry_out(call))
        self.store.faults = ["lost"]
        call = calls.send(self.store.carry_out(call))
        for number in range(100):
            self.commit(f"d{number}", edit("c", owner=str(number)))
        with self.assertRaises(StopIteration) as stop:
            while True:
                call = calls.send(self.store.carry_out(call))
        self.assertEqual(stop.exception.value.change.revision, 2)

    def test_store_down_at_every_call(self):
        for number in range(12):
            with self.subTest(call=number):
                self.setUp()
                self.store.faults = [""] * number + ["down"] * 100
                try:
                    self.commit("c1", edit("a"))
                    accepted = True
                except StoreUnavailable:
                    accepted = False
                self.store.faults = []
                self.assertEqual(self.load().state.revision, int(accepted))

    def test_unknown_outcome_when_the_store_stays_down(self):
        self.commit("c0", edit("a"))
        calls = commit.commit(proposal("c1", edit("b")), State(), "x", 1.0)
        call = calls.send(None)
        while not (isinstance(call, commit.SwapKey) and call.key == commit.HEAD_KEY):
            call = calls.send(self.store.carry_out(call))
        self.store.faults = ["delayed"] + ["down"] * 20
        with self.assertRaises(StoreUnknown):
            while True:
                call = calls.send(self.store.carry_out(call))
        self.store.faults = []
        self.assertEqual(self.load().state.revision, 1)
        self.store.apply_delayed_write()
        self.assertEqual(self.load().state.revision, 2)

    def test_invalid_change_writes_nothing(self):
        workspace = Workspace(name="w", owner="o", priority_class="x")
        with self.assertRaises(CatalogueError):
            self.commit("c1", Edit(id=EntryId("workspace", "w"), entry=workspace))
        self.assertEqual(self.store.values, {})

    def test_change_without_effect_is_refused(self):
        self.commit("c1", edit("a"))
        with self.assertRaises(CatalogueError):
            self.commit("c2", edit("a"))

    def test_too_large_piece_is_refused(self):
        huge = "x" * commit.MAX_PIECE_SIZE
        with self.assertRaises(CatalogueError) as caught:
            self.commit("c1", edit("a", owner=huge))
        self.assertIn("split it", str(caught.exception))
        self.assertEqual(self.load().state.revision, 0)

    def test_replaced_pieces_are_deleted(self):
        for number in range(100):
            self.commit(f"c{number}", edit("a", owner=str(number)))
        self.assertLessEqual(len(self.bucket_keys()), 2 * commit.INTENT_SLOTS)

    def test_pieces_of_a_crashed_commit_are_deleted(self):
        calls = commit.commit(proposal("crash", edit("z")), State(), "x", 1.0)
        call = calls.send(None)
        while not (isinstance(call, commit.SwapKey) and call.key == commit.HEAD_KEY):
            call = calls.send(self.store.carry_out(call))
        orphan = f"{commit.PREFIX}changes/x.0"
        self.assertIn(orphan, self.store.values)
        for number in range(2 * commit.INTENT_SLOTS):
            self.commit(f"c{number}", edit("a", owner=str(number)))
        self.assertNotIn(orphan, self.store.values)

    def test_revert_is_a_new_change(self):
        self.commit("c1", edit("a"))
        second = self.commit("c2", edit("a", drained=True), edit("b")).change
        requested = build_revert(second, proposal("c3"))
        self.store.run(commit.commit(requested, State(), "y", 1.0))
        targets = self.load().state.catalogue.targets
        self.assertEqual(targets, {"a": edit("a").entry})

    def test_revert_of_an_entry_changed_since_conflicts(self):
        first = self.commit("c1", edit("a")).change
        self.commit("c2", edit("a", drained=True))
        requested = build_revert(first, proposal("c3"))
        with self.assertRaises(ConflictError):
            self.store.run(commit.commit(requested, State(), "y", 1.0))


class HistoryTest(unittest.TestCase):
    CHANGES = 600

    @classmethod
    def setUpClass(cls):
        cls.store = DictStore()
        state = State()
        for number in range(1, cls.CHANGES + 1):
            requested = proposal(f"c{number}", edit("a", owner=str(number)))
            calls = commit.commit(requested, state, f"t{number}", 1.0)
            state = cls.store.run(calls).stored.state
        cls.head = cls.store.run(commit.load(state)).head

    def test_newest_first(self):
        changes = self.store.run(commit.history(self.head, 3))
        self.assertEqual([change.revision for change in changes], [600, 599, 598])

    def test_any_revision_is_found_in_few_reads(self):
        for revision in range(1, self.CHANGES + 1, 7):
            self.store.calls = 0
            change = self.store.run(commit.find(self.head, revision))
            self.assertEqual(change.id, f"c{revision}")
            self.assertLessEqual(
                self.store.calls, commit.LINK_BASE * commit.LINK_LEVELS
            )

    def test_no_such_revision(self):
        for revision in (0, self.CHANGES + 1):
            with self.assertRaises(CatalogueError):
                self.store.run(commit.find(self.head, revision))


class SizeTest(unittest.TestCase):
    def test_a_thousand_workspaces_are_far_from_the_limit(self):
        store = DictStore()
        kind = PriorityClass(name="c", owner="o", priority=0, deadline=1.0)
        edits = [Edit(id=EntryId("class", "c"), entry=kind)]
        for number in range(1000):
            entry = Workspace(
                name=f"workspace-{number}",
                owner="owner",
                priority_class="c",
                key_digests=("0" * 60 + f"{number:04}",),
            )
            edits.append(Edit(id=EntryId("workspace", entry.name), entry=entry))
        store.run(commit.commit(proposal("c", *edits), State(), "t", 1.0))
        largest = max(len(value) for value, _ in store.values.values())
        self.assertLess(largest, commit.MAX_PIECE_SIZE / 2)


OPERATORS = ("p", "q", "r")
NAMES = ("a", "b", "c")
FAULTS = st.sampled_from(["", "lost", "delayed", "down"])


class CommitMachine(RuleBasedStateMachine):
    """Compares concurrent commits to a faulty store with a dictionary."""

    def __init__(self):
        super().__init__()
        self.store = DictStore()
        self.oracle = {}
        self.accepted = {}  # id to revision
        self.refused = set()
        self.retried = set()
        self.proposals = {}
        self.running = {}
        self.order = []  # ids in the order in which they were committed
        self.count = 0

    @rule(
        operator=st.sampled_from(OPERATORS),
        name=st.sampled_from(NAMES),
        owner=st.sampled_from("xyz"),
        gone=st.booleans(),
        stale=st.booleans(),
    )
    def start(self, operator, name, owner, gone, stale):
        if operator in self.running:
            return
        self.count += 1
        base = len(self.order) // 2 if stale else None
        requested = proposal(
            f"c{self.count}",
            deletion(name) if gone else edit(name, owner),
            edit("always", owner=str(self.count)),
            base=base,
            operator=operator,
        )
        self.proposals[requested.id] = requested
        self.run_commit(operator, requested)

    @precondition(lambda self: self.proposals)
    @rule(operator=st.sampled_from(OPERATORS), data=st.data())
    def start_again(self, operator, data):
        if operator in self.running:
            return
        id = data.draw(st.sampled_from(sorted(self.proposals)))
        self.retried.add(id)
        self.refused.discard(id)
        self.run_commit(operator, self.proposals[id])

    def run_commit(self, operator, requested):
        self.count += 1
        calls = commit.commit(requested, State(), f"t{self.count}", 1.0)
        self.running[operator] = [requested, calls, calls.send(None)]

    @rule(operator=st.sampled_from(OPERATORS))
    def advance_to_swap(self, operator):
        while operator in self.running:
            call = self.running[operator][2]
            if isinstance(call, commit.SwapKey) and call.key == commit.HEAD_KEY:
                return
            self.step(operator, [""])

    @rule(
        operator=st.sampled_from(OPERATORS),
        faults=st.lists(FAULTS, min_size=1, max_size=4),
    )
    def step(self, operator, faults):
        for fault in faults:
            if operator not in self.running:
                return
            requested, calls, call = self.running[operator]
            self.store.faults = [fault]
            result = self.store.carry_out(call)
            self.store.faults = []
            self.note_head()
            try:
                self.running[operator][2] = calls.send(result)
            except StopIteration as stop:
                del self.running[operator]
                self.accepted[requested.id] = stop.value.change.revision
            except StoreUnknown:
                del self.running[operator]
            except (CatalogueError, StoreUnavailable):
                del self.running[operator]
                if requested.id not in self.retried:
                    self.refused.add(requested.id)

    @rule(operator=st.sampled_from(OPERATORS))
    def finish(self, operator):
        for _ in range(100):
            self.step(operator, [""])

    @rule(operator=st.sampled_from(OPERATORS))
    def crash(self, operator):
        self.running.pop(operator, None)

    @precondition(lambda self: self.store.delayed_writes)
    @rule()
    def deliver_late(self):
        self.store.apply_delayed_write()
        self.note_head()

    def note_head(self):
        """Apply a newly committed change to the oracle."""
        head = self.head()
        if head.revision > len(self.order):
            assert head.revision == len(self.order) + 1
            id = head.recent[-1][0]
            self.order.append(id)
            for each in self.proposals[id].edits:
                self.oracle.pop(each.id.name, None)
                if each.entry is not None:
                    self.oracle[each.id.name] = each.entry

    def head(self):
        value, version = self.store.values.get(commit.HEAD_KEY, (b"", 0))
        return commit.HeadRecord.decode(value) if version else commit.HeadRecord()

    @invariant()
    def state_equals_oracle(self):
        stored = self.store.run(commit.load())
        assert stored.state.catalogue.targets == self.oracle
        assert stored.state.revision == len(self.order)

    @invariant()
    def accepted_persist_and_refused_stay_out(self):
        assert len(set(self.order)) == len(self.order)
        assert not self.refused & set(self.order)
        for id, revision in self.accepted.items():
            assert self.order[revision - 1] == id

    def teardown(self):
        for operator in OPERATORS:
            self.finish(operator)
        while self.store.delayed_writes:
            self.deliver_late()
        for number in range(3 * commit.INTENT_SLOTS):
            requested = proposal(f"end{number}", edit("always", owner=f"e{number}"))
            self.proposals[requested.id] = requested
            calls = commit.commit(requested, State(), f"end{number}", 1.0)
            self.store.run(calls)
            self.note_head()
        self.state_equals_oracle()
        self.accepted_persist_and_refused_stay_out()
        head = self.head()
        changes = self.store.run(commit.history(head, len(self.order)))
        assert [change.id for change in reversed(changes)] == self.order


class CommitFuzzTest(unittest.TestCase):
    def test_races_and_faults(self):
        run_state_machine_as_test(
            CommitMachine,
            settings=settings(
                max_examples=100,
                stateful_step_count=30,
                derandomize=True,
                deadline=None,
            ),
        )
