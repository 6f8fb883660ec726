"""Tasks whose life is bound to a context."""

import asyncio
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from typing import Any

from lentilhaven.core.logs import describe_defect, get_logger

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
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def report_task_failure(task: asyncio.Task) -> None:
    """Log the exception that ended a background task."""
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        place = describe_defect(error)
        log.error("background task failed", task=task.get_name(), **place)
