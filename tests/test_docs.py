"""Test that links and file names on pages exist, and the index is complete."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).parent.parent
DOCS = ROOT / "docs"
FOLDERS = ("docs", "examples")
LINK = re.compile(r"\]\(([^)#\s]+)(?:#[^)]*)?\)")
CODE = re.compile(r"`((?:tests|bench|standin|examples|src|docs)/[\w./-]+)`")
MODULE = re.compile(r"`(\w+\.py)`")


def find_pages():
    """Return all pages."""
    paths = list(ROOT.glob("*.md"))
    for folder in FOLDERS:
        paths.extend((ROOT / folder).rglob("*.md"))
    return sorted(paths)


class LinkTest(unittest.TestCase):
    def test_linked_files_exist(self):
        for page in find_pages():
            for link in LINK.findall(page.read_text()):
                if "://" not in link:
                    with self.subTest(page=page.name, link=link):
                        self.assertTrue((page.parent / link).exists())

    def test_named_files_exist(self):
        for page in find_pages():
            for name in CODE.findall(page.read_text()):
                with self.subTest(page=page.name, name=name):
                    self.assertTrue((ROOT / name).exists())

    def test_modules_named_in_the_promises_exist(self):
        source = ROOT / "src" / "chicorycove"
        for name in MODULE.findall((DOCS / "promises.md").read_text()):
            with self.subTest(name=name):
                self.assertTrue((source / name).exists())


class IndexTest(unittest.TestCase):
    def test_every_page_or_its_folder_is_in_the_index(self):
        index = DOCS / "README.md"
        linked = {(DOCS / link).resolve() for link in LINK.findall(index.read_text())}
        missing_pages = [
            str(page.relative_to(DOCS))
            for page in sorted(DOCS.rglob("*.md"))
            if page != index and linked.isdisjoint({page.resolve(), page.parent})
        ]
        self.assertEqual(missing_pages, [])
