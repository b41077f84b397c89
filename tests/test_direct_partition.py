"""The cells that a large fleet is partitioned into."""

import unittest

from chicorycove.direct.board import DirectBoard, TargetListing, TargetView
from chicorycove.direct.partition import FleetPartition

MAX_TARGETS = 96  # targets of a service


class FleetTestCase(unittest.TestCase):
    def build_partitions(self, entries, targets):
        """Return the partition of each entry, by its name."""
        self.board = board = DirectBoard()
        board.entry_names = frozenset(
            f"front-{number:03}.ab" for number in range(entries)
        )
        for number in range(targets):
            listing = TargetListing(
                f"i-{number * 7919 % 9973:05}", "model", "a", "d", 8
            )
            board.targets[listing.id] = TargetView(listing)
        return {
            name: FleetPartition(board, MAX_TARGETS, name) for name in board.entry_names
        }


class SmallFleetTest(FleetTestCase):
    def test_all_entries_share_all_targets(self):
        for entries, targets in ((1, 18), (5, 18), (22, 60), (31, 96)):
            with self.subTest(entries=entries, targets=targets):
                partitions = self.build_partitions(entries, targets)
                for partition in partitions.values():
                    self.assertEqual(len(partition.targets("model")), targets)
                    self.assertEqual(partition.peer_names(), frozenset(partitions))


class LargeFleetTest(FleetTestCase):
    sizes = ((100, 200), (300, 3_000), (670, 7_400))

    def test_each_target_is_in_an_entrys_cell(self):
        for entries, targets in self.sizes:
            with self.subTest(entries=entries, targets=targets):
                covered = set()
                for partition in self.build_partitions(entries, targets).values():
                    views = partition.targets("model")
                    self.assertLessEqual(len(views), MAX_TARGETS + 1)
                    covered.update(view.listing.id for view in views)
                self.assertEqual(len(covered), targets)

    def test_peers_are_exactly_the_entries_that_share_targets(self):
        partitions = self.build_partitions(100, 200)
        shared = {
            name: frozenset(view.listing.id for view in partition.targets("model"))
            for name, partition in partitions.items()
        }
        for name, partition in partitions.items():
            peers = {other for other in partitions if shared[other] == shared[name]}
            self.assertEqual(partition.peer_names(), peers)
            others = [shared[other] for other in partitions if other not in peers]
            self.assertTrue(all(not targets & shared[name] for targets in others))

    def test_number_of_peers_does_not_grow_with_the_fleet(self):
        max_peers = {}
        for entries, targets in ((60, 600), (670, 7_400)):
            partitions = self.build_partitions(entries, targets)
            max_peers[entries] = max(
                len(partition.peer_names()) for partition in partitions.values()
            )
        self.assertLessEqual(max_peers[670], max_peers[60] + 1)

    def test_few_entries_cover_all_targets(self):
        partitions = self.build_partitions(2, 1_000)
        covered = {
            view.listing.id
            for partition in partitions.values()
            for view in partition.targets("model")
        }
        self.assertEqual(len(covered), 1_000)

    def test_entry_that_is_not_known_yet_has_a_cell(self):
        self.build_partitions(100, 200)
        partition = FleetPartition(self.board, MAX_TARGETS, "front-999.zz")
        self.assertTrue(partition.targets("model"))
        self.assertTrue(partition.peer_names())


if __name__ == "__main__":
    unittest.main()
