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

#: Seconds for a process to be ready.
START_LIMIT = 60.0


@attrs.frozen
class RouterProcess:
    """
    A running router.

    Attributes
    ----------
    process : asyncio.subprocess.Process
        Its process.
    port : int
        Where it answers callers.
    """

    process: asyncio.subprocess.Process
    port: int

    def cpu_seconds(self) -> float:
        """Return the processor time that it has used."""
        fields = (
            Path(f"/proc/{self.process.pid}/stat")
            .read_text()
            .rpartition(") ")[2]
            .split()
        )
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def peak_memory(self) -> int:
        """Return its largest resident set, in bytes."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024
        return 0


@asynccontextmanager
async def running_process(
    *words: str,
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run a Python module in a process of its own."""
    process = await asyncio.create_subprocess_exec(sys.executable, "-m", *words)
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


@asynccontextmanager
async def running_router(
    folder: Path, gap: float, **changes: float
) -> AsyncIterator[RouterProcess]:
    """
    Run an emitter and a router before it.

    Parameters
    ----------
    folder : Path
        Where the router's settings are written.
    gap : float
        Seconds between two tokens of an answer.
    **changes : float
        Settings of the router that differ.
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
    path.write_text(json.dumps(settings | changes), encoding="utf-8")
    async with AsyncExitStack() as stack:
        emitter = ("lentilhaven.bench.cost", str(emitter_port), str(gap))
        await stack.enter_async_context(running_process(*emitter))
        await wait_for_port(emitter_port)
        words = ("lentilhaven.router", str(path))
        process = await stack.enter_async_context(running_process(*words))
        await wait_for_port(port)
        await asyncio.sleep(0.5)
        yield RouterProcess(process, port)


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return ports


async def wait_for_port(port: int) -> None:
    """Wait until something listens on a port."""
    async with asyncio.timeout(START_LIMIT):
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            writer.close()
            return
