"""Decisions stay pure: what their modules may import."""

import ast
import pathlib
import unittest

SOURCE = pathlib.Path(__file__).parent.parent / "src" / "chicorycove"

# Modules that may do I/O, read the clock or log; every other one is pure.
ADAPTERS = {
    "__init__",
    "__main__",
    "administration",
    "agent",
    "agent_process",
    "application",
    "backend",
    "cli",
    "clock",
    "daemon",
    "entry",
    "entry_process",
    "exchange",
    "expiry",
    "executor",
    "front",
    "httpclient",
    "link",
    "linkset",
    "listener",
    "local",
    "log",
    "metric",
    "operation",
    "orchestrator",
    "outbox",
    "peer",
    "probe",
    "registry",
    "session",
    "stream",
    "utils",
}

FORBIDDEN = {
    "aiosonic",
    "asyncio",
    "grpc",
    "logging",
    "opentelemetry",
    "os",
    "secrets",
    "socket",
    "starlette",
    "threading",
    "time",
    "uuid",
    "uvicorn",
}


def imported(path):
    """Return the names of the top-level packages that a module imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.Import(names=aliases):
                names.update(alias.name.split(".")[0] for alias in aliases)
            case ast.ImportFrom(module=str(module), level=0):
                names.add(module.split(".")[0])
    return names


class DecisionModuleTest(unittest.TestCase):
    def test_no_io_clock_or_global_random(self):
        for path in SOURCE.glob("*.py"):
            if path.stem in ADAPTERS:
                continue
            with self.subTest(module=path.stem):
                self.assertEqual(imported(path) & FORBIDDEN, set())

    def test_only_seeded_random(self):
        for path in SOURCE.glob("*.py"):
            if path.stem in ADAPTERS:
                continue
            for node in ast.walk(ast.parse(path.read_text())):
                match node:
                    case ast.Attribute(value=ast.Name(id="random"), attr=attr):
                        with self.subTest(module=path.stem):
                            self.assertEqual(attr, "Random")
