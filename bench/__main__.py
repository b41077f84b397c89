"""Runs an experiment: ``python -m bench NAME [OPTIONS]``."""

import importlib
import pathlib
import sys


def names() -> list[str]:
    """Return the names of the experiments."""
    folder = pathlib.Path(__file__).parent
    return sorted(
        path.stem
        for path in folder.glob("*.py")
        if not path.stem.startswith("_") and "def main(" in path.read_text()
    )


def main() -> int:
    """Run one experiment and return its exit code."""
    if len(sys.argv) < 2 or sys.argv[1] not in names():
        print(f"usage: python -m bench {{{','.join(names())}}} [OPTIONS]")
        return 2
    module = importlib.import_module(f"bench.{sys.argv[1]}")
    return module.main(sys.argv[2:]) or 0


if __name__ == "__main__":
    sys.exit(main())
