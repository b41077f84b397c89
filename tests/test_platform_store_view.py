"""What an entry holds of the store, and which of it is news to others."""

import base64
import json
import unittest

from chicorycove.direct.event import TargetListed, TargetUnlisted
from chicorycove.platform.changes import decode_changes, encode_changes
from chicorycove.platform.store import Item
from chicorycove.platform.store_view import CONFIG_KEY, SERVERS_PREFIX, StoreView

from .platform_case import config, route

ALL = ("",)


class NullLog:
    def write(self, event, **fields):
        pass


def server(id, revision, port=80):
    entry = {
        "service": "shop",
        "address": f"127.0.0.1:{port}",
        "zone": "here",
        "slots": 8,
        "state": "ready",
        "born": 1,
    }
    return make_item(SERVERS_PREFIX + id, revision, entry)


def make_item(key, revision, document):
    value = base64.b64encode(json.dumps(document).encode()).decode()
    return Item(key, revision, value)


class StoreViewTestCase(unittest.TestCase):
    def setUp(self):
        self.events = []
        self.view = StoreView(NullLog(), self.events.append, lambda entries: None, {})

    def list(self, items, number):
        """Apply a complete list, and return the keys of what was news."""
        self.view.apply(items)
        self.view.remove_missing(ALL, {item.key for item in items}, number)
        return self.record(number)

    def record(self, number):
        return [
            (item.key.removeprefix(SERVERS_PREFIX), item.revision)
            for item in self.view.record_revision(number).items
        ]


class ListTest(StoreViewTestCase):
    """A list that follows another one says what has changed since."""

    def setUp(self):
        super().setUp()
        self.list([server("a", 3), server("b", 5)], 6)

    def test_list_without_changes_is_no_news(self):
        self.assertEqual(self.list([server("a", 3), server("b", 5)], 9), [])

    def test_changed_added_and_removed_keys_are_news(self):
        news = self.list([server("b", 8, 81), server("c", 7)], 9)
        self.assertEqual(sorted(news), [("a", 9), ("b", 8), ("c", 7)])
        self.assertIn(TargetUnlisted("a"), self.events)

    def test_change_that_a_watch_missed_is_news(self):
        self.record(9)
        self.assertEqual(
            self.list([server("a", 3), server("b", 7, 81)], 10), [("b", 7)]
        )

    def test_unchanged_keys_are_listed_again(self):
        self.events.clear()
        self.list([server("a", 3), server("b", 5)], 9)
        listed = [event.listing.id for event in self.events]
        self.assertEqual(listed, ["a", "b"])

    def test_keys_under_other_prefixes_are_kept(self):
        self.view.remove_missing(("op/evacuate/",), set(), 9)
        self.assertEqual(self.record(9), [])

    def test_list_that_failed_after_its_first_page_is_news_later(self):
        self.view.apply([server("a", 8, 81)])
        self.view.drop_superseded_news()
        news = self.list([server("a", 8, 81), server("b", 5)], 9)
        self.assertEqual(news, [("a", 8)])

    def test_list_of_a_later_era_removes_what_the_copy_lacks(self):
        self.view.enter_era()
        self.list([server("a", 3)], 4)
        self.assertIn(TargetUnlisted("b"), self.events)


class AheadTest(StoreViewTestCase):
    """Items may be applied before all changes up to their revision."""

    def setUp(self):
        super().setUp()
        self.list([server("a", 3)], 5)

    def test_item_is_news_with_its_own_revision(self):
        self.view.apply([server("a", 9, 81), server("b", 6)])
        self.assertEqual(self.record(7), [("b", 6)])
        self.assertEqual(self.record(9), [("a", 9)])

    def test_item_is_applied_once(self):
        self.view.apply([server("a", 9, 81)])
        self.record(7)
        self.events.clear()
        self.view.apply([server("a", 8, 82), server("a", 9, 81)])
        self.assertEqual(self.events, [])
        self.view.apply([server("a", 10, 83)])
        (event,) = self.events
        self.assertIsInstance(event, TargetListed)

    def test_only_the_newest_news_of_a_key_are_kept(self):
        self.view.apply([server("a", 6), server("b", 7), server("a", 8)])
        self.view.drop_superseded_news()
        self.assertEqual(sorted(self.record(8)), [("a", 8), ("b", 7)])


class ConfigTest(StoreViewTestCase):
    def config(self, version):
        routes = [route(f"route-{number}") for number in range(100 + version)]
        return make_item(CONFIG_KEY, version, config(version, routes))

    def test_news_are_patches_of_the_configuration_held_before(self):
        self.list([self.config(3)], 4)
        held = self.view.config
        self.view.apply([self.config(6), self.config(8)])
        changes = self.view.record_revision(8)
        self.assertEqual(changes.base, held)
        data = encode_changes(changes.items, changes.base)
        self.assertLess(len(data), 500)
        self.assertEqual(decode_changes(data, held), changes.items)

    def test_configuration_applied_ahead_is_a_patch_of_the_one_before(self):
        self.list([self.config(3)], 4)
        held = self.view.config
        self.view.apply([self.config(8)])
        self.assertEqual(self.view.record_revision(6).items, ())
        changes = self.view.record_revision(8)
        self.assertEqual(changes.base, held)
        self.assertEqual([item.revision for item in changes.items], [8])

    def test_configuration_that_a_list_repeats_is_no_news(self):
        self.list([self.config(3)], 4)
        self.assertEqual(self.list([self.config(3)], 9), [])


if __name__ == "__main__":
    unittest.main()
