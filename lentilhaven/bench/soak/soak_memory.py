"""Check of the memory of the gateways' processes."""

import asyncio
from pathlib import Path

from lentilhaven.bench.soak.gateway_process import GatewayProcess
from lentilhaven.bench.soak.soak_checks import Findings
from lentilhaven.bench.soak.soak_environment import SoakEnvironment

#: Seconds between two measurements; the kernel keeps the peak between them.
MEASURE_INTERVAL = 0.25

#: Bytes in a megabyte.
MEGABYTE = 1_000_000


def read_peak_memory(pid: int) -> int:
    """Return the largest resident memory of a process in bytes; 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0
    sizes = [line.split()[1] for line in lines if line.startswith("VmHWM:")]
    return int(sizes[0]) * 1024 if sizes else 0


async def watch_memory(environment: SoakEnvironment) -> None:
    """Record the peak memory of each gateway until cancelled."""
    peaks = environment.peak_memory
    while True:
        for gateway in environment.gateways:
            if gateway.process is not None:
                size = read_peak_memory(gateway.process.pid)
                peaks[gateway.name] = max(size, peaks.get(gateway.name, 0))
        await asyncio.sleep(MEASURE_INTERVAL)


def memory_limit(gateway: GatewayProcess) -> float:
    """Return the memory limit of a gateway's VM, in bytes."""
    return gateway.settings["limits"]["memory_mb"] * MEGABYTE


def check_memory(environment: SoakEnvironment, findings: Findings) -> None:
    """Check that no gateway's memory exceeded the limit of its VM."""
    for gateway in environment.gateways:
        peak = environment.peak_memory.get(gateway.name, 0)
        if peak > memory_limit(gateway):
            detail = f"{gateway.name} used {peak / MEGABYTE:.0f} MB"
            findings.add("memory", detail)
