import copy
import json
import tempfile
import unittest
from pathlib import Path

from lentilhaven.cli.tests.invalid_tables import INVALID_TABLES
from lentilhaven.cli.tests.operator_testbed import run_client
from lentilhaven.core.hashing import token_hash
from lentilhaven.core.json_text import load_json

LOOPBACK_TABLES = Path(__file__).parents[3] / "examples" / "loopback" / "tables.json"


def read_valid_tables():
    """Return the tables of the loopback example with a valid token hash."""
    text = LOOPBACK_TABLES.read_text(encoding="utf-8")
    return load_json(text.replace("HASH", token_hash("a token of the tests")))


def replace_value(document, path, value):
    """Return a copy of a document with one value replaced."""
    changed = copy.deepcopy(document)
    target = changed
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = value
    return changed


class CheckTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "tables.json"

    def run_check(self, text):
        """Run the command on a file with a text."""
        self.path.write_text(text, encoding="utf-8")
        return run_client(["check", str(self.path)])

    def test_valid_tables_are_accepted(self):
        self.assertEqual(self.run_check(json.dumps(read_valid_tables()))[0], 0)

    def test_invalid_tables_give_a_one_line_error(self):
        self.assertGreaterEqual(len(INVALID_TABLES), 30)
        for path, value, expected in INVALID_TABLES:
            with self.subTest(path=path, value=value):
                text = json.dumps(replace_value(read_valid_tables(), path, value))
                code, _, errors = self.run_check(text)
                self.assertEqual(code, 2, errors)
                self.assertIn(expected, errors)
                self.assertIn("tables.json", errors)
                self.assertEqual(len(errors.splitlines()), 1, errors)
                self.assertNotIn("Traceback", errors)
                # A value given as a token hash may be a token: it is never printed.
                self.assertNotIn("plain-token", errors)

    def test_invalid_json_gives_a_one_line_error(self):
        for text in ("", "{", "[" * 100_000, '{"routes": [], "routes": []}', "\x00"):
            with self.subTest(text[:20]):
                code, _, errors = self.run_check(text)
                self.assertEqual((code, len(errors.splitlines())), (2, 1), errors)

    def test_all_errors_are_reported_at_once(self):
        document = replace_value(read_valid_tables(), ("routes", 0, "deadline"), -1)
        document = replace_value(document, ("pools", 0, "layer_count"), 0)
        errors = self.run_check(json.dumps(document))[2]
        self.assertIn("$.routes[0].deadline", errors)
        self.assertIn("$.pools[0].layer_count", errors)
