import json
import pathlib
import tempfile
import unittest

from chicorycove.exceptions import SettingsError
from chicorycove.settings import Role, load

ENTRY = {
    "role": "entry",
    "name": "entry-1",
    "platform": {"store": "127.0.0.1:2379", "hosts": "127.0.0.1:2380"},
    "entry": {"listen": "127.0.0.1:8080"},
}

# Changes to the settings above, and the text that the error must contain.
INVALID_CHANGES = [
    ({"entri": {}}, 'key "entri" is not known'),
    ({"role": "entri"}, 'key "role": expected one of entry, agent, local'),
    ({"name": 7}, 'key "name": Expected `str`, got `int`'),
    ({"entry": None}, 'key "entry" is missing'),
    ({"platform": None}, 'key "platform" is missing'),
    (
        {"entry": {"listen": "localhost:1"}},
        'key "entry.listen": expected an IP address',
    ),
    ({"entry": {"listen": "127.0.0.1:99999"}}, 'key "entry.listen"'),
    ({"entry": {"listen": "127.0.0.1"}}, 'key "entry.listen"'),
    ({"entry": {"listen": "127.0.0.1:1", "lisen": 1}}, 'key "entry.lisen"'),
    ({"entry": {"listen": "127.0.0.1:1", "max_body": -1}}, 'key "max_body"'),
    ({"log": {"level": "loud"}}, 'key "log.level": expected one of debug'),
]


class LoadTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "settings.json"

    def load(self, text, role=None):
        self.path.write_text(text)
        return load(self.path, role)

    def test_comments_are_allowed(self):
        settings = self.load("// An entry.\n" + json.dumps(ENTRY))
        self.assertEqual(settings.role, Role.ENTRY)
        self.assertEqual(settings.entry.listen.port, 8080)

    def test_requested_role_overrides_the_file_and_needs_its_section(self):
        with self.assertRaisesRegex(SettingsError, 'the role is "agent"'):
            self.load(json.dumps(ENTRY), "agent")

    def test_errors_name_file_key_and_expected_value(self):
        for change, message in INVALID_CHANGES:
            with self.subTest(change=change):
                with self.assertRaises(SettingsError) as context:
                    self.load(json.dumps(ENTRY | change))
                self.assertIn(message, str(context.exception))
                self.assertIn(str(self.path), str(context.exception))
                self.assertNotIn("\n", str(context.exception))

    def test_text_that_is_not_a_json_object_is_refused(self):
        for text in ("", "{", "[]", "{'a': 1}"):
            with self.subTest(text=text):
                with self.assertRaises(SettingsError):
                    self.load(text)

    def test_missing_file(self):
        with self.assertRaisesRegex(SettingsError, "No such file"):
            load(pathlib.Path("/nonexistent/settings.json"))


class ExampleTest(unittest.TestCase):
    def test_examples_are_valid(self):
        for path in pathlib.Path("examples").rglob("*settings*.json"):
            with self.subTest(path=path):
                load(path)
