import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[3]

#: A link of Markdown to a file.
LINK = re.compile(r"\]\(([^)#:]+)\)")


class DocumentTests(unittest.TestCase):
    def test_links_between_pages_lead_somewhere(self):
        pages = [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")]
        for page in pages:
            for target in LINK.findall(page.read_text(encoding="utf-8")):
                with self.subTest(page=page.name, target=target):
                    self.assertTrue((page.parent / target).exists())

    def test_every_page_of_operators_and_measurements_is_listed(self):
        docs = ROOT / "docs"
        index = (docs / "README.md").read_text() + (
            docs / "measurements.md"
        ).read_text()
        for folder in ("operators", "measurements"):
            for page in (docs / folder).glob("*.md"):
                self.assertIn(f"{folder}/{page.name}", index)
