"""Tests of the commands for plans, roll-outs and targets."""

import contextlib
import io
import unittest

from chicorycove import cli, operation

HEAD = {
    "planner": "entry-1",
    "fence": 7,
    "revision": 3,
    "moves": [
        {
            "target": "t1",
            "model": "advisor",
            "version": "2",
            "urgency": "rollout",
            "cause": "version 1 becomes 2",
        }
    ],
    "waiting": [],
    "moves_total": 4,
    "problems": [{"subject": "target/ghost", "cause": "not in the host list"}],
    "rollouts": [
        {
            "model": "advisor",
            "version": "2",
            "done": 1,
            "total": 4,
            "state": "rolling",
            "cause": "",
        }
    ],
}


class CommandTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.answers = {"/plan": [HEAD], "/entries/target": [{"entries": []}]}
        self.changes = []
        functions = operation.CliFunctions(self.call, self.change, cli._print_table)
        self.parser = cli.argparse.ArgumentParser()
        self.parser.add_argument("--output", default="table")
        operation.add_commands(self.parser.add_subparsers(), functions)

    async def call(self, arguments, method, path, body=None):
        answers = self.answers[path]
        return answers.pop(0) if len(answers) > 1 else answers[0]

    async def change(self, arguments, path, body, base=None):
        self.changes.append((arguments.reason, body["edits"]))
        return operation.DONE

    async def run_command(self, *words):
        arguments = self.parser.parse_args(words)
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            code = await arguments.run(arguments)
        return code, out.getvalue()


class PlanTest(CommandTestCase):
    async def test_moves_causes_and_problems(self):
        code, text = await self.run_command("plan")
        self.assertEqual(code, operation.DONE)
        for part in ("t1", "version 1 becomes 2", "and 3 more", "not in the host list"):
            self.assertIn(part, text)

    async def test_no_plan(self):
        self.answers["/plan"] = [{}]
        code, text = await self.run_command("plan")
        self.assertIn("no plan", text)


class RolloutTest(CommandTestCase):
    async def test_status(self):
        code, text = await self.run_command("rollout", "status")
        self.assertEqual(code, operation.DONE)
        self.assertIn("rolling", text)

    async def test_halted_roll_out_sets_the_exit_code(self):
        rollout = HEAD["rollouts"][0] | {"state": "halted", "cause": "requests fail"}
        self.answers["/plan"] = [HEAD | {"rollouts": [rollout]}]
        code, text = await self.run_command("rollout", "status", "--watch")
        self.assertEqual(code, operation.REFUSED)
        self.assertIn("requests fail", text)


class DrainTest(CommandTestCase):
    async def test_new_entry_needs_an_owner(self):
        code, text = await self.run_command("target", "drain", "t1", "--reason", "r")
        self.assertEqual((code, self.changes), (operation.REFUSED, []))
        self.assertIn("--owner", text)

    async def test_drain_and_undrain_are_changes(self):
        await self.run_command(
            "target", "drain", "t1", "--owner", "desk", "--reason", "new disk"
        )
        entry = {"kind": "target", "name": "t1", "owner": "desk", "drained": True}
        self.assertEqual(self.changes, [("new disk", [{"entry": entry}])])
        self.answers["/entries/target"] = [{"entries": [{"entry": dict(entry)}]}]
        await self.run_command("target", "undrain", "t1", "--reason", "done")
        self.assertEqual(self.changes[1][1], [{"entry": entry | {"drained": False}}])
