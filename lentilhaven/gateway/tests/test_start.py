import os
import signal
import subprocess
import sys
import unittest

#: Counts the collections of a start that fails for want of settings.
COUNTING_START = """
import gc
from lentilhaven.gateway.__main__ import main
counts = {"start": 0, "stop": 0}
def count(phase, info):
    counts[phase] += 1
gc.callbacks.append(count)
status = main()
print(status, counts["start"], gc.isenabled(), gc.get_freeze_count() > 10_000)
"""

#: Settings file of a start that must fail.
MISSING_FILE = "/nowhere/settings.json"


class CollectionTests(unittest.TestCase):
    """Guards against collections of what a start imports, a sixth of its time."""

    def test_a_start_runs_no_collection_and_leaves_the_collector_on(self):
        environment = {**os.environ, "LENTILHAVEN_SETTINGS": MISSING_FILE}
        done = subprocess.run(
            [sys.executable, "-c", COUNTING_START],
            capture_output=True,
            text=True,
            env=environment,
            timeout=30,
        )
        self.assertEqual(done.stdout.split(), ["2", "0", "True", "True"])


class EarlySignalTests(unittest.TestCase):
    """A SIGHUP for changed settings must not end a starting process (soak seed 30)."""

    def test_a_reload_during_the_start_does_not_end_the_process(self):
        environment = {**os.environ, "LENTILHAVEN_SETTINGS": "/nowhere/settings.json"}
        command = [sys.executable, "-X", "importtime", "-m", "lentilhaven.gateway"]
        with subprocess.Popen(
            command, stderr=subprocess.PIPE, text=True, env=environment
        ) as process:
            for line in process.stderr:
                if "lentilhaven.core.logs" in line:
                    break
            process.send_signal(signal.SIGHUP)
            process.communicate(timeout=30)
        # The process continues and then fails to find the settings file.
        self.assertEqual(process.returncode, 2)
