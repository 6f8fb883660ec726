"""Injects random faults into the engines of a testbed."""

import asyncio
import random
from collections import Counter

import attrs

from lentilhaven.core.ids import EndpointId
from lentilhaven.standins.engine import Engine
from lentilhaven.standins.piece_faults import PieceFaults
from lentilhaven.testbed import Testbed

#: Minimum and maximum time between two rounds of faults, in seconds.
FAULT_INTERVAL = (0.1, 1.0)

#: Minimum and maximum time that an engine stays dead or paused, in seconds.
FAULT_DURATION = (0.02, 1.5)

#: Fraction of the answer pieces that are altered.
NOISE_RATE = 0.05


@attrs.define
class EngineChaos:
    """
    Kills engines, pauses them and silences their connections at random.

    Attributes
    ----------
    testbed : Testbed
        Testbed that runs the engines.
    rng : random.Random
        Source of randomness.
    injected : Counter
        Number of injected faults by kind.
    faulty : set of str
        Engines that are currently dead or paused.
    """

    testbed: Testbed
    rng: random.Random
    injected: Counter[str] = attrs.field(factory=Counter)
    faulty: set[EndpointId] = attrs.field(factory=set)

    def add_noise(self) -> None:
        """Make every engine alter some of its answer pieces from now on."""
        for engine in self.testbed.engines.values():
            engine.faults.noise = PieceFaults(self.rng, NOISE_RATE)

    @property
    def noise_injected(self) -> int:
        """Return the number of answer pieces altered so far, over all engines."""
        noises = [engine.faults.noise for engine in self.testbed.engines.values()]
        return sum(noise.injected for noise in noises if noise is not None)

    async def run(self) -> None:
        """Inject faults until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self.rng.uniform(*FAULT_INTERVAL))
                kinds = [self.kill, self.pause, self.mute]
                for _ in range(self.rng.choice([1, 1, 2])):
                    group.create_task(self.rng.choice(kinds)())

    def pick_healthy_engine(self) -> Engine | None:
        """Return a random healthy engine; None if at least half are dead or paused."""
        names = [it for it in self.testbed.engines if it not in self.faulty]
        if 2 * len(names) <= len(self.testbed.engines):
            return None
        return self.testbed.engines[self.rng.choice(names)]

    async def kill(self) -> None:
        """Crash an engine and, after a while, restart it without its state."""
        engine = self.pick_healthy_engine()
        if engine is None:
            return
        self.injected["kill"] += 1
        self.faulty.add(engine.id)
        engine.kill()
        try:
            await asyncio.sleep(self.rng.uniform(*FAULT_DURATION))
        finally:
            engine.revive()
            self.faulty.discard(engine.id)

    async def pause(self) -> None:
        """Pause an engine and, after a while, resume it with its state."""
        engine = self.pick_healthy_engine()
        if engine is None:
            return
        self.injected["pause"] += 1
        self.faulty.add(engine.id)
        engine.faults.running.clear()
        try:
            await asyncio.sleep(self.rng.uniform(*FAULT_DURATION))
        finally:
            engine.faults.running.set()
            self.faulty.discard(engine.id)

    async def mute(self) -> None:
        """Silence all open connections of an engine permanently."""
        engine = self.pick_healthy_engine()
        if engine is not None:
            self.injected["mute"] += 1
            engine.faults.silence_connections()
