"""When a signal arrived, even if the event loop is late."""

import asyncio
import signal
from types import FrameType

import attrs


@attrs.define(eq=False)
class SignalTime:
    """
    The first arrival of a signal.

    The event loop runs its callbacks after those that are due already, which takes
    seconds if it is late.  The interpreter's own handlers run between two instructions,
    whatever the loop does.

    Attributes
    ----------
    arrived : asyncio.Event
        Set by the event loop once a signal has arrived.
    at : float
        Event loop time at which the first one arrived, in seconds; infinite before.
    """

    arrived: asyncio.Event = attrs.field(factory=asyncio.Event)
    at: float = float("inf")

    def watch(self, numbers: tuple[signal.Signals, ...]) -> None:
        """
        Wait for signals from now on.

        Parameters
        ----------
        numbers : tuple of signal.Signals
            The signals; any of them counts.
        """
        loop = asyncio.get_running_loop()
        for number in numbers:
            loop.add_signal_handler(number, self.arrived.set)

        def note_time(number: int, frame: FrameType | None) -> None:
            self.at = min(self.at, loop.time())

        # The loop is woken through a descriptor, so that its callbacks still run.
        for number in numbers:
            signal.signal(number, note_time)

    async def wait(self) -> float:
        """Wait for a signal, and return the event loop time of its arrival."""
        await self.arrived.wait()
        return min(self.at, asyncio.get_running_loop().time())
