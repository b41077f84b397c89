"""Decisions stay pure: what their modules may import."""

import ast
import pathlib
import re
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

# The same, of an entry that reaches its targets itself.
DIRECT_ADAPTERS = {
    "caller_connection",
    "client",
    "entry",
    "exchange",
    "http",
    "linelog",
    "pages",
    "peers",
    "target_calls",
    "target_connection",
}

# Words of the users' platform that only its adapter may know.
PLATFORM_WORDS = re.compile(
    r"kv-[a-z]+|[Cc]hicorycove-[a-z]+|op/config|servers/|[a-z]Ms\b|[Tt]enant|\b[Zz]one"
)

FORBIDDEN = {
    "aiosonic",
    "asyncio",
    "grpc",
    "logging",
    "os",
    "prometheus_client",
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


def decisions():
    """Return the paths of the modules that decide."""
    flat = [x for x in SOURCE.glob("*.py") if x.stem not in ADAPTERS]
    direct = [
        x for x in (SOURCE / "direct").glob("*.py") if x.stem not in DIRECT_ADAPTERS
    ]
    return flat + direct


class PlatformWordTest(unittest.TestCase):
    def test_only_the_adapter_knows_the_platforms_words(self):
        for path in (SOURCE / "direct").glob("*.py"):
            with self.subTest(module=path.stem):
                found = PLATFORM_WORDS.findall(path.read_text())
                self.assertEqual(found, [])


class DecisionModuleTest(unittest.TestCase):
    def test_no_io_clock_or_global_random(self):
        for path in decisions():
            with self.subTest(module=path.stem):
                self.assertEqual(imported(path) & FORBIDDEN, set())

    def test_only_seeded_random(self):
        for path in decisions():
            for node in ast.walk(ast.parse(path.read_text())):
                match node:
                    case ast.Attribute(value=ast.Name(id="random"), attr=attr):
                        with self.subTest(module=path.stem):
                            self.assertEqual(attr, "Random")
