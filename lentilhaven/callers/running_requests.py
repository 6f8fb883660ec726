"""The requests that a process runs at a time, and the limit of their number."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs

#: Part of the process's descriptors that is the limit of the number of requests.  Each
#: takes the caller's connection, one to an endpoint, and a second one for another try.
RUNNING_SHARE = 0.25


@attrs.define(eq=False)
class RunningRequests:
    """
    Counts the requests that were read and are passed on.

    Attributes
    ----------
    limit : int
        Maximum number of requests at a time.
    count : int
        Number of requests now.

    Examples
    --------
    >>> running = RunningRequests(1)
    >>> with running.entered() as first, running.entered() as second:
    ...     first, second, running.count
    (True, False, 1)
    >>> running.count
    0
    """

    limit: int
    count: int = 0

    @contextmanager
    def entered(self) -> Iterator[bool]:
        """Count a request until the context ends; yield False if there is no place."""
        if self.count >= self.limit:
            yield False
            return
        self.count += 1
        try:
            yield True
        finally:
            self.count -= 1


def max_running_requests(descriptors: int) -> int:
    """
    Return how many requests a process runs at a time.

    Examples
    --------
    >>> max_running_requests(4100)
    1025
    """
    return max(1, int(descriptors * RUNNING_SHARE))
