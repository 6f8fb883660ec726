"""Event queue with virtual time."""

import heapq
import itertools
from collections.abc import Callable

import attrs


@attrs.define
class EventQueue:
    """
    Runs callbacks in order of time; callbacks of equal time in order of insertion.

    Attributes
    ----------
    now : float
        Virtual time, in seconds.
    heap : list
        Heap of entries: virtual time in seconds, sequence number and callback.
    counter : iterator
        Source of the sequence numbers of entries.

    Examples
    --------
    >>> queue, seen = EventQueue(), []
    >>> queue.schedule_at(2.0, lambda: seen.append("b"))
    >>> queue.schedule_at(1.0, lambda: seen.append("a"))
    >>> queue.run(until=5.0)
    >>> seen, queue.now
    (['a', 'b'], 5.0)
    """

    now: float = 0.0
    heap: list = attrs.field(factory=list)
    counter: itertools.count = attrs.field(factory=itertools.count)

    def schedule_at(self, time: float, callback: Callable[[], object]) -> None:
        """Schedule a callback at a virtual time, in seconds."""
        heapq.heappush(self.heap, (time, next(self.counter), callback))

    def schedule_after(self, delay: float, callback: Callable[[], object]) -> None:
        """Schedule a callback after a delay, in seconds."""
        self.schedule_at(self.now + delay, callback)

    def run(self, until: float) -> None:
        """Run all callbacks due up to a virtual time, then set the clock to it."""
        heap = self.heap
        while heap and heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(heap)
            callback()
        self.now = until
