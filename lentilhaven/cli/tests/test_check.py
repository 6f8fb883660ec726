import copy
import json
import tempfile
import unittest
from pathlib import Path

from lentilhaven.cli.tests.broken_tables import BROKEN
from lentilhaven.cli.tests.operated_testbed import run_client
from lentilhaven.core.hashing import token_hash
from lentilhaven.core.json_text import load_json

LOOPBACK = Path(__file__).parents[3] / "examples" / "loopback" / "tables.json"


def read_valid():
    """Return the tables of the loopback example, with a hash filled in."""
    text = LOOPBACK.read_text(encoding="utf-8")
    return load_json(text.replace("HASH", token_hash("a token of the tests")))


def change(document, place, value):
    """Return a copy of a document with one value replaced."""
    changed = copy.deepcopy(document)
    target = changed
    for key in place[:-1]:
        target = target[key]
    target[place[-1]] = value
    return changed


class CheckTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "tables.json"

    def check(self, text):
        self.path.write_text(text, encoding="utf-8")
        return run_client(["check", str(self.path)])

    def test_the_valid_tables_pass(self):
        self.assertEqual(self.check(json.dumps(read_valid()))[0], 0)

    def test_each_broken_one_gets_one_clear_line(self):
        self.assertGreaterEqual(len(BROKEN), 30)
        for place, value, expected in BROKEN:
            with self.subTest(place=place, value=value):
                text = json.dumps(change(read_valid(), place, value))
                code, _, errors = self.check(text)
                self.assertEqual(code, 2, errors)
                self.assertIn(expected, errors)
                self.assertIn("tables.json", errors)
                self.assertEqual(len(errors.splitlines()), 1, errors)
                self.assertNotIn("Traceback", errors)
                # What is quoted may be a token.
                self.assertNotIn("plain-token", errors)

    def test_broken_text_gets_one_clear_line(self):
        for text in ("", "{", "[" * 100_000, '{"routes": [], "routes": []}', "\x00"):
            with self.subTest(text[:20]):
                code, _, errors = self.check(text)
                self.assertEqual((code, len(errors.splitlines())), (2, 1), errors)

    def test_all_errors_come_at_once(self):
        document = change(read_valid(), ("routes", 0, "deadline"), -1)
        document = change(document, ("pools", 0, "layer_count"), 0)
        errors = self.check(json.dumps(document))[2]
        self.assertIn("$.routes[0].deadline", errors)
        self.assertIn("$.pools[0].layer_count", errors)
