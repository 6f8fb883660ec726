"""Faults that the engine stand-in can inject."""

import asyncio

import attrs

from lentilhaven.standins.piece_faults import PieceFaults


def create_set_event() -> asyncio.Event:
    """Return an event that is set."""
    event = asyncio.Event()
    event.set()
    return event


@attrs.define
class EngineFaults:
    """
    Faults in force at one engine.

    Attributes
    ----------
    dead : bool
        Whether every connection is aborted at once.
    refusing : bool
        Whether work is refused while probes and cache exports are still answered.
    running : asyncio.Event
        Cleared while the engine is paused: it accepts connections but does not
        respond.  Once the event is set again, all delayed responses are sent.
    transports : set of asyncio.Transport
        Open connections that have carried a call.
    muted : set of asyncio.Transport
        Connections that stay open but transmit nothing from now on.
    crashing_prompt : list of str
        Prompt on which the engine crashes as the head of a chain; it is up again at
        once.  Empty for none.
    crashes : int
        Number of these crashes.
    noise : PieceFaults or None
        Source of faults in the pieces that the engine sends; None for no faults.
    """

    dead: bool = False
    refusing: bool = False
    running: asyncio.Event = attrs.field(factory=create_set_event)
    transports: set[asyncio.Transport] = attrs.field(factory=set)
    muted: set[asyncio.Transport] = attrs.field(factory=set)
    crashing_prompt: list[str] = attrs.field(factory=list)
    crashes: int = 0
    noise: PieceFaults | None = None

    def silence_connections(self) -> None:
        """Silence all open connections permanently; new connections work."""
        self.muted |= self.transports

    async def wait_while_unresponsive(
        self, transport: asyncio.Transport | None
    ) -> None:
        """Block forever on a muted connection, on others while the engine is paused."""
        if transport in self.muted:
            await asyncio.Event().wait()
        await self.running.wait()
