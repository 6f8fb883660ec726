import unittest
from pathlib import Path

import lentilhaven
from lentilhaven.platform import headers

ROOT = Path(lentilhaven.__file__).parent

#: Where the platform's names may stand beside the adapter.
OUTSIDE = ("platform", "standins", "tests")

#: Names of fields that mean something else, or nothing, outside the platform.
FIELDS = (
    "cold_remaining_ms",
    "handoff_mode",
    "fencing_token",
    "listen_addrs",
    'path_prefix"',
    "target_latency_ms",
)


def wire_names():
    """Return the names that only the adapter may know."""
    # Standard or common names, which the product's own interface uses too.
    own = {"authorization", "tenant", "model", "retry-after", "last-event-id"}
    own.add("request-id")
    found = [
        value
        for name, value in vars(headers).items()
        if name.isupper() and isinstance(value, str) and value.lower() not in own
    ]
    found.remove(headers.KEY_SCHEME)
    return [*found, *FIELDS]


class BoundaryTests(unittest.TestCase):
    def test_the_platforms_names_stand_in_the_adapter_only(self):
        for path in ROOT.rglob("*.py"):
            parts = path.relative_to(ROOT).parts
            if any(part in OUTSIDE for part in parts):
                continue
            text = path.read_text().lower()
            for name in wire_names():
                with self.subTest(path="/".join(parts), name=name):
                    self.assertNotIn(name.lower(), text)
