"""Runs a direct entry with the platform's settings file."""

import gc
import signal
import sys
import typing as t

# Set before the slow imports: an early SIGHUP must not end the process.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from ..exceptions import SettingsError  # noqa: E402
from .listeners import open_listeners  # noqa: E402
from .settings_file import SETTINGS_VARIABLE, read_settings_file  # noqa: E402

EXIT_INVALID_SETTINGS = 2


def main(argv: t.Sequence[str]) -> int:
    """Run the process and return its exit code."""
    path = None
    check_only = False
    if argv:  # none on the platform, where each import delays the start
        options = _parse_options(argv)
        path, check_only = options.settings, options.check
    try:
        return _run(path, check_only)
    except SettingsError as error:
        print(f"chicorycove.platform: {error}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS


def _run(path: str | None, check_only: bool) -> int:
    file = read_settings_file(path)
    if check_only:
        from .boot import create_boot

        create_boot(file)
        print("ok")
        return 0
    listeners = open_listeners(
        file.get_address("listen.front"), file.get_address("listen.ready")
    )
    # These imports take most of the startup time. After a kill, callers retry
    # only once: by now the kernel queues their connections instead of refusing
    # them.
    gc.disable()  # imports create few objects that are garbage
    # msgspec imports this package if it is installed, and uses typing
    # otherwise. The import takes a tenth of the startup time.
    sys.modules.setdefault("typing_extensions", None)
    from .boot import create_boot
    from .process import start

    gc.freeze()
    gc.enable()
    start(create_boot(file), listeners)
    return 0


def _parse_options(argv: t.Sequence[str]) -> t.Any:
    import argparse

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
    return parser.parse_args(argv)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
