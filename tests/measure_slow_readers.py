"""Prints the memory of an entry whose callers read large answers late.

Run it by ``python -m tests.measure_slow_readers``.
"""

import argparse

from .test_platform_slow_readers import LARGE_ANSWERS, MEGABYTE, ResidentMemoryTest

# Memory of the entry in MB; a quarter is the bound, which the callers of the
# last one do not reach.
CASES = (80, 152, 200, 4_000)


class Measurement(ResidentMemoryTest):
    async def runTest(self):
        rest, peak, complete, ends = await self.observe()
        large = complete[: len(LARGE_ANSWERS)]
        print(
            f"bound {self.memory / 4 / MEGABYTE:.0f} MB: "
            f"{rest / MEGABYTE:.1f} MB at rest, {peak / MEGABYTE:.1f} MB at most, "
            f"{len(ends)} ended, {sum(large)} of {len(large)} large answers and "
            f"{sum(complete) - sum(large)} of {len(complete) - len(large)} small ones"
        )


def main():
    argparse.ArgumentParser(description=__doc__).parse_args()
    for memory in CASES:
        measurement = Measurement("runTest")
        measurement.memory = memory * MEGABYTE
        measurement.debug()


if __name__ == "__main__":
    main()
