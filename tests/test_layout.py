"""Test that decision modules are pure, by what they import."""

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
    "explain",
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

# The same for an entry that connects to its targets directly.
DIRECT_ADAPTERS = {
    "buffer_limiter",
    "caller_admission",
    "caller_connection",
    "client",
    "connector",
    "entry",
    "exchange",
    "held_request",
    "http",
    "linelog",
    "pages",
    "peer_link",
    "request_log",
    "target_calls",
    "target_connection",
}

# Terms of the users' platform that only its adapter may use.
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


def imported_packages(path):
    """Return the names of the top-level packages that a module imports."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        match node:
            case ast.Import(names=aliases):
                names.update(alias.name.split(".")[0] for alias in aliases)
            case ast.ImportFrom(module=str(module), level=0):
                names.add(module.split(".")[0])
    return names


def decision_modules():
    """Return the paths of the decision modules."""
    flat = [path for path in SOURCE.glob("*.py") if path.stem not in ADAPTERS]
    direct = [
        path
        for path in (SOURCE / "direct").glob("*.py")
        if path.stem not in DIRECT_ADAPTERS
    ]
    return flat + direct


class PlatformWordTest(unittest.TestCase):
    def test_only_the_adapter_uses_terms_of_the_platform(self):
        for path in (SOURCE / "direct").glob("*.py"):
            with self.subTest(module=path.stem):
                found = PLATFORM_WORDS.findall(path.read_text())
                self.assertEqual(found, [])


class DecisionModuleTest(unittest.TestCase):
    def test_no_io_clock_or_global_random(self):
        for path in decision_modules():
            with self.subTest(module=path.stem):
                self.assertEqual(imported_packages(path) & FORBIDDEN, set())

    def test_only_seeded_random(self):
        for path in decision_modules():
            for node in ast.walk(ast.parse(path.read_text())):
                match node:
                    case ast.Attribute(value=ast.Name(id="random"), attr=attr):
                        with self.subTest(module=path.stem):
                            self.assertEqual(attr, "Random")
