import os
import subprocess
import sys
import unittest

#: Program that runs the command line where one package is not installed.
PROGRAM = """
import sys
sys.modules[sys.argv.pop(1)] = None
from lentilhaven.bench.__main__ import main
main()
"""


def run_without(package, *arguments):
    """Run ``lentilhaven-bench`` without a package."""
    return subprocess.run(
        [sys.executable, "-c", PROGRAM, package, *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
    )


class MissingExtraTests(unittest.TestCase):
    """Guard against a traceback of an installation without the extra "test"."""

    def test_command_line_begins_without_the_extra(self):
        for package in ("async_solipsism", "hypothesis"):
            with self.subTest(package):
                ended = run_without(package, "--help")
                self.assertEqual((ended.returncode, ended.stderr), (0, ""))

    def test_scenarios_name_the_extra(self):
        calls = [
            ("async_solipsism", "list"),
            ("async_solipsism", "soak"),
            ("hypothesis", "run", "smoke"),
        ]
        for package, *arguments in calls:
            with self.subTest(package, arguments=arguments):
                ended = run_without(package, *arguments)
                self.assertEqual(ended.returncode, 1)
                self.assertIn(package, ended.stderr)
                self.assertIn("lentilhaven[test]", ended.stderr)
                self.assertNotIn("Traceback", ended.stderr)
