"""
Requests that wait at one process for one service, in the order of service.

The order is by priority; within a priority, streams that continue a broken answer come
before new requests, and the new ones are ordered by start-time fair queueing between
workspaces and by due time within a workspace.
"""

import itertools
import math
from collections.abc import Iterator

import attrs
from sortedcontainers import SortedDict

from lentilhaven.limits.priority_level import PriorityLevel
from lentilhaven.limits.queue_entry import QueueEntry

__all__ = ["MAX_ENTRIES", "QueueEntry", "WaitingQueue"]

#: Maximum number of requests that wait for one service.
MAX_ENTRIES = 10_000


@attrs.define(eq=False)
class WaitingQueue:
    """
    The requests that wait for one service.

    Attributes
    ----------
    max_entries : int
        Number of entries above which one is given up.
    levels : SortedDict
        `PriorityLevel` by priority.

    Examples
    --------
    >>> queue = WaitingQueue()
    >>> queue.add(QueueEntry("r1", 2, "depot", 10.0, 0.0, 1.0))
    >>> queue.add(QueueEntry("r2", 0, "depot", 10.0, 0.0, 1.0))
    >>> [entry.request for entry in queue.in_order(0.0)]
    ['r2', 'r1']
    """

    max_entries: int = MAX_ENTRIES
    levels: SortedDict = attrs.field(factory=SortedDict)

    def __len__(self) -> int:
        """Return the number of entries."""
        return sum(level.count for level in self.levels.values())

    def add(self, entry: QueueEntry, now: float = -math.inf) -> QueueEntry | None:
        """
        Insert an entry.

        Parameters
        ----------
        entry : QueueEntry
            The entry.
        now : float
            Current time, in seconds; it decides which continuing streams are late.

        Returns
        -------
        QueueEntry or None
            The entry that is given up since the queue is full: the one that is served
            last, which may be the new one.
        """
        self.level(entry.priority).add(entry)
        if len(self) <= self.max_entries:
            return None
        level = next(it for it in reversed(self.levels.values()) if it.count)
        given_up = level.last(now)
        level.remove(given_up)
        return given_up

    def level(self, priority: int) -> PriorityLevel:
        """Return the level of a priority, and create it if needed."""
        if priority not in self.levels:
            self.levels[priority] = PriorityLevel()
        return self.levels[priority]

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry that starts, is refused or whose caller has left."""
        self.levels[entry.priority].remove(entry)

    def in_order(self, now: float) -> Iterator[QueueEntry]:
        """
        Yield the entries in the order of service at a time.

        The queue must not change in between.
        """
        return itertools.chain.from_iterable(
            level.in_order(now) for level in self.levels.values()
        )

    def head(self, now: float) -> QueueEntry | None:
        """Return the entry that is served next, or None if there is none."""
        heads = (level.head(now) for level in self.levels.values())
        return next((it for it in heads if it is not None), None)

    def goes_first(self, entry: QueueEntry, now: float) -> bool:
        """Return whether an entry that is not in the queue would be its head."""
        for priority, level in self.levels.items():
            if level.count and priority <= entry.priority:
                return priority == entry.priority and level.goes_first(entry, now)
        return True

    def cost_ahead(self, entry: QueueEntry, now: float = -math.inf) -> float:
        """
        Return the estimated tokens that are served before an entry.

        Parameters
        ----------
        entry : QueueEntry
            An entry that is not in the queue.
        now : float
            Current time, in seconds; it decides which continuing streams are late.
        """
        more_urgent = sum(
            level.cost
            for priority, level in self.levels.items()
            if priority < entry.priority
        )
        if entry.priority not in self.levels:
            return more_urgent
        return more_urgent + self.levels[entry.priority].cost_ahead(entry, now)

    def waiting_cost(self) -> dict[int, float]:
        """Return the tokens that wait, by priority."""
        return {
            priority: level.cost
            for priority, level in self.levels.items()
            if level.count
        }

    def record_start(self, entry: QueueEntry) -> None:
        """
        Charge the service of an entry that starts to its workspace.

        This includes an entry that starts without having waited.  A stream that
        continues was charged when it started first.
        """
        if not entry.continues:
            level = self.level(entry.priority)
            level.record_start(entry.workspace, entry.cost, entry.weight)

    def charge(
        self, workspace: str, priority: int, cost: float, weight: float = 1.0
    ) -> None:
        """
        Charge service that another process gave to a workspace.

        Parameters
        ----------
        workspace : str
            Name of the workspace.
        priority : int
            Priority of the requests served.
        cost : float
            Their cost, in tokens.
        weight : float
            Weight of the workspace.
        """
        self.level(priority).charge(workspace, cost, weight)
