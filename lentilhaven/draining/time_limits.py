"""Tasks that end together at a time which is not known when they begin."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs


@attrs.define(eq=False)
class TimeLimits:
    """
    A common limit of all work that is in progress.

    Attributes
    ----------
    at : float or None
        Event loop time at which the work is cut off, in seconds; None for no limit.
    scopes : set of asyncio.Timeout
        The timeouts of the work in progress.

    Examples
    --------
    >>> async def work(limits):
    ...     try:
    ...         async with limits.limited():
    ...             await asyncio.sleep(3600)
    ...     except TimeoutError:
    ...         return "cut off"
    >>> async def main():
    ...     limits = TimeLimits()
    ...     task = asyncio.ensure_future(work(limits))
    ...     await asyncio.sleep(0)
    ...     limits.set(asyncio.get_running_loop().time())
    ...     return await task, len(limits.scopes)
    >>> asyncio.run(main())
    ('cut off', 0)
    """

    at: float | None = None
    scopes: set[asyncio.Timeout] = attrs.field(factory=set)

    def set(self, at: float) -> None:
        """Cut off the work in progress, and all that begins later, at a time."""
        self.at = at
        for scope in self.scopes:
            if not scope.expired():
                scope.reschedule(at)

    @asynccontextmanager
    async def limited(self) -> AsyncIterator[asyncio.Timeout]:
        """
        Raise `TimeoutError` in the context at the limit.

        The yielded scope tells whether the error comes from there: ``expired()``.
        """
        async with asyncio.timeout_at(self.at) as scope:
            self.scopes.add(scope)
            try:
                yield scope
            finally:
                self.scopes.discard(scope)
