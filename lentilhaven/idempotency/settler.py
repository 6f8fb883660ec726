"""Sends settlements in the background until each one is confirmed."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

import attrs

from lentilhaven.control.claim import Settlement
from lentilhaven.core.clock import Clock
from lentilhaven.core.logs import get_logger

#: Delay before the first retry of a settlement, in seconds.
FIRST_DELAY = 0.05

#: Maximum delay between two tries, in seconds.
MAX_DELAY = 2.0

#: Seconds after which a settlement is given up; the outcome of the call then stays
#: unknown.
SETTLE_TIMEOUT = 600.0

#: Number of background tasks at which no new call is accepted.
MAX_UNSETTLED = 10_000

T = TypeVar("T")

log = get_logger("idempotency")


@attrs.define
class Settler:
    """
    Retries settlements until the journal confirms them.

    Attributes
    ----------
    send : callable
        Sends a settlement and returns whether it is confirmed.
    clock : Clock
        Source of time.
    tasks : set of asyncio.Task
        The running tasks: one per settlement, and those started by `run_tracked`.
    given_up : int
        Number of settlements that were given up without confirmation.
    """

    send: Callable[[Settlement], Awaitable[bool]]
    clock: Clock
    tasks: set[asyncio.Task] = attrs.field(factory=set)
    given_up: int = 0

    @property
    def overloaded(self) -> bool:
        """Return whether too many tasks are running to accept a new call."""
        return len(self.tasks) >= MAX_UNSETTLED

    def settle(self, settlement: Settlement) -> None:
        """
        Start to settle a call in the background.

        Parameters
        ----------
        settlement : Settlement
            The settlement.
        """
        self.run_tracked(self.settle_until_confirmed(settlement))

    def run_tracked(self, coroutine: Coroutine[Any, Any, T]) -> "asyncio.Task[T]":
        """
        Run a coroutine in a task that `wait_settled` waits for; return the task.

        Parameters
        ----------
        coroutine : coroutine
            The coroutine to run.
        """
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def settle_until_confirmed(self, settlement: Settlement) -> None:
        """Send a settlement repeatedly until it is confirmed or the timeout expires."""
        delay = FIRST_DELAY
        deadline = self.clock.monotonic() + SETTLE_TIMEOUT
        while not await self.send(settlement):
            if self.clock.monotonic() + delay > deadline:
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
        Wait for all running tasks and return how many are still running.

        Parameters
        ----------
        timeout : float
            Maximum time to wait, in seconds.
        """
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=timeout)
        return len(self.tasks)

    async def close(self) -> None:
        """Cancel all running tasks."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
