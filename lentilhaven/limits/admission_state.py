"""A router's requests in flight and in queue for one pool."""

from collections import Counter, defaultdict

import attrs

from lentilhaven.core.ids import RequestId, WorkspaceId
from lentilhaven.core.invariants import ensure
from lentilhaven.limits.adaptive_limit import AdaptiveLimit
from lentilhaven.limits.drain_rate import DrainRate
from lentilhaven.limits.ticket import Ticket

#: Mean requests by which a workspace may lag behind its share and catch up.
CREDIT_REQUESTS = 2.0

#: Weight of a new ticket in the mean weight.
MEAN_WEIGHT_PART = 0.05


@attrs.define
class AdmissionState:
    """
    What admission policies decide on.

    Attributes
    ----------
    limit : AdaptiveLimit
        Most requests in flight.
    drain : DrainRate
        Rate at which the queue drains.
    running : dict
        `Ticket` by request in flight.
    started : dict
        Monotonic time at which each of them started, in seconds.
    running_by_workspace : Counter
        Their number by workspace.
    queues : dict
        Waiting tickets by workspace, earliest deadline first; never empty.
    queued_tokens : dict
        Cost of the waiting tickets by workspace.
    tags : dict
        Virtual time up to which a workspace has been served.
    virtual_time : float
        Virtual time of the last ticket that was started.
    mean_weight : float
        Moving average of the weights of started tickets.
    """

    limit: AdaptiveLimit
    drain: DrainRate
    running: dict[RequestId, Ticket] = attrs.field(factory=dict)
    started: dict[RequestId, float] = attrs.field(factory=dict)
    running_by_workspace: Counter[WorkspaceId] = attrs.field(factory=Counter)
    queues: dict[WorkspaceId, list[Ticket]] = attrs.field(factory=dict)
    queued_tokens: dict[WorkspaceId, float] = attrs.field(
        factory=lambda: defaultdict(float)
    )
    tags: dict[WorkspaceId, float] = attrs.field(factory=dict)
    virtual_time: float = 0.0
    mean_weight: float = 1.0

    @property
    def waiting(self) -> int:
        """Return the number of tickets in queue."""
        return sum(len(queue) for queue in self.queues.values())

    def enqueue(self, ticket: Ticket) -> None:
        """Put a ticket into its workspace's queue, by deadline."""
        queue = self.queues.setdefault(ticket.workspace, [])
        queue.append(ticket)
        queue.sort(key=lambda it: it.start_by)
        self.queued_tokens[ticket.workspace] += ticket.tokens

    def dequeue(self, ticket: Ticket) -> None:
        """Take a ticket out of its workspace's queue."""
        queue = self.queues[ticket.workspace]
        queue.remove(ticket)
        self.queued_tokens[ticket.workspace] -= ticket.tokens
        if not queue:
            del self.queues[ticket.workspace]
            del self.queued_tokens[ticket.workspace]

    def drain_rate(self) -> float:
        """Return the tokens per second at which the queue drains."""
        # Fewer run than the limit allows when KV memory holds requests back.
        running = len(self.running) if self.queues else self.limit.limit
        return self.drain.rate(min(running, self.limit.limit))

    def start(self, ticket: Ticket, now: float) -> None:
        """Count a ticket as running and charge its workspace."""
        ensure(ticket.request not in self.running, "started-twice", ticket)
        self.running[ticket.request] = ticket
        self.started[ticket.request] = now
        self.running_by_workspace[ticket.workspace] += 1
        self.mean_weight += MEAN_WEIGHT_PART * (ticket.weight - self.mean_weight)
        begin = self.start_tag(ticket.workspace, ticket.weight)
        self.virtual_time = max(self.virtual_time, begin)
        self.tags[ticket.workspace] = begin + ticket.tokens / ticket.weight

    def start_tag(self, workspace: WorkspaceId, weight: float) -> float:
        """
        Return the virtual time at which a workspace's next ticket starts.

        A workspace that missed its turn for want of a request may make up for
        it, by no more than some requests.

        Parameters
        ----------
        workspace : str
            The workspace.
        weight : float
            Its weight.
        """
        earliest = self.earliest_tag(weight)
        return max(earliest, self.tags.get(workspace, earliest))

    def earliest_tag(self, weight: float) -> float:
        """Return the virtual time at which a workspace may start at best."""
        least = min(weight, self.mean_weight)
        return self.virtual_time - CREDIT_REQUESTS * self.drain.cost / least

    def finish(self, ticket: Ticket, now: float) -> None:
        """
        Count a running ticket out.

        Parameters
        ----------
        ticket : Ticket
            The ticket.
        now : float
            Monotonic time, in seconds.
        """
        del self.running[ticket.request]
        self.running_by_workspace[ticket.workspace] -= 1
        if self.running_by_workspace[ticket.workspace] == 0:
            del self.running_by_workspace[ticket.workspace]
            if self.tags[ticket.workspace] <= self.earliest_tag(ticket.weight):
                del self.tags[ticket.workspace]
        self.drain.observe(ticket.tokens, now - self.started.pop(ticket.request))
