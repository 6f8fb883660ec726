"""A set of background tasks that follows a changing set of keys."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine, Hashable, Iterable
from contextlib import asynccontextmanager
from typing import Any, Generic, TypeVar

import attrs

from lentilhaven.core.tasks import cancel_tasks, report_task_failure

K = TypeVar("K", bound=Hashable)


@attrs.define
class TaskSet(Generic[K]):
    """
    Runs one background task for each key.

    Attributes
    ----------
    run : callable
        Returns the coroutine for a key.
    tasks : dict
        Running tasks by key.
    cancelling : set
        Tasks that have been cancelled but have not ended yet.
    """

    run: Callable[[K], Coroutine[Any, Any, None]]
    tasks: dict[K, asyncio.Task] = attrs.field(factory=dict)
    cancelling: set[asyncio.Task] = attrs.field(factory=set)

    def set_keys(self, keys: Iterable[K]) -> None:
        """
        Start a task for each key that has no running task, and cancel all other tasks.

        A cancelled task may still be running when a new task for its key is started.

        Parameters
        ----------
        keys : iterable
            The keys that must have a running task.
        """
        wanted = dict.fromkeys(keys)
        for key in [key for key in self.tasks if key not in wanted]:
            task = self.tasks.pop(key)
            self.cancelling.add(task)
            task.add_done_callback(self.cancelling.discard)
            task.cancel()
        for key in wanted:
            if key not in self.tasks or self.tasks[key].done():
                task = asyncio.create_task(self.run(key))
                task.add_done_callback(report_task_failure)
                self.tasks[key] = task

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        self.set_keys([])
        await cancel_tasks(self.cancelling)


@asynccontextmanager
async def open_task_set(
    run: Callable[[K], Coroutine[Any, Any, None]],
) -> AsyncIterator[TaskSet[K]]:
    """
    Yield an empty set of tasks and cancel its tasks on exit.

    Parameters
    ----------
    run : callable
        Returns the coroutine for a key.
    """
    tasks = TaskSet(run)
    try:
        yield tasks
    finally:
        await tasks.close()
