"""Runs a direct entry with the platform's settings file."""

import argparse
import signal
import sys
import typing as t

# Set before the slow imports: an early SIGHUP must not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from ..exceptions import SettingsError  # noqa: E402
from .boot import SETTINGS_VARIABLE, load_boot  # noqa: E402
from .listeners import open_listeners  # noqa: E402

EXIT_INVALID_SETTINGS = 2


def main(argv: t.Sequence[str] | None = None) -> int:
    """Run the process and return its exit code."""
    options = _create_parser().parse_args(argv)
    try:
        boot = load_boot(options.settings)
        if options.check:
            print("ok")
            return 0
        listeners = open_listeners(boot)
    except SettingsError as error:
        print(f"chicorycove.platform: {error}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    # These imports take most of the startup time. After a kill, callers retry
    # only once: by now the kernel queues their connections instead of refusing
    # them.
    from .process import start

    start(boot, listeners)
    return 0


def _create_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m chicorycove.platform", description=__doc__
    )
    parser.add_argument(
        "--settings",
        metavar="FILE",
        help=f"used instead of the file that {SETTINGS_VARIABLE} names",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    return parser


if __name__ == "__main__":
    sys.exit(main())
