import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[3]


class DocumentTests(unittest.TestCase):
    def test_every_page_of_operators_and_measurements_is_listed(self):
        docs = ROOT / "docs"
        index = (docs / "README.md").read_text() + (
            docs / "measurements.md"
        ).read_text()
        for folder in ("operators", "measurements"):
            for page in (docs / folder).glob("*.md"):
                self.assertIn(f"{folder}/{page.name}", index)

    def test_every_link_leads_to_a_file(self):
        pages = [*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")]
        self.assertGreater(len(pages), 20)
        for page in pages:
            for target in re.findall(r"\]\(([^)#]+)(?:#[^)]*)?\)", page.read_text()):
                if "://" not in target:
                    with self.subTest(page=page.name, target=target):
                        self.assertTrue((page.parent / target).exists())
