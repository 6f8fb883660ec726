"""Several ways to the same end, of which the first that succeeds counts."""

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Generic, TypeVar

import attrs

from lentilhaven.core.tasks import cancel_tasks

#: Shortest wait for an attempt, in seconds: a shorter one may be below the resolution
#: of the clock.
MIN_WAIT = 0.001

T = TypeVar("T")


@attrs.define
class RaceOutcome(Generic[T]):
    """
    Outcome of a race.

    Attributes
    ----------
    winner : int or None
        Index of the attempt that has succeeded; None if none has.
    result : object or None
        Its result.
    errors : dict
        Errors of the attempts that have failed, by index.
    started_at : dict
        Event loop times at which attempts began, by index, in seconds.
    """

    winner: int | None = None
    result: T | None = None
    errors: dict[int, Exception] = attrs.field(factory=dict)
    started_at: dict[int, float] = attrs.field(factory=dict)


async def race(
    attempts: Sequence[Callable[[], Coroutine[Any, Any, T]]],
    interval: float,
    is_final: Callable[[Exception], bool],
    discard: Callable[[T], None],
) -> RaceOutcome[T]:
    """
    Begin attempts one after the other until one succeeds.

    The next attempt begins after a time without success, or as soon as all that have
    begun have failed.

    Parameters
    ----------
    attempts : sequence of callable
        The attempts in order; each fails with an `OSError` or `TimeoutError`.
    interval : float
        Seconds between the starts of two attempts.
    is_final : callable
        Returns whether an error makes further attempts useless.
    discard : callable
        Takes the result of an attempt that succeeds beside the winner.

    Returns
    -------
    RaceOutcome
        The first success, or the errors of all attempts.
    """
    loop = asyncio.get_running_loop()
    outcome: RaceOutcome[T] = RaceOutcome()
    tasks: dict[asyncio.Task[T], int] = {}
    left = list(enumerate(attempts))
    try:
        while left or tasks:
            if left:
                index, attempt = left.pop(0)
                outcome.started_at[index] = loop.time()
                tasks[asyncio.create_task(attempt())] = index
            until = loop.time() + interval if left else None
            if await settle_attempts(outcome, tasks, until, is_final, discard):
                return outcome
    finally:
        for task in tasks:
            task.add_done_callback(lambda done: discard_result(done, discard))
        await cancel_tasks(tasks)
    return outcome


async def settle_attempts(
    outcome: RaceOutcome[T],
    tasks: dict[asyncio.Task[T], int],
    until: float | None,
    is_final: Callable[[Exception], bool],
    discard: Callable[[T], None],
) -> bool:
    """
    Wait until an attempt succeeds, all have failed, or a time is reached.

    Returns
    -------
    bool
        Whether the race is over.
    """
    loop = asyncio.get_running_loop()
    while tasks and (until is None or until - loop.time() > MIN_WAIT):
        timeout = None if until is None else until - loop.time()
        done, _ = await asyncio.wait(
            tasks, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
        )
        for task in sorted(done, key=tasks.__getitem__):
            index = tasks.pop(task)
            try:
                result = task.result()
            except (OSError, TimeoutError) as error:
                outcome.errors[index] = error
                if is_final(error) and outcome.winner is None:
                    return True
                continue
            if outcome.winner is None:
                outcome.winner, outcome.result = index, result
            else:
                discard(result)
        if outcome.winner is not None:
            return True
    return False


def discard_result(task: asyncio.Future[T], discard: Callable[[T], None]) -> None:
    """Discard the result of an attempt that has succeeded too late."""
    if not task.cancelled() and task.exception() is None:
        discard(task.result())
