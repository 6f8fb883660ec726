"""The processes of the scenario ``router-cost``."""

import asyncio
import json
import os
import secrets
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import attrs

#: Seconds within which a process must listen on its port.
START_TIMEOUT = 60.0


@attrs.frozen
class RouterProcess:
    """
    A running router.

    Attributes
    ----------
    process : asyncio.subprocess.Process
        Process of the router.
    port : int
        Port on which it accepts requests of callers.
    """

    process: asyncio.subprocess.Process
    port: int

    def cpu_seconds(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        # Without the pid and the name, fields 11 and 12 are utime and stime.
        fields = (
            Path(f"/proc/{self.process.pid}/stat")
            .read_text()
            .rpartition(") ")[2]
            .split()
        )
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def peak_memory(self) -> int:
        """Return the peak resident set size of the process, in bytes; 0 if unknown."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        return 0


@asynccontextmanager
async def running_process(
    *arguments: str,
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a Python module, given its name and arguments, in a separate process."""
    process = await asyncio.create_subprocess_exec(sys.executable, "-m", *arguments)
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


@asynccontextmanager
async def running_router(
    folder: Path, gap: float, **overrides: float
) -> AsyncIterator[RouterProcess]:
    """
    Run a router, and an emitter that stands in for its agent and its engines.

    Parameters
    ----------
    folder : Path
        Folder for the settings file and the cluster token of the router.
    gap : float
        Interval between two consecutive tokens of a response, in seconds.
    **overrides : float
        Router settings that are added to the settings file or replaced in it.
    """
    emitter_port, port, operators_port = free_ports(3)
    token = folder / "cluster-token"
    token.write_text(secrets.token_hex(32), encoding="utf-8")
    settings = {
        "vm": "vm-1",
        "data_centre": "mty-a",
        "agent_url": f"http://127.0.0.1:{emitter_port}",
        "port": port,
        "cluster_token_file": str(token),
        "log_level": "error",
        "operators": {"port": operators_port},
    }
    path = folder / "router.json"
    path.write_text(json.dumps(settings | overrides), encoding="utf-8")
    async with AsyncExitStack() as stack:
        emitter = ("lentilhaven.bench.cost", str(emitter_port), str(gap))
        await stack.enter_async_context(running_process(*emitter))
        await wait_for_port(emitter_port)
        router = ("lentilhaven.router", str(path))
        process = await stack.enter_async_context(running_process(*router))
        await wait_for_port(port)
        await asyncio.sleep(0.5)
        yield RouterProcess(process, port)


def free_ports(count: int) -> list[int]:
    """Return distinct free ports of the loopback interface."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


async def wait_for_port(port: int) -> None:
    """Wait until a process listens on a port of the loopback interface."""
    async with asyncio.timeout(START_TIMEOUT):
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return
