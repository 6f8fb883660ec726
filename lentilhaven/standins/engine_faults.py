"""Faults of the engine stand-in."""

import asyncio

import attrs

from lentilhaven.standins.piece_noise import PieceNoise


def set_event() -> asyncio.Event:
    """Return an event that is set."""
    event = asyncio.Event()
    event.set()
    return event


@attrs.define
class EngineFaults:
    """
    Faults that the stand-in injects.

    Attributes
    ----------
    dead : bool
        Connections break at once.
    refusing : bool
        Work is refused, while probes and exports are answered.
    running : asyncio.Event
        Cleared while the engine is paused: connections open and nothing is
        answered.  When it is set again, everything that was held back goes out.
    transports : set of asyncio.Transport
        Open connections.
    muted : set of asyncio.Transport
        Connections that stay open and carry nothing any more.
    noise : PieceNoise or None
        Disturbs the pieces that are sent.
    """

    dead: bool = False
    refusing: bool = False
    running: asyncio.Event = attrs.field(factory=set_event)
    transports: set[asyncio.Transport] = attrs.field(factory=set)
    muted: set[asyncio.Transport] = attrs.field(factory=set)
    noise: PieceNoise | None = None

    def mute_connections(self) -> None:
        """Let every open connection go silent for good; new ones work."""
        self.muted |= self.transports

    async def wait_if_muted(self, transport: asyncio.Transport | None) -> None:
        """Wait for ever if a connection is muted, and while paused."""
        if transport in self.muted:
            await asyncio.Event().wait()
        await self.running.wait()
