"""Measures a fleet in which one of three targets resets 90% of calls.

Run by ``python -m tests.measure_failing_target``.
"""

import dataclasses
from unittest import mock

from . import test_direct_failing_target
from .direct_fleet import Fleet

FLEETS = (
    {"entries": 29, "rate": 7.5},
    {"entries": 29, "rate": 7.5, "loss": 0.2},
    {"entries": 5, "rate": 20.0},
)


class FleetWithoutReports(test_direct_failing_target.CountingFleet):
    """A fleet in which each entry has only what it has seen itself."""

    def send_update(self, sender, command):
        if command.failures:
            command = dataclasses.replace(command, failures=())
        if command != type(command)():
            Fleet.send_update(self, sender, command)


def main():
    for fields in FLEETS:
        for fleet in (FleetWithoutReports, test_direct_failing_target.CountingFleet):
            with mock.patch.object(test_direct_failing_target, "CountingFleet", fleet):
                failed, count = test_direct_failing_target.count_failures(**fields)
            print(
                f"{fields}, {fleet.__name__}: {failed} of {count} failed, "
                f"{failed / count:.3f}"
            )


if __name__ == "__main__":
    main()
