import unittest
from pathlib import Path

import lentilhaven
from lentilhaven.platform import headers

ROOT = Path(lentilhaven.__file__).parent

#: Folders whose files may use the platform's names: the adapter, its fakes and tests.
EXEMPT_FOLDERS = ("platform", "standins", "tests")

#: Platform field names that have another meaning, or none, in the rest of the code.
FIELD_NAMES = (
    "cold_remaining_ms",
    "handoff_mode",
    "fencing_token",
    "listen_addrs",
    'path_prefix"',
    "target_latency_ms",
)


def platform_names():
    """Return the header and field names that only the adapter may use."""
    # Standard or common names, which the router's own API uses too.
    shared = {"authorization", "tenant", "model", "retry-after", "last-event-id"}
    shared.add("request-id")
    found = [
        value
        for name, value in vars(headers).items()
        if name.isupper() and isinstance(value, str) and value.lower() not in shared
    ]
    found.remove(headers.KEY_SCHEME)
    return [*found, *FIELD_NAMES]


class BoundaryTests(unittest.TestCase):
    def test_only_the_adapter_uses_the_platforms_names(self):
        for path in ROOT.rglob("*.py"):
            parts = path.relative_to(ROOT).parts
            if any(part in EXEMPT_FOLDERS for part in parts):
                continue
            text = path.read_text().lower()
            for name in platform_names():
                with self.subTest(path="/".join(parts), name=name):
                    self.assertNotIn(name.lower(), text)
