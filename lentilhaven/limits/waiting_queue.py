"""
Requests that wait at one process for one service, in the order of service.

The order is by priority; within a priority, streams that continue a broken answer come
before new requests, and the new ones are ordered by start-time fair queueing between
workspaces and by due time within a workspace.

References
----------
P. Goyal, H. Vin, H. Cheng, "Start-Time Fair Queueing", 1996.
"""

import heapq
import itertools
import math
from collections.abc import Iterator

import attrs
from sortedcontainers import SortedDict, SortedKeyList

from lentilhaven.core.invariants import ensure

#: Maximum number of requests that wait for one service.
MAX_ENTRIES = 10_000

#: Number of finish tags of idle workspaces above which those in the past are dropped.
MAX_IDLE_TAGS = 1024


@attrs.frozen(eq=False)
class QueueEntry:
    """
    A request that waits, or would wait.

    Attributes
    ----------
    request : str
        Id of the request.
    priority : int
        Priority; 0 is the most urgent.
    workspace : str
        Workspace of the caller; empty for an anonymous one.
    cost : float
        Cost of the request in tokens; not negative.
    arrived : float
        Time of its arrival, in seconds.
    due : float
        Latest time at which a start still meets the caller's target, in seconds.
    continues : bool
        Whether it continues a stream of which the caller has events.
    weight : float
        Weight of the workspace; positive.
    """

    request: str
    priority: int
    workspace: str
    cost: float
    arrived: float
    due: float
    continues: bool = False
    weight: float = attrs.field(default=1.0, validator=attrs.validators.gt(0.0))


def due_order(entry: QueueEntry) -> tuple[float, float, str]:
    """Return the sort key of entries that compete by due time."""
    return entry.due, entry.arrived, entry.request


@attrs.define(eq=False)
class WorkspaceQueue:
    """
    The new requests of one workspace with one priority.

    Attributes
    ----------
    name : str
        Name of the workspace.
    start_tag : float
        Virtual time at which the next request starts.
    entries : SortedKeyList of QueueEntry
        The requests, earliest due first.
    cost : float
        Sum of their costs, in tokens.
    """

    name: str
    start_tag: float
    entries: SortedKeyList = attrs.field(factory=lambda: SortedKeyList(key=due_order))
    cost: float = 0.0

    @property
    def weight(self) -> float:
        """Return the weight of the workspace."""
        return self.entries[0].weight

    def sort_key(self) -> tuple[float, float, str]:
        """Return the position among the workspaces: start tag, then earliest due."""
        return self.start_tag, self.entries[0].due, self.name


@attrs.define(eq=False)
class PriorityLevel:
    """
    The requests of one priority, and the service that its workspaces have had.

    Attributes
    ----------
    continuing : SortedKeyList of QueueEntry
        Streams that continue a broken answer, earliest due first.
    queues : dict
        `WorkspaceQueue` by workspace, for workspaces with new requests.
    order : SortedKeyList of WorkspaceQueue
        The same queues in the order of service.
    virtual_time : float
        Largest start tag of the new requests started so far.
    finish_tags : dict
        Virtual time up to which each workspace has been served.
    cost, new_cost : float
        Sum of the costs of all waiting requests and of the new ones, in tokens.
    count : int
        Number of waiting requests.
    weight : float
        Sum of the weights of the workspaces in `queues`.
    """

    continuing: SortedKeyList = attrs.field(
        factory=lambda: SortedKeyList(key=due_order)
    )
    queues: dict[str, WorkspaceQueue] = attrs.field(factory=dict)
    order: SortedKeyList = attrs.field(
        factory=lambda: SortedKeyList(key=WorkspaceQueue.sort_key)
    )
    virtual_time: float = 0.0
    finish_tags: dict[str, float] = attrs.field(factory=dict)
    cost: float = 0.0
    new_cost: float = 0.0
    count: int = 0
    weight: float = 0.0

    def start_tag(self, workspace: str) -> float:
        """Return the virtual time at which a workspace's next request would start."""
        queue = self.queues.get(workspace)
        if queue is not None:
            return queue.start_tag
        return max(self.virtual_time, self.finish_tags.get(workspace, 0.0))

    def add(self, entry: QueueEntry) -> None:
        """Insert an entry."""
        self.cost += entry.cost
        self.count += 1
        if entry.continues:
            self.continuing.add(entry)
            return
        self.new_cost += entry.cost
        queue = self.queues.get(entry.workspace)
        if queue is None:
            tag = self.start_tag(entry.workspace)
            queue = self.queues[entry.workspace] = WorkspaceQueue(entry.workspace, tag)
        else:
            self.detach(queue)
        queue.entries.add(entry)
        queue.cost += entry.cost
        self.attach(queue)

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry."""
        self.count -= 1
        self.cost = self.cost - entry.cost if self.count else 0.0
        if entry.continues:
            self.continuing.remove(entry)
            return
        self.new_cost -= entry.cost
        queue = self.queues[entry.workspace]
        self.detach(queue)
        queue.entries.remove(entry)
        queue.cost -= entry.cost
        if queue.entries:
            self.attach(queue)
        else:
            del self.queues[entry.workspace]

    def detach(self, queue: WorkspaceQueue) -> None:
        """Take a queue out of the order before its sort key changes."""
        self.order.remove(queue)
        self.weight -= queue.weight

    def attach(self, queue: WorkspaceQueue) -> None:
        """Put a queue back into the order."""
        self.order.add(queue)
        self.weight += queue.weight

    def charge(self, workspace: str, cost: float, weight: float) -> None:
        """Add service of some cost in tokens to what a workspace has had."""
        finish_tag = self.start_tag(workspace) + cost / weight
        self.finish_tags[workspace] = finish_tag
        queue = self.queues.get(workspace)
        if queue is not None:
            self.detach(queue)
            queue.start_tag = finish_tag
            self.attach(queue)
        if len(self.finish_tags) > MAX_IDLE_TAGS + len(self.queues):
            self.drop_past_tags()

    def drop_past_tags(self) -> None:
        """Drop the finish tags that have no effect any more."""
        self.finish_tags = {
            name: tag
            for name, tag in self.finish_tags.items()
            if tag > self.virtual_time
        }

    def in_order(self, now: float) -> Iterator[QueueEntry]:
        """Yield the entries in the order of service."""
        on_time = self.continuing.bisect_key_left((now, -math.inf, ""))
        yield from self.continuing[on_time:]
        yield from self.continuing[:on_time]
        heap = [(queue.sort_key(), 0, queue) for queue in self.order]
        heapq.heapify(heap)
        while heap:
            (tag, _, name), index, queue = heap[0]
            entry = queue.entries[index]
            yield entry
            if index + 1 < len(queue.entries):
                later = tag + entry.cost / entry.weight
                due = queue.entries[index + 1].due
                heapq.heapreplace(heap, ((later, due, name), index + 1, queue))
            else:
                heapq.heappop(heap)

    def last(self) -> QueueEntry:
        """Return an entry to give up: of the workspace that is served last."""
        if self.order:
            return self.order[-1].entries[-1]
        return self.continuing[0]

    def cost_ahead(self, entry: QueueEntry) -> float:
        """Return the tokens of this priority that go before an entry."""
        if entry.continues:
            rank = self.continuing.bisect_key_left(due_order(entry))
            return rank * (self.cost - self.new_cost) / max(1, len(self.continuing))
        queue = self.queues.get(entry.workspace)
        queued = queue.cost if queue is not None else 0.0
        weight = self.weight + (0.0 if queue is not None else entry.weight)
        lag = self.start_tag(entry.workspace) - self.virtual_time
        fair = (max(0.0, lag) + queued / entry.weight) * weight
        return self.cost - self.new_cost + min(fair, self.new_cost)


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

    def add(self, entry: QueueEntry) -> QueueEntry | None:
        """
        Insert an entry.

        Returns
        -------
        QueueEntry or None
            The entry that is given up since the queue is full; it may be the new one.
        """
        ensure(entry.cost >= 0.0, "cost-is-not-negative", entry)
        self.level(entry.priority).add(entry)
        if len(self) <= self.max_entries:
            return None
        level = next(it for it in reversed(self.levels.values()) if it.count)
        given_up = level.last()
        level.remove(given_up)
        return given_up

    def level(self, priority: int) -> PriorityLevel:
        """Return the level of a priority, and create it if needed."""
        return self.levels.setdefault(priority, PriorityLevel())

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
        return next(self.in_order(now), None)

    def cost_ahead(self, entry: QueueEntry) -> float:
        """
        Return the estimated tokens that are served before an entry.

        Parameters
        ----------
        entry : QueueEntry
            An entry that is not in the queue.
        """
        more_urgent = sum(
            level.cost
            for priority, level in self.levels.items()
            if priority < entry.priority
        )
        return more_urgent + self.level(entry.priority).cost_ahead(entry)

    def waiting_cost(self) -> dict[int, float]:
        """Return the tokens that wait, by priority."""
        return {
            priority: level.cost
            for priority, level in self.levels.items()
            if level.count
        }

    def record_start(self, entry: QueueEntry) -> None:
        """Charge the service of an entry that starts to its workspace."""
        if entry.continues:
            return
        level = self.level(entry.priority)
        level.virtual_time = max(level.virtual_time, level.start_tag(entry.workspace))
        level.charge(entry.workspace, entry.cost, entry.weight)

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
