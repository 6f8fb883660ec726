import unittest
from pathlib import Path

from lentilhaven.settings_reference import render_reference

PAGE = Path(__file__).parents[3] / "docs" / "settings.md"


class SettingsReferenceTests(unittest.TestCase):
    def test_the_page_is_up_to_date(self):
        self.assertEqual(PAGE.read_text(encoding="utf-8"), render_reference())
