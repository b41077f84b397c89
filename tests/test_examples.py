"""Test the settings and catalogues of the two example deployments."""

import asyncio
import contextlib
import dataclasses
import io
import pathlib
import unittest

import aiosonic

from chicorycove import daemon, schema
from chicorycove.catalogue import Catalogue, ServiceKind
from chicorycove.conversion import Address
from chicorycove.local import LocalProcess
from chicorycove.settings import LocalSettings, LocalTarget, Role, Settings, load
from chicorycove.validation import validate

EXAMPLES = pathlib.Path("examples")
TIMEOUT = 60.0  # seconds; far above the time of any step


@dataclasses.dataclass(frozen=True)
class Deployment:
    """The names that the brief specifies for a deployment."""

    folder: str
    region: str
    domains: tuple[str, ...]
    engine: str
    plain: str
    path: str  # prefix of the calls that must not be repeated
    caller: str


DEPLOYMENTS = (
    Deployment(
        folder="kyushu",
        region="kyushu",
        domains=("fukuoka", "kitakyushu", "kumamoto"),
        engine="advisor",
        plain="purchasing",
        path="/registrations",
        caller="secretariat",
    ),
    Deployment(
        folder="fjordvik",
        region="vestland",
        domains=("vestland-a", "vestland-b", "vestland-c"),
        engine="skrivemodell",
        plain="nyhetsportal",
        path="/notices",
        caller="news-desk",
    ),
)


def load_settings(deployment, role):
    """Return a deployment's settings of a role, by failure domain."""
    folder = EXAMPLES / deployment.folder
    return {
        domain: load(folder / domain / f"{role}-settings.json")
        for domain in deployment.domains
    }


def load_catalogue(deployment):
    """Return a deployment's catalogue, validated."""
    text = (EXAMPLES / deployment.folder / "catalogue.json").read_text()
    return schema.parse(text)


class SettingsTest(unittest.TestCase):
    def test_daemon_accepts_each_file(self):
        for path in sorted(EXAMPLES.rglob("*settings.json")):
            with self.subTest(path=path):
                out = io.StringIO()
                with contextlib.redirect_stdout(out):
                    code = daemon.main(["--settings", str(path), "--check"])
                self.assertEqual((code, out.getvalue()), (0, f"{path}: ok\n"))

    def test_each_failure_domain_has_an_entry_and_an_agent(self):
        for deployment in DEPLOYMENTS:
            for role in ("entry", "agent"):
                for domain, settings in load_settings(deployment, role).items():
                    with self.subTest(role=role, domain=domain):
                        self.assertEqual(settings.role, Role(role))
                        self.assertEqual(settings.region, deployment.region)
                        self.assertEqual(settings.failure_domain, domain)

    def test_names_and_addresses_are_unique(self):
        for deployment in DEPLOYMENTS:
            entries = load_settings(deployment, "entry").values()
            agents = load_settings(deployment, "agent").values()
            all_settings = [*entries, *agents]
            for values in (
                [settings.name for settings in all_settings],
                [settings.peer.listen for settings in all_settings],
                [settings.agent.listen for settings in agents],
                [settings.agent.target for settings in agents],
            ):
                with self.subTest(deployment=deployment.folder):
                    self.assertEqual(len(set(values)), len(values), values)

    def test_seeds_are_the_entries(self):
        for deployment in DEPLOYMENTS:
            entries = load_settings(deployment, "entry").values()
            agents = load_settings(deployment, "agent").values()
            entry_addresses = {settings.peer.listen for settings in entries}
            for settings in (*entries, *agents):
                with self.subTest(name=settings.name):
                    self.assertEqual(set(settings.peer.seeds), entry_addresses)

    def test_entries_seed_a_catalogue_that_exists(self):
        for deployment in DEPLOYMENTS:
            for settings in load_settings(deployment, "entry").values():
                path = pathlib.Path(settings.entry.seed_catalogue)
                self.assertEqual(path, EXAMPLES / deployment.folder / "catalogue.json")


class LocalExampleTest(unittest.TestCase):
    def test_first_change_leaves_the_catalogue_valid(self):
        folder = EXAMPLES / "local"
        entries = schema.parse_file((folder / "catalogue.json").read_text())
        change = schema.parse_file((folder / "drain.json").read_text())
        validate(Catalogue.build((*entries, *change)))
        target = load(folder / "settings.json").local.targets[0]
        self.assertEqual([entry.name for entry in change], [target.name])


class CatalogueTest(unittest.TestCase):
    def test_services(self):
        for deployment in DEPLOYMENTS:
            services = load_catalogue(deployment).services
            kinds = {name: service.kind for name, service in services.items()}
            expected = {
                deployment.engine: ServiceKind.ENGINE,
                deployment.plain: ServiceKind.PLAIN,
            }
            self.assertEqual(kinds, expected)

    def test_calls_that_must_not_be_repeated(self):
        for deployment in DEPLOYMENTS:
            service = load_catalogue(deployment).services[deployment.plain]
            rule = next(
                rule for rule in service.paths if rule.prefix == deployment.path
            )
            self.assertFalse(rule.idempotent)
            self.assertIn("POST", rule.methods)

    def test_calls_that_must_not_be_repeated_have_top_priority(self):
        for deployment in DEPLOYMENTS:
            catalogue = load_catalogue(deployment)
            first = min(catalogue.classes.values(), key=lambda item: item.priority)
            service = catalogue.services[deployment.plain]
            self.assertEqual(service.priority_class, first.name)

    def test_ten_workspaces_some_with_limits(self):
        for deployment in DEPLOYMENTS:
            workspaces = load_catalogue(deployment).workspaces.values()
            self.assertEqual(len(workspaces), 10)
            limited = [item for item in workspaces if item.limits.tokens_per_second]
            self.assertGreaterEqual(len(limited), 3)

    def test_each_workspace_has_its_own_key(self):
        for deployment in DEPLOYMENTS:
            for workspace in load_catalogue(deployment).workspaces.values():
                self.assertEqual(len(workspace.key_digests), 1)

    def test_operators_have_separate_owners(self):
        for deployment in DEPLOYMENTS:
            operators = load_catalogue(deployment).operators.values()
            owners = {operator.owner for operator in operators}
            self.assertEqual(len(owners), len(operators))


class ServeTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_call_that_must_not_be_repeated_runs(self):
        for deployment in DEPLOYMENTS:
            with self.subTest(deployment=deployment.folder):
                await self.serve(deployment)

    async def serve(self, deployment):
        process = LocalProcess(local_settings(deployment))
        await process.start()
        try:
            async with asyncio.timeout(TIMEOUT), aiosonic.HTTPClient() as client:
                url = f"http://{process.entry.listener.address}"
                while (await client.get(f"{url}/readyz")).status_code != 200:
                    await asyncio.sleep(0.02)
                response = await client.post(
                    f"{url}/services/{deployment.plain}{deployment.path}",
                    headers={
                        "Authorization": f"Bearer {deployment.caller}-key",
                        "Idempotency-Key": "one",
                    },
                    json={"text": "once"},
                )
                self.assertEqual(response.status_code, 200, await response.content())
        finally:
            await process.stop()


def local_settings(deployment):
    """Return settings that serve a deployment's catalogue on loopback."""
    target = LocalTarget(
        name=f"{deployment.plain}-1",
        service=deployment.plain,
        failure_domain=deployment.domains[0],
        kind=ServiceKind.PLAIN,
    )
    local = LocalSettings(
        listen=Address("127.0.0.1:0"),
        catalogue=str(EXAMPLES / deployment.folder / "catalogue.json"),
        targets=(target,),
    )
    return Settings(role=Role.LOCAL, name="local", local=local)
