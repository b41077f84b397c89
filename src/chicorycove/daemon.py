"""The daemon ``chicorycoved``: one process of one role."""

import argparse
import asyncio
import pathlib
import signal
import sys
import typing as t

from . import log
from .exceptions import ChicorycoveError, SettingsError
from .settings import Role, Settings, load

EXIT_SETTINGS = 2
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Process(t.Protocol):
    """The interface of the process of each role."""

    async def start(self) -> None:
        """Start to serve."""

    async def stop(self) -> None:
        """Finish all requests, and close."""


def main(argv: t.Sequence[str] | None = None) -> int:
    """Run the daemon and return its exit code."""
    options = _create_parser().parse_args(argv)
    try:
        settings = load(options.settings, options.role)
        if options.check:
            print(f"{options.settings}: ok")
            return 0
        log.configure(settings.log)
        asyncio.run(run(settings))
    except ChicorycoveError as error:
        print(f"chicorycoved: {error}", file=sys.stderr)
        return EXIT_SETTINGS if isinstance(error, SettingsError) else 1
    except OSError as error:
        detail = error.strerror or error
        print(f"chicorycoved: {options.settings}: {detail}", file=sys.stderr)
        return 1
    return 0


async def run(settings: Settings) -> None:
    """Serve until a stop signal, then finish all requests."""
    process = create(settings)
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopped.set)
    await process.start()
    await stopped.wait()
    log.LOGGER.info("stopping")
    await process.stop()
    log.LOGGER.info("stopped")


def create(settings: Settings) -> Process:
    """Return the process for the settings, not yet started.

    Each role imports only its own modules, to save memory.
    """
    match settings.role:
        case Role.ENTRY:
            from .entry_process import EntryProcess

            return EntryProcess(settings)
        case Role.AGENT:
            from .agent_process import AgentProcess
            from .peer import create_agent_node

            return AgentProcess(settings.agent, create_agent_node(settings))
        case Role.LOCAL:
            from .local import LocalProcess

            return LocalProcess(settings)


def _create_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="chicorycoved", description=__doc__)
    parser.add_argument("--settings", type=pathlib.Path, required=True, metavar="FILE")
    parser.add_argument("--role", choices=[role.value for role in Role])
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    return parser


if __name__ == "__main__":
    sys.exit(main())
