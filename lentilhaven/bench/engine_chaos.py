"""Random faults of a testbed's engines."""

import asyncio
import random
from collections import Counter

import attrs

from lentilhaven.core.ids import EndpointId
from lentilhaven.standins.engine import Engine
from lentilhaven.standins.piece_noise import PieceNoise
from lentilhaven.testbed import Testbed

#: Bounds of the seconds between two faults.
FAULT_GAP = (0.1, 1.0)

#: Bounds of the seconds that a dead or paused engine stays so.
FAULT_LENGTH = (0.02, 1.5)

#: Share of the pieces that are disturbed.
NOISE_RATE = 0.05


@attrs.define
class EngineChaos:
    """
    Kills, pauses and mutes engines at random.

    Attributes
    ----------
    testbed : Testbed
        Has the engines.
    random : random.Random
        Source of chance.
    injected : Counter
        Number of faults by kind.
    faulty : set of str
        Engines that are dead or paused now.
    """

    testbed: Testbed
    random: random.Random
    injected: Counter[str] = attrs.field(factory=Counter)
    faulty: set[EndpointId] = attrs.field(factory=set)

    def add_noise(self) -> None:
        """Disturb the pieces of every engine."""
        for engine in self.testbed.engines.values():
            engine.faults.noise = PieceNoise(self.random, NOISE_RATE)

    @property
    def noise_injected(self) -> int:
        """Return the number of disturbed pieces."""
        noises = [engine.faults.noise for engine in self.testbed.engines.values()]
        return sum(noise.injected for noise in noises if noise is not None)

    async def run(self) -> None:
        """Inject faults for ever."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self.random.uniform(*FAULT_GAP))
                kinds = [self.kill, self.pause, self.mute]
                for _ in range(self.random.choice([1, 1, 2])):
                    group.create_task(self.random.choice(kinds)())

    def pick(self) -> Engine | None:
        """Return an engine without a fault; None when half of them have one."""
        names = [it for it in self.testbed.engines if it not in self.faulty]
        if 2 * len(names) <= len(self.testbed.engines):
            return None
        return self.testbed.engines[self.random.choice(names)]

    async def kill(self) -> None:
        """Let an engine crash and come back empty."""
        engine = self.pick()
        if engine is None:
            return
        self.injected["kill"] += 1
        self.faulty.add(engine.id)
        engine.kill()
        try:
            await asyncio.sleep(self.random.uniform(*FAULT_LENGTH))
        finally:
            engine.revive()
            self.faulty.discard(engine.id)

    async def pause(self) -> None:
        """Let an engine fall silent and then go on where it was."""
        engine = self.pick()
        if engine is None:
            return
        self.injected["pause"] += 1
        self.faulty.add(engine.id)
        engine.faults.running.clear()
        try:
            await asyncio.sleep(self.random.uniform(*FAULT_LENGTH))
        finally:
            engine.faults.running.set()
            self.faulty.discard(engine.id)

    async def mute(self) -> None:
        """Let all open connections of an engine fall silent for good."""
        engine = self.pick()
        if engine is not None:
            self.injected["mute"] += 1
            engine.faults.mute_connections()
