"""Tasks whose life is bound to a context."""

import asyncio
from collections.abc import AsyncIterator, Coroutine, Iterable
from contextlib import asynccontextmanager
from typing import Any

from lentilhaven.core.logs import describe_defect, get_logger

#: Seconds after which a task that has not ended is cancelled again.
REPEAT_INTERVAL = 0.5

log = get_logger("core")


@asynccontextmanager
async def running_tasks(*coroutines: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    """
    Run coroutines in the background and cancel them at the end.

    Parameters
    ----------
    *coroutines : coroutine
        What to run.  One that fails is logged; the others go on.

    Examples
    --------
    >>> async def main():
    ...     async with running_tasks(asyncio.sleep(3600)):
    ...         return "done"
    >>> asyncio.run(main())
    'done'
    """
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    for task in tasks:
        task.add_done_callback(report_task_failure)
    try:
        yield
    finally:
        await cancel_tasks(tasks)


async def cancel_tasks(tasks: Iterable[asyncio.Task]) -> None:
    """
    Cancel tasks until all of them have ended.

    One cancellation may not be enough: where it meets a timeout that expires in
    the same step, the HTTP client reports the timeout instead, and the task goes
    on.

    Parameters
    ----------
    tasks : iterable of asyncio.Task
        The tasks.
    """
    left = set(tasks)
    while left:
        for task in left:
            task.cancel()
        _, left = await asyncio.wait(left, timeout=REPEAT_INTERVAL)


def report_task_failure(task: asyncio.Task) -> None:
    """Log the exception that ended a background task."""
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        place = describe_defect(error)
        log.error("background task failed", task=task.get_name(), **place)
