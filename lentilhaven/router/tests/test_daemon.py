"""Tests of the router process: signals, state dump and exit codes."""

import asyncio
import json
import signal
import sys
import tempfile
import time
import unittest
from pathlib import Path

SETTINGS = {
    "vm": "vm-1",
    "data_centre": "mty-a",
    "agent_url": "http://127.0.0.1:1",
    "port": 0,
    "drain_delay": 0,
    "log_level": "critical",
    "operators": {"port": 0},
}


class RouterProcessTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_signal_dumps_the_state_and_another_ends_it(self):
        with tempfile.TemporaryDirectory() as folder:
            token = Path(folder) / "token"
            token.write_text("a-cluster-token-of-some-length")
            settings = SETTINGS | {"cluster_token_file": str(token)}
            path = Path(folder) / "router.json"
            path.write_text(json.dumps(settings))
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "lentilhaven.router", str(path)),
                stdout=asyncio.subprocess.PIPE,
            )
            try:
                async with asyncio.timeout(60):
                    line = await self.request_dump(process)
                    process.send_signal(signal.SIGTERM)
                    code = await process.wait()
            finally:
                if process.returncode is None:
                    process.kill()
        state = json.loads(line)
        self.assertEqual((state["format"], state["vm"]), (1, "vm-1"))
        self.assertNotIn(b"a-cluster-token", line)
        self.assertEqual(code, 0)

    async def request_dump(self, process):
        """Request a state dump once the handler for it is set, and return its line."""
        await asyncio.to_thread(wait_for_handler, process.pid, signal.SIGUSR1)
        process.send_signal(signal.SIGUSR1)
        return await process.stdout.readline()


def wait_for_handler(pid, number):
    """Wait until a process has a handler for a signal."""
    while not has_handler(Path(f"/proc/{pid}/status").read_text(), number):
        time.sleep(0.05)


def has_handler(status, number):
    """Return whether a process has a handler for a signal."""
    mask = next(it for it in status.splitlines() if it.startswith("SigCgt"))
    return bool(int(mask.split()[1], 16) >> (number - 1) & 1)
