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

# What is changed in the settings above, and what the error must say.
FAULTS = [
    ({"entri": {}}, 'key "entri" is not known'),
    ({"role": "entri"}, 'key "role": expected one of entry, agent, local'),
    ({"name": 7}, 'key "name": Expected `str`, got `int`'),
    ({"entry": None}, 'key "entry" is missing'),
    ({"platform": None}, 'key "platform" is missing'),
    ({"entry": {"listen": "localhost:1"}}, 'key "entry.listen": expected an IP number'),
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

    def test_role_of_the_command_line_goes_first(self):
        with self.assertRaisesRegex(SettingsError, 'the role is "agent"'):
            self.load(json.dumps(ENTRY), "agent")

    def test_faults_name_file_key_and_what_was_expected(self):
        for change, message in FAULTS:
            with self.subTest(change=change):
                with self.assertRaises(SettingsError) as caught:
                    self.load(json.dumps(ENTRY | change))
                self.assertIn(message, str(caught.exception))
                self.assertIn(str(self.path), str(caught.exception))
                self.assertNotIn("\n", str(caught.exception))

    def test_not_json(self):
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
