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
