"""The pages: what they link to and name exists, and the index is whole."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).parent.parent
DOCS = ROOT / "docs"
FOLDERS = ("docs", "examples")
LINK = re.compile(r"\]\(([^)#\s]+)(?:#[^)]*)?\)")
CODE = re.compile(r"`((?:tests|bench|standin|examples|src|docs)/[\w./-]+)`")
MODULE = re.compile(r"`(\w+\.py)`")


def pages():
    """Return all pages."""
    found = list(ROOT.glob("*.md"))
    for folder in FOLDERS:
        found.extend((ROOT / folder).rglob("*.md"))
    return sorted(found)


class LinkTest(unittest.TestCase):
    def test_links_lead_to_files(self):
        for page in pages():
            for link in LINK.findall(page.read_text()):
                if "://" not in link:
                    with self.subTest(page=page.name, link=link):
                        self.assertTrue((page.parent / link).exists())

    def test_named_files_exist(self):
        for page in pages():
            for name in CODE.findall(page.read_text()):
                with self.subTest(page=page.name, name=name):
                    self.assertTrue((ROOT / name).exists())

    def test_modules_of_the_promises_exist(self):
        source = ROOT / "src" / "chicorycove"
        for name in MODULE.findall((DOCS / "promises.md").read_text()):
            with self.subTest(name=name):
                self.assertTrue((source / name).exists())


class IndexTest(unittest.TestCase):
    def test_every_page_or_its_folder_is_in_the_index(self):
        index = DOCS / "README.md"
        linked = {(DOCS / link).resolve() for link in LINK.findall(index.read_text())}
        lacking = [
            str(page.relative_to(DOCS))
            for page in sorted(DOCS.rglob("*.md"))
            if page != index and linked.isdisjoint({page.resolve(), page.parent})
        ]
        self.assertEqual(lacking, [])
