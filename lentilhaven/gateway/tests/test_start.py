import os
import signal
import subprocess
import sys
import unittest


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
