"""Cells of a large fleet."""

import unittest

from chicorycove.direct.board import DirectBoard, TargetListing, TargetView
from chicorycove.direct.partition import FleetPartition

MOST = 96  # targets of a service


class FleetTestCase(unittest.TestCase):
    def fleet(self, entries, targets):
        """Return the neighbourhood of each entry, by its name."""
        self.board = board = DirectBoard()
        board.entry_names = frozenset(
            f"front-{number:03}.ab" for number in range(entries)
        )
        for number in range(targets):
            listing = TargetListing(
                f"i-{number * 7919 % 9973:05}", "model", "a", "d", 8
            )
            board.targets[listing.id] = TargetView(listing)
        return {name: FleetPartition(board, MOST, name) for name in board.entry_names}


class SmallFleetTest(FleetTestCase):
    def test_all_entries_share_all_targets(self):
        for entries, targets in ((1, 18), (5, 18), (22, 60), (31, 96)):
            with self.subTest(entries=entries, targets=targets):
                fleet = self.fleet(entries, targets)
                for near in fleet.values():
                    self.assertEqual(len(near.targets("model")), targets)
                    self.assertEqual(near.peer_names(), frozenset(fleet))


class LargeFleetTest(FleetTestCase):
    sizes = ((100, 200), (300, 3_000), (670, 7_400))

    def test_each_target_is_some_entrys(self):
        for entries, targets in self.sizes:
            with self.subTest(entries=entries, targets=targets):
                seen = set()
                for near in self.fleet(entries, targets).values():
                    views = near.targets("model")
                    self.assertLessEqual(len(views), MOST + 1)
                    seen.update(view.listing.id for view in views)
                self.assertEqual(len(seen), targets)

    def test_those_who_share_targets_are_peers_and_no_others(self):
        fleet = self.fleet(100, 200)
        shared = {
            name: frozenset(view.listing.id for view in near.targets("model"))
            for name, near in fleet.items()
        }
        for name, near in fleet.items():
            same = {other for other in fleet if shared[other] == shared[name]}
            self.assertEqual(near.peer_names(), same)
            others = [shared[other] for other in fleet if other not in same]
            self.assertTrue(all(not targets & shared[name] for targets in others))

    def test_peers_do_not_grow_with_the_fleet(self):
        most = {}
        for entries, targets in ((60, 600), (670, 7_400)):
            fleet = self.fleet(entries, targets)
            most[entries] = max(len(near.peer_names()) for near in fleet.values())
        self.assertLessEqual(most[670], most[60] + 1)

    def test_few_entries_leave_no_target_alone(self):
        fleet = self.fleet(2, 1_000)
        seen = {
            view.listing.id for near in fleet.values() for view in near.targets("model")
        }
        self.assertEqual(len(seen), 1_000)

    def test_entry_that_others_do_not_know_yet_has_a_cell(self):
        self.fleet(100, 200)
        stranger = FleetPartition(self.board, MOST, "front-999.zz")
        self.assertTrue(stranger.targets("model"))
        self.assertTrue(stranger.peer_names())


if __name__ == "__main__":
    unittest.main()
