"""Tests of the operators' API and command line, over HTTP on loopback."""

import asyncio
import contextlib
import io
import json
import pathlib
import socket
import tempfile
import threading
import unittest

import uvicorn
from starlette.applications import Starlette

from chicorycove import cli
from chicorycove.administration import Administration
from chicorycove.catalogue import key_digest
from chicorycove.metric import Metrics
from chicorycove.registry import Laggard, ProcessStatus, Registry, SpreadReport
from chicorycove.schema import parse_file

from .store import AsyncStore

EXAMPLE = pathlib.Path(__file__).parent.parent / "examples/local/catalogue.json"
CLERK = {
    "kind": "operator",
    "name": "clerk",
    "owner": "office",
    "grants": ["workspace/club-*"],
    "key_digests": [key_digest("clerk-key")],
}


class FakeSpreader:
    """Reports the laggards and the acceptance that a test sets."""

    def __init__(self):
        self.laggards = ()
        self.accepts = True

    async def spread(self, change, state):
        time = None if self.laggards else 5.0
        return SpreadReport(change.revision, 3, time, self.laggards)

    def status(self):
        return (ProcessStatus("a", "entry", "fukuoka", "alive", 1, 0),)

    def may_accept(self):
        return self.accepts

    def watches(self):
        return True

    def store_read(self, changes, state):
        pass


class Server:
    """Serves an entry's administration API in a thread."""

    def __init__(self):
        self.store = AsyncStore()
        self.spreader = FakeSpreader()
        self.registry = Registry(self.store, "a", spreader=self.spreader)
        self.metrics = Metrics("a")
        routes = Administration(self.registry, self.metrics.refused).routes()
        config = uvicorn.Config(Starlette(routes=routes), log_level="error")
        self._server = uvicorn.Server(config)
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.url = "http://127.0.0.1:%d" % self._socket.getsockname()[1]
        self._thread = threading.Thread(target=self._run)
        self._started = threading.Event()

    def __enter__(self):
        self._thread.start()
        self._started.wait(30)
        return self

    def __exit__(self, *_):
        self._server.should_exit = True
        self._thread.join(30)
        self._socket.close()

    def _run(self):
        asyncio.run(self._serve())

    async def _serve(self):
        await self.registry.seed(parse_file(EXAMPLE.read_text()))
        self._started.set()
        await self._server.serve(sockets=[self._socket])


class CliTest(unittest.TestCase):
    def setUp(self):
        self.server = self.enterContext(Server())
        self.directory = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))

    def run_cli(self, *arguments, key="board-key"):
        """Return the exit code, output and error output of a command."""
        out, err = io.StringIO(), io.StringIO()
        argv = ["--server", self.server.url, "--key", key, *arguments]
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = cli.main(argv)
        return code, out.getvalue(), err.getvalue()

    def apply(self, *entries, revision=None, key="board-key", options=()):
        """Apply entries from a file."""
        path = self.directory / "change.json"
        data = {"entries": list(entries)}
        if revision is not None:
            data["revision"] = revision
        path.write_text("// a comment\n" + json.dumps(data))
        return self.run_cli("apply", str(path), "--reason", "r", *options, key=key)

    def workspace(self, name, owner="o"):
        return {"kind": "workspace", "name": name, "owner": owner, "class": "review"}

    def test_apply_get_list_show_history_revert(self):
        code, out, err = self.apply(self.workspace("w"))
        self.assertEqual((code, err), (cli.DONE, ""))
        self.assertIn('+ workspace "w"', out)
        self.assertIn("w ", self.run_cli("list", "workspace")[1])
        _, out, _ = self.run_cli("get", "workspace", "w")
        self.assertEqual(json.loads(out), self.workspace("w"))
        _, out, _ = self.run_cli("--output", "json", "history")
        change = json.loads(out)["changes"][0]
        self.assertEqual(
            (change["operator"], change["reason"]), ("board-secretary", "r")
        )
        self.assertEqual(change["in_force_at"], 5.0)
        _, out, _ = self.run_cli("show", change["id"])
        self.assertIn("by board-secretary of board: r", out)
        code, out, _ = self.run_cli("revert", change["id"], "--reason", "undo")
        self.assertEqual(code, cli.DONE)
        self.assertIn('- workspace "w"', out)
        self.assertEqual(self.run_cli("get", "workspace", "w")[0], cli.REFUSED)
        _, out, _ = self.run_cli("history", "--format", "md")
        self.assertIn("| undo |", out)
        _, out, _ = self.run_cli("history", "--format", "csv")
        self.assertEqual(len(out.splitlines()), 4)

    def test_dry_run_changes_nothing(self):
        code, out, _ = self.apply(self.workspace("w"), options=["--dry-run"])
        self.assertEqual(code, cli.DONE)
        self.assertIn('  + class: "review"', out)
        self.assertEqual(self.server.registry.current.revision, 1)

    def test_conflict_names_the_other_owner(self):
        self.apply(self.workspace("w"))
        code, _, err = self.apply(self.workspace("w", "other"), revision=1)
        self.assertEqual(code, cli.CONFLICT)
        self.assertIn('by operator "board-secretary" of "board" in change', err)

    def test_invalid_change_is_refused(self):
        entry = self.workspace("w") | {"class": "nothing"}
        code, _, err = self.apply(entry)
        self.assertEqual(code, cli.REFUSED)
        self.assertIn('names class "nothing", which does not exist', err)

    def test_delete_of_a_referenced_entry_is_refused(self):
        code, _, err = self.run_cli("delete", "class", "review", "--reason", "r")
        self.assertEqual(code, cli.REFUSED)
        self.assertIn('names class "review", which does not exist', err)

    def test_delete(self):
        self.apply(self.workspace("w"))
        code, _, _ = self.run_cli("delete", "workspace", "w", "--reason", "r")
        self.assertEqual(code, cli.DONE)
        self.assertNotIn("w", self.server.registry.current.workspaces)

    def test_operators_are_authenticated(self):
        for key in ("toolroom-key", "nonsense"):
            for command in (["list", "model"], ["status"], ["history"]):
                code, _, err = self.run_cli(*command, key=key)
                self.assertEqual(code, cli.DENIED)
                self.assertNotIn(key, err)

    def test_grants_limit_an_operator(self):
        self.apply(CLERK)
        code, _, _ = self.apply(self.workspace("club-1"), key="clerk-key")
        self.assertEqual(code, cli.DONE)
        for entry in (self.workspace("other"), CLERK | {"grants": ["*/*"]}):
            code, _, err = self.apply(entry, key="clerk-key")
            self.assertEqual(code, cli.DENIED)
            self.assertIn('operator "clerk" has no grant for', err)

    def test_laggards_are_named(self):
        self.server.spreader.laggards = (Laggard("b", 1, "no contact"),)
        code, out, _ = self.apply(self.workspace("w"))
        self.assertEqual(code, cli.LAGGING)
        self.assertIn("lags: b at revision 1, no contact", out)

    def test_store_down(self):
        self.server.store.store.down = True
        code, _, err = self.apply(self.workspace("w"))
        self.assertEqual(code, cli.UNAVAILABLE)
        self.assertIn("the store did not answer", err)

    def test_partitioned_entry_accepts_nothing(self):
        self.server.spreader.accepts = False
        code, _, _ = self.apply(self.workspace("w"))
        self.assertEqual(code, cli.UNAVAILABLE)
        self.assertEqual(self.server.registry.current.revision, 1)

    def test_refusals_are_counted(self):
        self.run_cli("list", "model", key="nonsense")
        self.apply(self.workspace("w"))
        self.apply(self.workspace("w", "other"), revision=1)
        self.apply(self.workspace("w") | {"class": "nothing"})
        self.run_cli("get", "workspace", "nobody")
        self.server.store.store.down = True
        self.apply(self.workspace("x"))
        page = self.server.metrics.page().decode()
        for reason in (
            "unauthenticated",
            "conflict",
            "invalid_catalogue",
            "unknown_entry",
            "store_down",
        ):
            self.assertRegex(page, f'reason="{reason}",verdict="not_run"}} 1')

    def test_another_entry_reads_when_a_change_was_in_force(self):
        self.apply(self.workspace("w"))
        other = Registry(self.server.store, "b")
        spread = asyncio.run(other.find_spread(2))
        self.assertEqual((spread.in_force_at, spread.members), (5.0, 3))

    def test_status(self):
        code, out, _ = self.run_cli("status")
        self.assertEqual(code, cli.DONE)
        self.assertIn("fukuoka", out)

    def test_status_of_an_entry_without_peers(self):
        self.server.registry.spreader = None
        code, out, _ = self.run_cli("status")
        self.assertEqual(code, cli.DONE)
        self.assertRegex(out, r"\na +entry +alive +0 +1 +0\n")

    def test_server_without_a_scheme(self):
        self.server.url = "127.0.0.1:8080"
        code, _, err = self.run_cli("status")
        self.assertEqual(code, cli.USAGE)
        self.assertIn('expected a URL such as http://127.0.0.1:8080, got "127', err)

    def test_missing_file(self):
        code, _, err = self.run_cli("apply", "/nonexistent/x.json", "--reason", "r")
        self.assertEqual(code, cli.USAGE)
        self.assertIn("/nonexistent/x.json: No such file or directory", err)

    def test_unreachable_server(self):
        self.server.url = "http://127.0.0.1:9"
        code, _, err = self.run_cli("status")
        self.assertEqual(code, cli.UNAVAILABLE)
        self.assertIn("http://127.0.0.1:9", err)

    def test_no_key(self):
        self.assertEqual(self.run_cli("status", key="")[0], cli.DENIED)

    def test_keys_are_not_in_the_store(self):
        for value, _ in self.server.store.store.values.values():
            self.assertNotIn(b'-key"', value)
