"""Each daemon rejects invalid settings with one line, exit code 2, no traceback."""

import contextlib
import io
import json
import socket
import tempfile
import unittest
from pathlib import Path

from lentilhaven.agent.__main__ import app as agent_program
from lentilhaven.router.__main__ import app as router_program
from lentilhaven.serving.tests.broken_settings import (
    BrokenCase,
    common_cases,
    settings_json,
)

ROUTER_CASES = [
    BrokenCase("url", settings_json({"agent_url": "127.0.0.1:1"}), "$.agent_url"),
    BrokenCase("body", settings_json({"max_body_bytes": 0}), "$.max_body_bytes"),
    BrokenCase("limit", settings_json({"drain_limit": -1}), "$.drain_limit"),
    BrokenCase("endless", '{"drain_delay": NaN}', "$.drain_delay"),
    BrokenCase("ca", settings_json({"endpoint_ca_file": "/absent/ca"}), "/absent/ca"),
]

STORE = {"store_url": "http://127.0.0.1:1"}

AGENT_CASES = [
    BrokenCase("no store", settings_json({}), "'store_url'"),
    BrokenCase("store", settings_json({"store_url": "ftp://store"}), "$.store_url"),
    BrokenCase("seeds", settings_json(STORE | {"seeds": "a"}), "$.seeds"),
    BrokenCase("seed", settings_json(STORE | {"seeds": ["a"]}), "item 0"),
    BrokenCase(
        "ca", settings_json(STORE | {"store_ca_file": "/absent/ca"}), "/absent/ca"
    ),
]


class DaemonSettingsTests(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "TOKEN").write_text("a-cluster-token-of-some-length")
        (self.folder / "EMPTY").write_text("\n")
        (self.folder / "FOLDER").mkdir()
        occupied = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(occupied.close)
        self.port = occupied.getsockname()[1]

    def run_program(self, program, text, *flags):
        for name in ("TOKEN", "EMPTY", "FOLDER"):
            text = text.replace(f'"{name}"', json.dumps(str(self.folder / name)))
        text = text.replace('"TAKEN"', str(self.port))
        path = self.folder / "settings.json"
        path.write_text(text, encoding="utf-8")
        errors = io.StringIO()
        with contextlib.redirect_stderr(errors), contextlib.redirect_stdout(errors):
            code = program([str(path), *flags], result_action="return_value")
        return code, errors.getvalue()

    def check_cases(self, program, cases, extra):
        self.assertGreaterEqual(len(cases), 30)
        for case in cases:
            with self.subTest(case.name):
                text = case.text
                if extra and text.startswith('{"vm": "vm-1"'):
                    text = json.dumps(extra | json.loads(text))
                code, seen = self.run_program(program, text)
                self.assertEqual(code, 2, seen)
                self.assertIn(case.expected, seen)
                self.assertIn("settings.json", seen)
                self.assertNotIn("Traceback", seen)
                self.assertEqual(len(seen.splitlines()), 1, seen)

    def test_router(self):
        self.check_cases(router_program, common_cases() + ROUTER_CASES, {})

    def test_agent(self):
        self.check_cases(agent_program, common_cases(), STORE)
        for case in AGENT_CASES:
            code, seen = self.run_program(agent_program, case.text)
            self.assertEqual((code, case.expected in seen), (2, True), seen)

    def test_all_errors_come_at_once(self):
        text = settings_json({"port": 70000, "host": 1, "prot": 2, "log_level": "loud"})
        _, seen = self.run_program(router_program, text)
        for word in ("$.port", "$.host", "prot", "$.log_level"):
            self.assertIn(word, seen)

    def test_check_reads_the_files_too(self):
        self.assertEqual(
            self.run_program(router_program, settings_json({}), "--check")[0], 0
        )
        absent = settings_json({"cluster_token_file": "/absent"})
        self.assertEqual(self.run_program(router_program, absent, "--check")[0], 2)
