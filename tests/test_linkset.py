import dataclasses
import logging
import unittest
from unittest import mock

from chicorycove.board import EntryBoard
from chicorycove.catalogue import Catalogue, Service, ServiceKind
from chicorycove.conversion import Address
from chicorycove.host import Host
from chicorycove.identity import AttemptId
from chicorycove.linkset import LinkOwner, LinkSet
from chicorycove.settings import EntrySettings
from chicorycove.utils import Tasks


class FakeLink:
    """Records whether it was closed."""

    opened = []

    def __init__(self, address, owner, heartbeat, receiver):
        self.address = address
        self.closed = False
        self.opened.append(self)

    async def close(self):
        self.closed = True


class FakeClock:
    def now(self):
        return 0.0


def make_host(number, port=1):
    return Host(
        name=f"target-{number}",
        agent=f"127.0.0.1:{port}",
        region="r",
        failure_domain="a",
        labels={"service": "advisor"},
    )


class LinkSetTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        FakeLink.opened.clear()
        patch = mock.patch("chicorycove.linkset.Link", FakeLink)
        patch.start()
        self.addCleanup(patch.stop)
        service = Service(
            name="advisor",
            owner="o",
            kind=ServiceKind.ENGINE,
            selector={"service": "advisor"},
        )
        self.board = EntryBoard(catalogue=Catalogue.build([service], 1))
        self.tasks = Tasks(logging.getLogger("test"))
        self.links = LinkSet(
            LinkOwner("entry-1", "entry-1.0"),
            EntrySettings(listen=Address("127.0.0.1:0")),
            self.board,
            FakeClock(),
            None,
            self.tasks,
        )

    async def test_target_with_work_is_drained_before_it_is_removed(self):
        self.links.set_hosts((make_host(1), make_host(2)))
        target = self.board.targets["target-1"]
        target.outstanding[AttemptId("r", 1, "n")] = 1
        self.links.set_hosts((make_host(2),))
        self.assertTrue(target.leaving)
        self.assertIn("target-1", self.board.targets)
        target.outstanding.clear()
        self.links.set_hosts((make_host(2),))
        self.assertNotIn("target-1", self.board.targets)

    async def test_agent_at_another_address_gets_a_new_link(self):
        self.links.set_hosts((make_host(1),))
        self.links.set_hosts((make_host(1, port=2),))
        await self.tasks.cancel()
        self.assertEqual([link.address for link in FakeLink.opened][-1], "127.0.0.1:2")
        self.assertEqual(len(FakeLink.opened), 2)

    async def test_unchanged_list_opens_no_link(self):
        self.links.set_hosts((make_host(1),))
        self.links.set_hosts((dataclasses.replace(make_host(1)),))
        self.assertEqual(len(FakeLink.opened), 1)
