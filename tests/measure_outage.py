"""Prints what callers lose while all targets of a service are down.

A refused caller returns once, after the time that it was told, but after a
third of its time at the latest.  Run it by ``python -m tests.measure_outage``.
"""

import argparse

from .direct import LOOKUP
from .direct_fleet import Fleet

CRASH_AT, LISTED_AGAIN = 5.0, 8.0  # seconds
LOAD = 20.0  # requests per second


class FleetWithRetries(Fleet):
    """A fleet whose callers return once after a refusal."""

    def __init__(self, **fields):
        super().__init__(**fields)
        self.retry_of = {}  # request: the refused one

    def end_request(self, command):
        super().end_request(command)
        id = command.request
        delay = getattr(command, "retry_after", None)
        if delay is None or id in self.retry_of:
            return
        time_left = self.arrived[id] + LOOKUP.timeout - self.now
        self.call_later(min(delay, time_left / 3), self.retry, id)

    def retry(self, id):
        time_limit = self.arrived[id] + LOOKUP.timeout - self.now
        self.retry_of[self.receive(LOOKUP, {"time_limit": time_limit})] = id


def measure(seeds):
    answered, count, held = 0, 0, 0.0
    for seed in seeds:
        fleet = FleetWithRetries(engines=0, shops=3, seed=seed)
        fleet.load(LOOKUP, rate=LOAD, until=10.0)
        fleet.run_until(CRASH_AT)
        for target in list(fleet.targets.values()):
            fleet.crash(target)
        fleet.run_until(20.0)
        succeeded = {id for id, end in fleet.outcomes.items() if end.answered}
        succeeded |= {fleet.retry_of[id] for id in succeeded & set(fleet.retry_of)}
        for id, arrived in fleet.arrived.items():
            if CRASH_AT <= arrived < LISTED_AGAIN and id not in fleet.retry_of:
                count += 1
                answered += id in succeeded
                outcome = fleet.outcomes[id]
                held += outcome.ended - outcome.arrived
    print(
        f"{count} requests while all targets were down: {answered / count:.3f} "
        f"answered, first tries ended after {held / count:.3f} s in the mean"
    )


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=8)
    measure(range(1, parser.parse_args().seeds + 1))


if __name__ == "__main__":
    main()
