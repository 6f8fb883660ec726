import ast
import unittest
from pathlib import Path

import lentilhaven

ROOT = Path(lentilhaven.__file__).parent
REFERENCE_PAGE = ROOT.parent / "docs" / "operators" / "logs.md"

#: Subpackages whose log lines a gateway writes.
LOGGING_PACKAGES = ("fleet", "gateway", "leases", "peering", "placement", "upstream")

LEVELS = {"debug", "info", "warning", "error"}


def logged_events(path):
    """Yield the event texts of a module's log calls."""
    for node in ast.walk(ast.parse(path.read_text())):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        owner = node.func.value
        if not isinstance(owner, ast.Name) or owner.id != "log":
            continue
        if node.func.attr in LEVELS and isinstance(node.args[0], ast.Constant):
            yield node.args[0].value


class LogReferenceTests(unittest.TestCase):
    def test_each_event_of_a_gateway_stands_in_the_page(self):
        text = REFERENCE_PAGE.read_text()
        for name in LOGGING_PACKAGES:
            for path in (ROOT / name).glob("*.py"):
                for event in logged_events(path):
                    with self.subTest(path=path.name, event=event):
                        self.assertIn(event, text)
