"""Choice of an entry's links, and seals at targets without a link."""

import collections
import json
import pathlib
import signal
import threading
import unittest
import urllib.error
import urllib.request

from bench.deployment import Deployment, DeploymentSpec, TargetSpec, get_json
from chicorycove.catalogue import Catalogue, Service, ServiceKind
from chicorycove.host import Host
from chicorycove.subset import choose_hosts

CATALOGUE = pathlib.Path("examples/local/catalogue.json")
TIMEOUT = 60  # seconds, far more than any step needs


def make_hosts(count, service="advisor"):
    return [
        Host(
            name=f"{service}-{number}",
            agent="127.0.0.1:1",
            region="r",
            failure_domain="a",
            labels={"service": service},
        )
        for number in range(count)
    ]


def make_catalogue(*names):
    services = [
        Service(
            name=name, owner="o", kind=ServiceKind.ENGINE, selector={"service": name}
        )
        for name in names
    ]
    return Catalogue.build(services, 1)


class ChooseHostsTest(unittest.TestCase):
    def test_some_of_each_service(self):
        hosts = make_hosts(50, "advisor") + make_hosts(5, "purchasing")
        chosen = choose_hosts("e", hosts, make_catalogue("advisor", "purchasing"), 8)
        services = collections.Counter(
            host.labels["service"] for host in chosen.values()
        )
        self.assertEqual(services, {"advisor": 8, "purchasing": 5})

    def test_choice_does_not_depend_on_the_order_of_hosts(self):
        hosts = make_hosts(50)
        catalogue = make_catalogue("advisor")
        first = choose_hosts("e", hosts, catalogue, 8)
        second = choose_hosts("e", reversed(hosts), catalogue, 8)
        self.assertEqual(set(first), set(second))

    def test_one_removed_host_changes_one_link(self):
        hosts = make_hosts(50)
        catalogue = make_catalogue("advisor")
        before = choose_hosts("e", hosts, catalogue, 8)
        removed = next(iter(before))
        remaining = [host for host in hosts if host.name != removed]
        after = choose_hosts("e", remaining, catalogue, 8)
        self.assertEqual(len(set(after) - set(before)), 1)

    def test_every_host_is_linked_by_some_entry(self):
        hosts = make_hosts(40)
        catalogue = make_catalogue("advisor")
        linked = collections.Counter()
        for number in range(100):
            linked.update(list(choose_hosts(f"entry-{number}", hosts, catalogue, 8)))
        self.assertEqual(len(linked), 40)


class SealWithoutLinkTest(unittest.TestCase):
    """Each entry links to only one of two targets."""

    def register(self, url, timeout):
        request = urllib.request.Request(
            f"{url}/services/purchasing/registrations",
            json.dumps({"steel": "NAK80"}).encode(),
            {
                "Authorization": "Bearer secretariat-key",
                "Idempotency-Key": "steel-1",
                "X-Request-Timeout": str(timeout),
            },
        )
        try:
            with urllib.request.urlopen(request, timeout=TIMEOUT) as response:
                return response.status, json.load(response)
        except urllib.error.HTTPError as error:
            return error.code, json.load(error)
        except OSError:
            return 0, {}

    def test_attempt_of_a_dead_entry_is_sealed_at_a_target_without_a_link(self):
        numbers = self.disjoint_entries()
        targets = tuple(
            TargetSpec(
                f"purchasing-{number}",
                "purchasing",
                kind="plain",
                options=("--work-time", "3"),
            )
            for number in range(2)
        )
        spec = DeploymentSpec(
            CATALOGUE,
            targets,
            entries=max(numbers),
            entry_overrides={"links_per_service": 1},
        )
        with Deployment(spec) as deployment:
            first, second = (deployment.urls[f"entry-{number}"] for number in numbers)
            caller = threading.Thread(target=self.register, args=(first, 30))
            caller.start()
            self.wait_for_run(deployment, targets)
            deployment.signal(f"entry-{numbers[0]}", signal.SIGKILL)
            caller.join(TIMEOUT)
            status, problem = self.register(second, 10)
            self.assertEqual(problem["verdict"], "may_have_run", problem)
            self.assertGreaterEqual(status, 400)
            runs = sum(len(self.runs(deployment, target)) for target in targets)
            self.assertEqual(runs, 1)

    def disjoint_entries(self):
        """Return the numbers of two entries that link to different targets."""
        hosts = make_hosts(2, "purchasing")
        catalogue = make_catalogue("purchasing")
        linked = {
            number: set(choose_hosts(f"entry-{number}", hosts, catalogue, 1))
            for number in range(1, 9)
        }
        other = next(number for number in linked if linked[number] != linked[1])
        return 1, other

    def wait_for_run(self, deployment, targets):
        event = threading.Event()
        for _ in range(TIMEOUT * 20):
            if any(self.started(deployment, target) for target in targets):
                return
            event.wait(0.05)
        self.fail("the registration never started")

    def started(self, deployment, target):
        url = f"{deployment.urls[f'agent-{target.name}']}/metrics"
        with urllib.request.urlopen(url, timeout=TIMEOUT) as response:
            return b'outcome="run"' in response.read()

    def runs(self, deployment, target):
        return get_json(f"{deployment.urls[target.name]}/service/runs")
