import subprocess
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.bench.upgrade import run_upgrade
from lentilhaven.bench.upgrade.older_checkout import extract_commit


class OlderCheckoutTests(unittest.TestCase):
    """Guard against an upgrade that passes without older gateways."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.repository = Path(folder.name, "repository")
        self.target = Path(folder.name, "older")
        self.module = self.repository / "lentilhaven" / "module.py"
        self.module.parent.mkdir(parents=True)

    def git(self, *words):
        identity = ["-c", "user.name=n", "-c", "user.email=e"]
        command = ["git", "-C", str(self.repository), *identity, *words]
        return subprocess.run(command, check=True, capture_output=True).stdout

    def commit(self, text):
        self.module.write_text(text)
        self.git("add", "-A")
        self.git("commit", "-q", "-m", text)
        return self.git("rev-parse", "HEAD").decode().strip()

    def test_older_commit_is_extracted(self):
        self.git("init", "-q")
        older = self.commit("older")
        self.commit("newer")
        found = extract_commit(older, self.repository, self.target).ok
        self.assertEqual((found / "lentilhaven/module.py").read_text(), "older")

    def test_commit_that_the_repository_does_not_hold(self):
        self.git("init", "-q")
        self.commit("newer")
        for name in ("0" * 40, "missing", "--output=x"):
            with self.subTest(name=name):
                result = extract_commit(name, self.repository, self.target)
                self.assertIn("does not hold it", str(result.error))

    def test_folder_that_is_no_repository(self):
        self.module.write_text("x")
        environment = {"GIT_CEILING_DIRECTORIES": str(self.repository.parent)}
        with mock.patch.dict("os.environ", environment):
            result = extract_commit("HEAD", self.repository, self.target)
        self.assertIn("no checkout of commit HEAD", str(result.error))

    def test_git_that_is_not_installed(self):
        with mock.patch.dict("os.environ", {"PATH": str(self.repository)}):
            result = extract_commit("HEAD", self.repository, self.target)
        self.assertIn("git", str(result.error))

    def test_scenario_without_the_older_commit_fails(self):
        with mock.patch("builtins.print") as printed:
            report = run_upgrade(ScenarioOptions(older="0" * 40))
        self.assertFalse(report.holds)
        self.assertIn("no checkout", printed.call_args.args[0])
