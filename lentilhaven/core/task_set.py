"""Tasks that come and go with what they are for."""

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
    One task for each key.

    Attributes
    ----------
    run : callable
        Returns the coroutine for a key.
    tasks : dict
        Running tasks by key.
    ending : set
        Tasks that have been cancelled and have not ended.
    """

    run: Callable[[K], Coroutine[Any, Any, None]]
    tasks: dict[K, asyncio.Task] = attrs.field(factory=dict)
    ending: set[asyncio.Task] = attrs.field(factory=set)

    def keep(self, keys: Iterable[K]) -> None:
        """
        Start tasks for new keys and cancel those of keys that are gone.

        Parameters
        ----------
        keys : iterable
            What there should be tasks for.
        """
        wanted = dict.fromkeys(keys)
        for key in [key for key in self.tasks if key not in wanted]:
            task = self.tasks.pop(key)
            self.ending.add(task)
            task.add_done_callback(self.ending.discard)
            task.cancel()
        for key in wanted:
            if key not in self.tasks or self.tasks[key].done():
                task = asyncio.create_task(self.run(key))
                task.add_done_callback(report_task_failure)
                self.tasks[key] = task

    async def close(self) -> None:
        """Cancel all tasks and wait for their end."""
        self.keep([])
        await cancel_tasks(self.ending)


@asynccontextmanager
async def open_task_set(
    run: Callable[[K], Coroutine[Any, Any, None]],
) -> AsyncIterator[TaskSet[K]]:
    """
    Yield an empty set of tasks and cancel what runs at the end.

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
