"""Background tasks whose lifetime is bound to a context manager."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine, Iterable
from contextlib import asynccontextmanager
from typing import Any

from lentilhaven.core.logs import describe_exception, get_logger

#: Interval at which a task that has not ended is cancelled again, in seconds.
CANCEL_RETRY_INTERVAL = 0.5

#: Seconds after a failure of a background task until it runs again.
FAILURE_PAUSE = 0.5

log = get_logger("core")


@asynccontextmanager
async def running_tasks(*coroutines: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    """
    Run coroutines in background tasks and cancel the tasks on exit.

    Parameters
    ----------
    *coroutines : coroutine
        The coroutines to run.  An exception in one is logged and does not stop the
        others.

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


async def keep_running(make: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """
    Run a coroutine that never returns, and run it again whenever it has failed.

    Whatever a background task reads may be malformed in a way that nobody has thought
    of.  A task that ended would do nothing any more until the process ends, and so
    would those of other processes that read the same.

    Parameters
    ----------
    make : callable
        Returns the coroutine.
    """
    while True:
        try:
            return await make()
        except Exception as error:
            fields = describe_exception(error)
            name = getattr(make, "__qualname__", repr(make))
            log.error("background task failed", task=name, **fields)
        await asyncio.sleep(FAILURE_PAUSE)


async def cancel_tasks(tasks: Iterable[asyncio.Task]) -> None:
    """
    Cancel tasks repeatedly until all of them have ended.

    A single cancellation can be lost: if a timeout expires in the same iteration of
    the event loop, the HTTP client raises the timeout instead of the cancellation,
    and the task continues.

    Parameters
    ----------
    tasks : iterable of asyncio.Task
        The tasks to cancel.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_RETRY_INTERVAL)


def report_task_failure(task: asyncio.Task) -> None:
    """Log the exception that ended a background task, if there is one."""
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        fields = describe_exception(error)
        log.error("background task failed", task=task.get_name(), **fields)
