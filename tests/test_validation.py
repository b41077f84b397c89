"""Tests of the validation of the catalogue."""

import unittest

from chicorycove.catalogue import (
    Catalogue,
    Limits,
    Model,
    Operator,
    PathRule,
    PriorityClass,
    Service,
    ServiceKind,
    Target,
    Version,
    Workspace,
    key_digest,
)
from chicorycove.validation import find_faults

CLASS = PriorityClass(name="c", owner="o", priority=1, deadline=2.0)
ENGINE = Service(name="s", owner="o", kind=ServiceKind.ENGINE)


class ValidationTest(unittest.TestCase):
    def test_valid_catalogue_has_no_faults(self):
        entries = [
            CLASS,
            ENGINE,
            Workspace(name="w", owner="o", priority_class="c"),
            Model(name="m", owner="o", service="s"),
        ]
        self.assertEqual(list(find_faults(Catalogue.build(entries))), [])

    def test_each_fault_is_named(self):
        digest = key_digest("k")
        plain = ServiceKind.PLAIN
        cases = [
            (Target(name="a b", owner="o"), "has a name other than"),
            (Target(name="a", owner=" "), 'target "a" has no owner'),
            (
                Model(name="m", owner="o", service="x"),
                'model "m" names service "x", which does not exist',
            ),
            (
                Model(name="m", owner="o", service="s", version="2"),
                'names version "2", which it does not have',
            ),
            (
                Model(
                    name="m",
                    owner="o",
                    service="s",
                    versions=(Version(name="1", weights="a"),) * 2,
                ),
                "two versions of one name",
            ),
            (
                Workspace(name="w", owner="o", priority_class="c", weight=0.0),
                "weight that is not above 0",
            ),
            (
                Workspace(
                    name="w",
                    owner="o",
                    priority_class="c",
                    limits=Limits(tokens_per_second=-1),
                ),
                "negative limit tokens_per_second",
            ),
            (
                Service(
                    name="p",
                    owner="o",
                    kind=plain,
                    paths=(PathRule(prefix="/a", priority_class="x"),),
                ),
                'service "p" names class "x", which does not exist',
            ),
            (
                Service(name="p", owner="o", kind=plain, paths=(PathRule(prefix="a"),)),
                'has a path rule "a" that does not start with /',
            ),
            (
                Operator(name="o", owner="o", grants=("zone/*",)),
                'grant "zone/*" that is not of the form',
            ),
            (
                Operator(name="o", owner="o", key_digests=("secret",)),
                "not a SHA-256 in hex",
            ),
            (
                PriorityClass(name="c2", owner="o", priority=1, deadline=0.0),
                "deadline that is not above 0 s",
            ),
        ]
        for entry, message in cases:
            with self.subTest(message=message):
                faults = list(find_faults(Catalogue.build([CLASS, ENGINE, entry])))
                self.assertEqual(len(faults), 1, faults)
                self.assertIn(message, faults[0])
        shared = [
            Workspace(name=name, owner="o", priority_class="c", key_digests=(digest,))
            for name in "ab"
        ]
        faults = list(find_faults(Catalogue.build([CLASS, *shared])))
        self.assertEqual(faults, ['workspace "b" has a key of workspace "a"'])
