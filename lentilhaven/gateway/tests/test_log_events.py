import ast
import unittest
from pathlib import Path

import lentilhaven

ROOT = Path(lentilhaven.__file__).parent
PAGE = ROOT.parent / "docs" / "operators" / "logs.md"

#: Subpackages whose lines a gateway writes.
WRITERS = ("fleet", "gateway", "leases", "peering", "placement", "upstream")

LEVELS = {"debug", "info", "warning", "error"}


def events_of(path):
    """Return the events that a module logs."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        owner = node.func.value
        if not isinstance(owner, ast.Name) or owner.id != "log":
            continue
        if node.func.attr in LEVELS and isinstance(node.args[0], ast.Constant):
            yield node.args[0].value


class PageTests(unittest.TestCase):
    def test_each_event_of_a_gateway_stands_in_the_page(self):
        text = PAGE.read_text()
        for name in WRITERS:
            for path in (ROOT / name).glob("*.py"):
                for event in events_of(path):
                    with self.subTest(path=path.name, event=event):
                        self.assertIn(event, text)
