import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from lentilhaven.standins.platform.sample_files import settings_file

#: Runs the program with a server that ends at once, and reloads it as soon as the event
#: loop has closed, and once more when the program has returned.
RELOADED_END = """
import asyncio
import os
import signal
import sys
from lentilhaven.gateway import __main__, program

async def serve(settings):
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, lambda: None)

def close_and_signal(loop, close=asyncio.SelectorEventLoop.close):
    close(loop)
    os.kill(os.getpid(), signal.SIGHUP)

program.serve = serve
asyncio.SelectorEventLoop.close = close_and_signal
status = __main__.main()
os.kill(os.getpid(), signal.SIGHUP)
sys.exit(status)
"""


class LateReloadTests(unittest.TestCase):
    """A SIGHUP at the end of a planned stop must not change the exit status."""

    def test_a_reload_after_the_event_loop_has_closed(self):
        settings = settings_file(0, "127.0.0.1", "dc-a", [], "127.0.0.1:9")
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "settings.json")
            path.write_text(json.dumps(settings))
            done = subprocess.run(
                [sys.executable, "-c", RELOADED_END],
                env={**os.environ, "LENTILHAVEN_SETTINGS": str(path)},
                timeout=30,
            )
        self.assertEqual(done.returncode, 0)
