"""
The requests of one priority, in the order of service.

References
----------
P. Goyal, H. Vin, H. Cheng, "Start-Time Fair Queueing", 1996.
"""

import heapq
import math
from collections.abc import Iterator

import attrs
from sortedcontainers import SortedKeyList

from lentilhaven.limits.finish_tags import FinishTags
from lentilhaven.limits.queue_entry import QueueEntry, due_order
from lentilhaven.limits.workspace_queue import WorkspaceQueue

#: Smoothing factor of the mean cost of started requests.
COST_SMOOTHING = 0.1

#: Maximum service, in requests of mean cost, by which a workspace is behind the others
#: after its head could not start, or ahead of them after other processes served it.  A
#: larger difference would exclude one side for seconds after the cause has ended.
MAX_DIFFERENCE_REQUESTS = 2.0


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
    ends : SortedKeyList of WorkspaceQueue
        The same queues by the virtual time at which they are empty.
    virtual_time : float
        Largest start tag of the new requests started so far.
    finish_tags : FinishTags
        Virtual time up to which each workspace has been served.
    mean_cost : float
        Moving average of the costs of started requests, in tokens; 0 before the first.
    continuing_cost, new_cost : float
        Sums of the costs of the waiting requests, in tokens.
    new_count : int
        Number of new requests that wait.
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
    ends: SortedKeyList = attrs.field(
        factory=lambda: SortedKeyList(key=WorkspaceQueue.end_key)
    )
    virtual_time: float = 0.0
    finish_tags: FinishTags = attrs.field(factory=FinishTags)
    mean_cost: float = 0.0
    continuing_cost: float = 0.0
    new_cost: float = 0.0
    new_count: int = 0
    weight: float = 0.0

    @property
    def count(self) -> int:
        """Return the number of waiting requests."""
        return len(self.continuing) + self.new_count

    @property
    def cost(self) -> float:
        """Return the sum of the costs of all waiting requests, in tokens."""
        return self.continuing_cost + self.new_cost

    def start_tag(self, workspace: str) -> float:
        """Return the virtual time at which a workspace's next request would start."""
        queue = self.queues.get(workspace)
        if queue is not None:
            return queue.start_tag
        return max(self.virtual_time, self.finish_tags.get(workspace))

    def max_difference(self, weight: float) -> float:
        """Return the virtual time by which a workspace may be ahead or behind."""
        return MAX_DIFFERENCE_REQUESTS * self.mean_cost / weight

    def add(self, entry: QueueEntry) -> None:
        """Insert an entry."""
        if entry.continues:
            self.continuing.add(entry)
            self.continuing_cost += entry.cost
            return
        queue = self.queues.get(entry.workspace)
        if queue is None:
            tag = self.start_tag(entry.workspace)
            queue = self.queues[entry.workspace] = WorkspaceQueue(entry.workspace, tag)
        else:
            self.detach(queue)
        queue.entries.add(entry)
        queue.cost += entry.cost
        self.new_cost += entry.cost
        self.new_count += 1
        self.attach(queue)

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry."""
        if entry.continues:
            self.continuing.remove(entry)
            self.continuing_cost -= entry.cost
        else:
            self.remove_new(entry)
        self.clear_rounding()

    def remove_new(self, entry: QueueEntry) -> None:
        """Remove a new request."""
        queue = self.queues[entry.workspace]
        self.detach(queue)
        queue.entries.remove(entry)
        queue.cost -= entry.cost
        self.new_cost -= entry.cost
        self.new_count -= 1
        if queue.entries:
            self.attach(queue)
        else:
            del self.queues[entry.workspace]

    def clear_rounding(self) -> None:
        """Set the sums of what is empty to exactly 0."""
        if not self.continuing:
            self.continuing_cost = 0.0
        if not self.new_count:
            self.new_cost = self.weight = 0.0

    def detach(self, queue: WorkspaceQueue) -> None:
        """Take a queue out of the orders before its sort keys change."""
        self.order.remove(queue)
        self.ends.remove(queue)
        self.weight -= queue.weight

    def attach(self, queue: WorkspaceQueue) -> None:
        """Put a queue back into the orders."""
        self.order.add(queue)
        self.ends.add(queue)
        self.weight += queue.weight

    def record_start(self, workspace: str, cost: float, weight: float) -> None:
        """Charge a request that starts here, and advance the virtual time."""
        factor = COST_SMOOTHING if self.mean_cost else 1.0
        self.mean_cost += factor * (cost - self.mean_cost)
        earliest = self.virtual_time - self.max_difference(weight)
        start_tag = max(earliest, self.start_tag(workspace))
        self.virtual_time = max(self.virtual_time, start_tag)
        self.set_tag(workspace, start_tag + cost / weight)

    def charge(self, workspace: str, cost: float, weight: float) -> None:
        """
        Add service that another process gave to a workspace.

        It counts up to `max_difference`, since the virtual time of this process does
        not advance with service elsewhere.
        """
        start_tag = self.start_tag(workspace)
        latest = self.virtual_time + self.max_difference(weight)
        if start_tag < latest:
            self.set_tag(workspace, min(latest, start_tag + cost / weight))

    def set_tag(self, workspace: str, tag: float) -> None:
        """Set the virtual time up to which a workspace has been served."""
        self.finish_tags.record(workspace, tag, self.virtual_time)
        queue = self.queues.get(workspace)
        if queue is not None:
            self.detach(queue)
            queue.start_tag = tag
            self.attach(queue)

    def first_on_time(self, now: float) -> int:
        """Return the index of the first continuing stream that can be on time."""
        return self.continuing.bisect_key_left((now, -math.inf, ""))

    def head(self, now: float) -> QueueEntry | None:
        """Return the entry that is served next, or None if there is none."""
        if self.continuing:
            index = self.first_on_time(now)
            return self.continuing[index if index < len(self.continuing) else 0]
        return self.order[0].entries[0] if self.order else None

    def last(self, now: float) -> QueueEntry:
        """Return the entry that is served last."""
        if self.ends:
            return self.ends[-1].entries[-1]
        return self.continuing[self.first_on_time(now) - 1]

    def goes_first(self, entry: QueueEntry, now: float) -> bool:
        """Return whether an entry that is not in the queue would be its head."""
        head = self.head(now)
        if head is None or entry.continues > head.continues:
            return True
        if entry.continues < head.continues:
            return False
        if entry.continues:
            late, head_late = entry.due < now, head.due < now
            return (late, *due_order(entry)) < (head_late, *due_order(head))
        if entry.workspace == head.workspace:
            return due_order(entry) < due_order(head)
        key = (self.start_tag(entry.workspace), entry.due, entry.workspace)
        return key < self.order[0].sort_key()

    def in_order(self, now: float) -> Iterator[QueueEntry]:
        """Yield the entries in the order of service."""
        on_time = self.first_on_time(now)
        yield from self.continuing.islice(on_time)
        yield from self.continuing.islice(0, on_time)
        yield from self.new_in_order()

    def new_in_order(self) -> Iterator[QueueEntry]:
        """
        Yield the new requests in the order of service.

        A queue enters the heap only when it is its turn, so that the first entries
        are found without a scan of all workspaces.
        """
        heap: list[tuple[tuple[float, float, str], int, WorkspaceQueue]] = []
        later_queues = iter(self.order)
        upcoming = next(later_queues, None)
        while heap or upcoming is not None:
            if upcoming is not None and (not heap or upcoming.sort_key() < heap[0][0]):
                heapq.heappush(heap, (upcoming.sort_key(), 0, upcoming))
                upcoming = next(later_queues, None)
                continue
            (tag, _, name), index, queue = heap[0]
            entry = queue.entries[index]
            yield entry
            if index + 1 < len(queue.entries):
                following = tag + entry.cost / entry.weight
                due = queue.entries[index + 1].due
                heapq.heapreplace(heap, ((following, due, name), index + 1, queue))
            else:
                heapq.heappop(heap)

    def cost_ahead(self, entry: QueueEntry, now: float) -> float:
        """Return the estimated tokens of this priority that go before an entry."""
        if entry.continues:
            return self.continuing_cost_ahead(entry, now)
        return self.continuing_cost + self.new_cost_ahead(entry)

    def continuing_cost_ahead(self, entry: QueueEntry, now: float) -> float:
        """Return the estimated tokens of continuing streams that go before one."""
        if not self.continuing:
            return 0.0
        rank = self.continuing.bisect_key_left(due_order(entry))
        on_time = self.first_on_time(now)
        if entry.due < now:
            rank += len(self.continuing) - on_time
        else:
            rank -= on_time
        return self.continuing_cost * rank / len(self.continuing)

    def new_cost_ahead(self, entry: QueueEntry) -> float:
        """
        Return the estimated tokens of new requests that go before a new one.

        Two lower bounds hold: every workspace whose start tag is smaller is served at
        least once, and by its weight until virtual time reaches the entry's start tag.
        The larger one is used, but no more than all that waits.
        """
        if not self.new_count:
            return 0.0
        queue = self.queues.get(entry.workspace)
        own = queue.cost_before(entry) if queue is not None else 0.0
        tag = self.start_tag(entry.workspace) + own / entry.weight
        weight = self.weight + (0.0 if queue is not None else entry.weight)
        by_weight = max(0.0, tag - self.virtual_time) * weight
        rank = self.order.bisect_key_left((tag, entry.due, entry.workspace))
        by_rank = rank * self.new_cost / self.new_count
        return min(max(by_weight, by_rank), self.new_cost)
