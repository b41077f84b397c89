"""Tests of the JSON form of the catalogue and of its JSON Schema."""

import pathlib
import unittest

import jsonc
import jsonschema
from hypothesis import given, strategies as st

from chicorycove import schema
from chicorycove.catalogue import (
    KINDS,
    Catalogue,
    EntryId,
    Limits,
    PathRule,
    PriorityClass,
    Service,
    ServiceKind,
    Workspace,
    key_digest,
)
from chicorycove.exceptions import CatalogueError

EXAMPLE = pathlib.Path(__file__).parent.parent / "examples" / "local"


class ParseTest(unittest.TestCase):
    def assert_refused(self, text, message):
        with self.assertRaises(CatalogueError) as caught:
            schema.parse(text)
        self.assertIn(message, str(caught.exception))

    def test_example(self):
        catalogue = schema.parse((EXAMPLE / "catalogue.json").read_text(), 1)
        self.assertEqual(catalogue.revision, 1)
        toolroom = catalogue.workspaces["toolroom"]
        self.assertEqual(toolroom.key_digests, (key_digest("toolroom-key"),))
        self.assertEqual(catalogue.services["purchasing"].kind, ServiceKind.PLAIN)
        self.assertEqual(catalogue.operators["board-secretary"].grants, ("*/*",))

    def test_refusals_name_entry_and_key(self):
        cases = {
            "{": "not JSON with comments",
            "[]": 'expected an object with the key "entries"',
            '{"entries": [], "x": 1}': 'unknown key "x"',
            '{"entries": {}}': "expected an array",
            '{"entries": [1]}': "entry 1: expected an object",
            '{"entries": [{"kind": "zone"}]}': "kind 'zone' is not one of",
            '{"entries": [{"kind": "target", "name": "a"}]}': (
                'target "a": Object missing'
            ),
            '{"entries": [{"kind": "target", "name": "a", "owner": "o", '
            '"drain": 1}]}': 'target "a": unknown key "drain"',
            '{"entries": [{"kind": "target", "name": "a", "owner": "o", '
            '"drained": 1}]}': 'target "a": Expected `bool`',
            '{"entries": [{"kind": "workspace", "name": "w", "owner": "o", '
            '"class": "c", "limits": {"requests": 1}}]}': (
                'workspace "w", limits: unknown key "requests"'
            ),
            '{"entries": [{"kind": "workspace", "name": "w", "owner": "o"}]}': (
                'workspace "w": Object missing required field `class`'
            ),
            '{"entries": [{"kind": "service", "name": "s", "owner": "o", '
            '"type": 1}]}': "Expected `str`, got `int` - at `$.type`",
            '{"entries": [{"kind": "workspace", "name": "w", "owner": "o", '
            '"class": "c"}]}': 'workspace "w" names class "c", which does not exist',
            '{"entries": [{"kind": "target", "name": "a", "owner": "o"}, '
            '{"kind": "target", "name": "a", "owner": "o"}]}': (
                'target "a" is given twice'
            ),
        }
        for text, message in cases.items():
            with self.subTest(text=text):
                self.assert_refused(text, message)

    def test_every_kind_of_entry_is_read_back(self):
        names = st.text("abc", min_size=1)
        for kind, cls in KINDS.items():
            entries = st.builds(cls, name=names, owner=names)

            @given(entries)
            def read_back(entry):
                self.assertEqual(schema.parse_entry(schema.dump_entry(entry)), entry)

            with self.subTest(kind=kind):
                read_back()


class DumpTest(unittest.TestCase):
    def test_defaults_are_left_out(self):
        entry = PriorityClass(name="c", owner="o", priority=1, deadline=2.0)
        self.assertEqual(
            schema.dump_entry(entry),
            {
                "kind": "class",
                "name": "c",
                "owner": "o",
                "priority": 1,
                "deadline": 2.0,
            },
        )

    def test_nested_names(self):
        rule = PathRule(prefix="/a", priority_class="c")
        entry = Service(name="s", owner="o", kind=ServiceKind.PLAIN, paths=(rule,))
        data = schema.dump_entry(entry)
        self.assertEqual(data["type"], "plain")
        self.assertEqual(data["paths"], [{"prefix": "/a", "class": "c"}])


class JsonSchemaTest(unittest.TestCase):
    def setUp(self):
        self.validator = jsonschema.Draft202012Validator(schema.json_schema())

    def test_example_is_valid(self):
        self.validator.validate(jsonc.loads((EXAMPLE / "catalogue.json").read_text()))

    def test_unknown_key_is_not_valid(self):
        entry = {"kind": "target", "name": "a", "owner": "o", "drain": True}
        self.assertFalse(self.validator.is_valid({"entries": [entry]}))

    def test_dump_is_valid(self):
        entry = Workspace(
            name="w", owner="o", priority_class="c", limits=Limits(memory_tokens=1)
        )
        self.validator.validate(schema.dump(Catalogue.build([entry], 3)))

    def test_published_file_is_current(self):
        published = EXAMPLE.parent.parent / "docs" / "catalogue.schema.json"
        self.assertEqual(jsonc.loads(published.read_text()), schema.json_schema())


class CatalogueTest(unittest.TestCase):
    def test_with_edits_leaves_the_original_unchanged(self):
        first = Catalogue.build(
            [PriorityClass(name="c", owner="o", priority=1, deadline=2.0)], 1
        )
        second = first.with_edits({EntryId("class", "c"): None}, 2)
        self.assertEqual(len(first.classes), 1)
        self.assertEqual(second, Catalogue(revision=2))
