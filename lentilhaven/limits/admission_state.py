"""A router's requests in flight and in queue for one pool."""

from collections import Counter, defaultdict

import attrs
from sortedcontainers import SortedKeyList

from lentilhaven.core.ids import RequestId, WorkspaceId
from lentilhaven.core.invariants import ensure
from lentilhaven.limits.adaptive_limit import AdaptiveLimit
from lentilhaven.limits.admission_request import AdmissionRequest
from lentilhaven.limits.drain_rate import DrainRate

#: Maximum service that a workspace may catch up on after it was idle, in requests of
#: mean cost.
CREDIT_REQUESTS = 2.0

#: Smoothing factor of the moving average of weights.
MEAN_WEIGHT_SMOOTHING = 0.05


@attrs.define
class AdmissionState:
    """
    The requests in flight and in queue that admission policies work on.

    Start tags, finish tags and virtual time are those of start-time fair queueing
    (see `lentilhaven.limits.deadline_admission`), in tokens per unit of weight.

    Attributes
    ----------
    limit : AdaptiveLimit
        Limit on requests in flight.
    drain : DrainRate
        Estimate of the rate at which the queue drains.
    running : dict
        `AdmissionRequest` of each request in flight, by request.
    started : dict
        Monotonic start time of each request in flight, in seconds.
    running_by_workspace : Counter
        Number of requests in flight by workspace.
    queues : dict
        `SortedKeyList` of queued requests by workspace, earliest `start_by` first.  A
        workspace without queued requests has no entry.
    queued_tokens : dict
        Total cost of the queued requests by workspace, in tokens.
    finish_tags : dict
        Finish tag of the last started request, by workspace: the virtual time up
        to which the workspace has been served.
    virtual_time : float
        Largest start tag of the requests started so far.
    mean_weight : float
        Moving average of the weights of started requests.
    """

    limit: AdaptiveLimit
    drain: DrainRate
    running: dict[RequestId, AdmissionRequest] = attrs.field(factory=dict)
    started: dict[RequestId, float] = attrs.field(factory=dict)
    running_by_workspace: Counter[WorkspaceId] = attrs.field(factory=Counter)
    queues: dict[WorkspaceId, SortedKeyList] = attrs.field(factory=dict)
    queued_tokens: dict[WorkspaceId, float] = attrs.field(
        factory=lambda: defaultdict(float)
    )
    finish_tags: dict[WorkspaceId, float] = attrs.field(factory=dict)
    virtual_time: float = 0.0
    mean_weight: float = 1.0

    @property
    def waiting(self) -> int:
        """Return the number of queued requests."""
        return sum(len(queue) for queue in self.queues.values())

    def enqueue(self, ticket: AdmissionRequest) -> None:
        """Insert a request into its workspace's queue, ordered by `start_by`."""
        if ticket.workspace not in self.queues:
            self.queues[ticket.workspace] = SortedKeyList(key=lambda it: it.start_by)
        self.queues[ticket.workspace].add(ticket)
        self.queued_tokens[ticket.workspace] += ticket.tokens

    def dequeue(self, ticket: AdmissionRequest) -> None:
        """Remove a request from its workspace's queue."""
        queue = self.queues[ticket.workspace]
        queue.remove(ticket)
        self.queued_tokens[ticket.workspace] -= ticket.tokens
        if not queue:
            del self.queues[ticket.workspace]
            del self.queued_tokens[ticket.workspace]

    def drain_rate(self) -> float:
        """Return the estimated tokens per second at which the queue drains."""
        # While requests are queued, fewer may run than the limit allows, because KV
        # memory holds some back.
        running = len(self.running) if self.queues else self.limit.limit
        return self.drain.rate(min(running, self.limit.limit))

    def start(self, ticket: AdmissionRequest, now: float) -> None:
        """
        Record a request as running and charge its cost to its workspace.

        The caller must have removed the request from the queue.
        """
        ensure(ticket.request not in self.running, "started-twice", ticket)
        self.running[ticket.request] = ticket
        self.started[ticket.request] = now
        self.running_by_workspace[ticket.workspace] += 1
        self.mean_weight += MEAN_WEIGHT_SMOOTHING * (ticket.weight - self.mean_weight)
        start_tag = self.start_tag(ticket.workspace, ticket.weight)
        self.virtual_time = max(self.virtual_time, start_tag)
        self.finish_tags[ticket.workspace] = start_tag + ticket.tokens / ticket.weight

    def start_tag(self, workspace: WorkspaceId, weight: float) -> float:
        """
        Return the start tag of a workspace's next request, in virtual time.

        A workspace that was idle may catch up on the service that it missed, by at
        most `CREDIT_REQUESTS` requests of mean cost.

        Parameters
        ----------
        workspace : str
            Id of the workspace.
        weight : float
            Weight of the workspace's next request.
        """
        earliest = self.min_start_tag(weight)
        return max(earliest, self.finish_tags.get(workspace, earliest))

    def min_start_tag(self, weight: float) -> float:
        """Return the lowest possible start tag, for a workspace that was idle."""
        least = min(weight, self.mean_weight)
        return self.virtual_time - CREDIT_REQUESTS * self.drain.cost / least

    def finish(self, ticket: AdmissionRequest, now: float) -> None:
        """
        Remove a request that has ended, and update the drain rate.

        Parameters
        ----------
        ticket : AdmissionRequest
            A running request.
        now : float
            Monotonic time, in seconds.
        """
        del self.running[ticket.request]
        self.running_by_workspace[ticket.workspace] -= 1
        if self.running_by_workspace[ticket.workspace] == 0:
            del self.running_by_workspace[ticket.workspace]
            if self.finish_tags[ticket.workspace] <= self.min_start_tag(ticket.weight):
                del self.finish_tags[ticket.workspace]
        self.drain.observe(ticket.tokens, now - self.started.pop(ticket.request))
