"""Runs two entries, four engines' agents and a plain service's, each alone.

``python -m examples.processes`` starts every part as a process of its own on
loopback, prints the addresses and serves until interrupted.
"""

import pathlib
import signal

from bench.deployment import Deployment, DeploymentSpec, TargetSpec

CATALOGUE = pathlib.Path("examples/local/catalogue.json")

TARGETS = (
    TargetSpec("advisor-1", "advisor", failure_domain="a"),
    TargetSpec("advisor-2", "advisor", failure_domain="b"),
    TargetSpec("advisor-3", "advisor", failure_domain="c"),
    TargetSpec("advisor-4", "advisor", failure_domain="a"),
    TargetSpec("purchasing-1", "purchasing", kind="plain"),
)


def main() -> None:
    """Run the deployment until interrupted."""
    spec = DeploymentSpec(CATALOGUE, TARGETS, entries=2, log_level="info")
    with Deployment(spec) as deployment:
        for name, url in deployment.urls.items():
            print(f"{name}: {url}")
        print(f"settings and logs: {deployment.folder}", flush=True)
        try:
            signal.pause()
        except KeyboardInterrupt:
            print("stopping")


if __name__ == "__main__":
    main()
