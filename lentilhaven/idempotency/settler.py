"""Settles calls in the background until each settlement is confirmed."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

import attrs

from lentilhaven.control.claim import Settlement
from lentilhaven.core.clock import Clock
from lentilhaven.core.logs import get_logger

#: Seconds before the first repetition of a settlement.
FIRST_DELAY = 0.05

#: Longest delay between two tries, in seconds.
MAX_DELAY = 2.0

#: Seconds after which a settlement is given up; the call then stays unknown.
PATIENCE = 600.0

#: Settlements under way above which no new call is taken.
MAX_UNSETTLED = 10_000

T = TypeVar("T")

log = get_logger("idempotency")


@attrs.define
class Settler:
    """
    Repeats settlements that the journal has not confirmed.

    Attributes
    ----------
    send : callable
        Sends a settlement and returns whether it is confirmed.
    clock : Clock
        Source of time.
    tasks : set of asyncio.Task
        One task a settlement.
    given_up : int
        Settlements that were never confirmed.
    """

    send: Callable[[Settlement], Awaitable[bool]]
    clock: Clock
    tasks: set[asyncio.Task] = attrs.field(factory=set)
    given_up: int = 0

    @property
    def overloaded(self) -> bool:
        """Return whether new calls must wait for settlements."""
        return len(self.tasks) >= MAX_UNSETTLED

    def settle(self, settlement: Settlement) -> None:
        """
        Begin to settle a call.

        Parameters
        ----------
        settlement : Settlement
            How it ended.
        """
        self.keep(self.repeat(settlement))

    def keep(self, coroutine: Coroutine[Any, Any, T]) -> "asyncio.Task[T]":
        """
        Run a coroutine that a shutdown waits for, whoever else does.

        Parameters
        ----------
        coroutine : coroutine
            What to run.
        """
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def repeat(self, settlement: Settlement) -> None:
        """Send a settlement until it is confirmed."""
        delay = FIRST_DELAY
        end = self.clock.monotonic() + PATIENCE
        while not await self.send(settlement):
            if self.clock.monotonic() + delay > end:
                self.given_up += 1
                log.error(
                    "a call could not be settled; its outcome stays unknown",
                    request=settlement.claim.request,
                )
                return
            await self.clock.sleep(delay)
            delay = min(MAX_DELAY, 2 * delay)

    async def wait_settled(self, timeout: float) -> int:
        """
        Wait for all settlements and return how many are left.

        Parameters
        ----------
        timeout : float
            Seconds after which to return anyway.
        """
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=timeout)
        return len(self.tasks)

    async def close(self) -> None:
        """Cancel what is not confirmed."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
