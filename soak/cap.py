"""Caps the processor time of a process: python -m soak.cap PIDFD SECONDS.

It is a process of its own, so that nothing else delays its signals.
"""

import signal
import sys
import time
import typing as t

PERIOD = 0.1  # seconds
RUN_TIME = 0.007  # seconds of each period in which the process runs
SHARE = RUN_TIME / PERIOD


def cap(descriptor: int, seconds: float) -> None:
    """Let a process run for a part of each period, and then freely."""
    ends_at = time.monotonic() + seconds
    try:
        while time.monotonic() < ends_at:
            signal.pidfd_send_signal(descriptor, signal.SIGSTOP)
            time.sleep(PERIOD - RUN_TIME)
            signal.pidfd_send_signal(descriptor, signal.SIGCONT)
            time.sleep(RUN_TIME)
    finally:
        signal.pidfd_send_signal(descriptor, signal.SIGCONT)


def main(argv: t.Sequence[str]) -> None:
    """Cap the process of a descriptor until it ends, but not for longer."""
    try:
        cap(int(argv[0]), float(argv[1]))
    except ProcessLookupError:
        pass  # it has ended


if __name__ == "__main__":
    main(sys.argv[1:])
