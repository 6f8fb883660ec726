"""A gateway that runs in a separate process."""

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
import attrs

from lentilhaven.bench.soak.cut_file import CUT_FILE_VARIABLE, encode_cut
from lentilhaven.bench.soak.gateway_program import LINKED_GATEWAY, GatewayProgram
from lentilhaven.platform.settings import (
    SETTINGS_VARIABLE,
    PlatformSettings,
    decode_settings,
)
from lentilhaven.standins.platform.cut_links import Cut

#: Seconds within which a gateway must be ready after its start.
START_TIMEOUT = 20.0

#: Seconds after the grace period at which a process that has not ended is killed.
KILL_MARGIN = 1.0

#: Seconds between two readiness checks.
READY_POLL_INTERVAL = 0.1

#: Seconds between two checks of the ignored signals of a process that starts.
SIGNAL_POLL_INTERVAL = 0.01


def ignores_signal(pid: int, number: signal.Signals) -> bool:
    """Return whether a process ignores a signal; True if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return True
    masks = [line.split()[1] for line in lines if line.startswith("SigIgn:")]
    return any(int(mask, 16) >> (number - 1) & 1 for mask in masks)


@attrs.define(eq=False)
class GatewayProcess:
    """
    A gateway that can be started and stopped repeatedly.

    Attributes
    ----------
    settings : dict
        Content of the gateway's settings file.
    folder : Path
        Folder of the settings file and the log.
    session : aiohttp.ClientSession
        HTTP client for readiness checks.
    program : GatewayProgram
        Program that the next start runs.
    starts : list of (float, GatewayProgram)
        Time of the event loop of each start, in seconds, and the program that ran.
    process : asyncio.subprocess.Process or None
        Process that was started last; None before the first start.
    last_signal_at : float
        Time of the event loop at which the last signal was sent, in seconds.
    failed_exits : list of int
        Exit codes that are neither 0 nor due to a signal of the soak.
    kill_spans : list of tuple of (float, float)
        Times of the event loop from the signal that killed the process to its end, in
        seconds.
    cut_spans : list of (float, float)
        Times of the event loop from the start of each cut between the gateway and
        replicas until the gateway uses its own links again, in seconds.
    stop_times : list of float
        Times of the event loop at which the process was terminated, in seconds.
    start_lock : asyncio.Lock
        Held while a process is started, since overlapping faults may start the same
        gateway.
    """

    settings: dict[str, Any]
    folder: Path
    session: aiohttp.ClientSession
    program: GatewayProgram = LINKED_GATEWAY
    starts: list[tuple[float, GatewayProgram]] = attrs.field(factory=list)
    process: asyncio.subprocess.Process | None = None
    last_signal_at: float = 0.0
    failed_exits: list[int] = attrs.field(factory=list)
    kill_spans: list[tuple[float, float]] = attrs.field(factory=list)
    cut_spans: list[tuple[float, float]] = attrs.field(factory=list)
    stop_times: list[float] = attrs.field(factory=list)
    start_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)

    @property
    def decoded_settings(self) -> PlatformSettings:
        """Return the settings as the gateway decodes them."""
        return decode_settings(self.settings)

    @property
    def name(self) -> str:
        """Return the name of the gateway's VM."""
        return self.decoded_settings.vm

    @property
    def running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.returncode is None

    def write_settings(self) -> Path:
        """Write the settings file and return its path."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings), encoding="utf-8")
        return path

    @property
    def cut_file(self) -> Path:
        """Return the file that states from which hosts the process is cut off."""
        return self.folder / f"{self.name}.cut"

    def write_cut(self, cut: Cut | None, hosts: list[str]) -> None:
        """Cut the process off from hosts, or end the cut if it is None."""
        written = self.cut_file.with_suffix(".new")
        written.write_text(encode_cut(cut, hosts), encoding="utf-8")
        written.replace(self.cut_file)

    async def start(self) -> None:
        """Start the process unless it is running."""
        async with self.start_lock:
            if not self.running:
                await self.spawn()

    async def spawn(self) -> None:
        """Record how the last process ended, and start a new one."""
        self.record_exit()
        self.starts.append((asyncio.get_running_loop().time(), self.program))
        environment = {
            **os.environ,
            SETTINGS_VARIABLE: str(self.write_settings()),
            CUT_FILE_VARIABLE: str(self.cut_file),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self.program.module,
                stdout=log,
                stderr=log,
                cwd=self.program.folder,
                env=environment,
            )
        await self.wait_for_signal_setup()

    async def wait_for_signal_setup(self) -> None:
        """
        Wait until the gateway has set up its handling of signals.

        The gateway first sets SIGHUP to be ignored.  Until then, a signal has the
        interpreter's default action, which the gateway cannot change.
        """
        assert self.process is not None
        deadline = asyncio.get_running_loop().time() + START_TIMEOUT
        while self.running and asyncio.get_running_loop().time() < deadline:
            if ignores_signal(self.process.pid, signal.SIGHUP):
                return
            await asyncio.sleep(SIGNAL_POLL_INTERVAL)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        self.last_signal_at = asyncio.get_running_loop().time()
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self) -> bool:
        """Terminate the process; if it is late, kill it and return False."""
        assert self.process is not None
        self.send_signal(signal.SIGTERM)
        self.stop_times.append(self.last_signal_at)
        timeout = self.decoded_settings.grace + KILL_MARGIN
        try:
            async with asyncio.timeout(timeout):
                await self.process.wait()
        except TimeoutError:
            await self.kill()
            return False
        return True

    def record_exit(self) -> None:
        """Record the last exit code unless it is 0 or due to a signal of the soak."""
        code = self.process.returncode if self.process is not None else None
        # A process that gets SIGTERM before it listens is ended by the signal itself.
        if code not in (None, 0, -signal.SIGKILL, -signal.SIGTERM):
            self.failed_exits.append(code)

    async def kill(self) -> None:
        """Kill the process."""
        self.send_signal(signal.SIGKILL)
        sent_at = self.last_signal_at
        if self.process is not None:
            await self.process.wait()
        self.kill_spans.append((sent_at, asyncio.get_running_loop().time()))

    async def is_ready(self) -> bool:
        """Return whether the gateway reports that it is ready."""
        url = f"http://{self.decoded_settings.ready}/readyz"
        timeout = aiohttp.ClientTimeout(total=0.5)
        try:
            async with self.session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def wait_until_ready(self) -> bool:
        """Wait for the gateway; return whether it was ready within `START_TIMEOUT`."""
        deadline = asyncio.get_running_loop().time() + START_TIMEOUT
        while asyncio.get_running_loop().time() < deadline:
            if await self.is_ready():
                return True
            await asyncio.sleep(READY_POLL_INTERVAL)
        return False


@asynccontextmanager
async def running_gateway(
    settings: dict[str, Any],
    folder: Path,
    session: aiohttp.ClientSession,
    program: GatewayProgram = LINKED_GATEWAY,
) -> AsyncIterator[GatewayProcess]:
    """
    Run a gateway until the context ends.

    Parameters
    ----------
    settings : dict
        Content of its settings file.
    folder : Path
        Folder for the settings file and the log.
    session : aiohttp.ClientSession
        HTTP client for readiness checks.
    program : GatewayProgram
        Program that is run.
    """
    gateway = GatewayProcess(settings, folder, session, program)
    await gateway.start()
    try:
        yield gateway
    finally:
        gateway.send_signal(signal.SIGCONT)
        await gateway.kill()
