"""Memory and descriptors of a process."""

import asyncio
from pathlib import Path

import attrs

from lentilhaven.bench.soak.soak_memory import read_peak_memory

#: Seconds between two measurements.
MEASURE_INTERVAL = 0.1


@attrs.define
class ProcessUsage:
    """
    The largest usage of a process so far.

    Attributes
    ----------
    pid : int
        Id of the process.
    memory : int
        Largest resident memory, in bytes.
    descriptors : int
        Largest number of open descriptors that was seen.
    """

    pid: int
    memory: int = 0
    descriptors: int = 0

    def measure(self) -> None:
        """Measure once; a process that has ended uses nothing."""
        self.memory = max(self.memory, read_peak_memory(self.pid))
        try:
            count = sum(1 for _ in Path(f"/proc/{self.pid}/fd").iterdir())
        except OSError:
            return
        self.descriptors = max(self.descriptors, count)

    async def watch(self) -> None:
        """Measure periodically until cancelled."""
        while True:
            self.measure()
            await asyncio.sleep(MEASURE_INTERVAL)
