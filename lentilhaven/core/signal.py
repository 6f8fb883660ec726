"""Notification of tasks that wait for a change of state."""

import asyncio
from collections.abc import Callable

import attrs


@attrs.define
class Signal:
    """
    Wakes all waiting tasks at each notification.

    Attributes
    ----------
    event : asyncio.Event
        The event that waiting tasks wait for; the next notification sets it and
        replaces it by a new event.
    """

    event: asyncio.Event = attrs.field(factory=asyncio.Event)

    def notify(self) -> None:
        """Wake every task that is waiting now."""
        event, self.event = self.event, asyncio.Event()
        event.set()

    async def wait_until(self, predicate: Callable[[], bool], timeout: float) -> bool:
        """
        Wait until a condition holds, and return whether it does.

        Parameters
        ----------
        predicate : callable
            The condition; it is evaluated again after each notification.
        timeout : float
            Seconds after which to give up.

        Examples
        --------
        >>> asyncio.run(Signal().wait_until(lambda: False, 0.01))
        False
        """
        try:
            async with asyncio.timeout(timeout):
                while not predicate():
                    await self.event.wait()
        except TimeoutError:
            pass
        return predicate()

    async def wait(self, timeout: float) -> bool:
        """
        Wait for the next notification, and return whether it came in time.

        Parameters
        ----------
        timeout : float
            Seconds after which to give up.
        """
        event = self.event
        try:
            async with asyncio.timeout(timeout):
                await event.wait()
        except TimeoutError:
            return False
        return True
