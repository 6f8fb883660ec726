"""Events in virtual time."""

import heapq
import itertools
from collections.abc import Callable

import attrs


@attrs.define
class EventQueue:
    """
    Runs callbacks in order of time; equal times run in order of insertion.

    Attributes
    ----------
    now : float
        Virtual time, in seconds.
    heap : list
        Entries of time, number and callback.
    numbers : iterator
        Numbers of entries.

    Examples
    --------
    >>> queue, seen = EventQueue(), []
    >>> queue.at(2.0, lambda: seen.append("b"))
    >>> queue.at(1.0, lambda: seen.append("a"))
    >>> queue.run(until=5.0)
    >>> seen, queue.now
    (['a', 'b'], 5.0)
    """

    now: float = 0.0
    heap: list = attrs.field(factory=list)
    numbers: itertools.count = attrs.field(factory=itertools.count)

    def at(self, time: float, callback: Callable[[], object]) -> None:
        """Run a callback at a time."""
        heapq.heappush(self.heap, (time, next(self.numbers), callback))

    def after(self, delay: float, callback: Callable[[], object]) -> None:
        """Run a callback after a delay, in seconds."""
        self.at(self.now + delay, callback)

    def run(self, until: float) -> None:
        """Run every event up to a time."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(heap)
            callback()
        self.now = until
