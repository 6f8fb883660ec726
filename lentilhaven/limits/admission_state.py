"""A router's requests in flight and in queue for one pool."""

from collections import Counter, defaultdict

import attrs

from lentilhaven.core.ids import RequestId, WorkspaceId
from lentilhaven.core.invariants import ensure
from lentilhaven.limits.adaptive_limit import AdaptiveLimit
from lentilhaven.limits.drain_rate import DrainRate
from lentilhaven.limits.ticket import Ticket


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
        begin = self.start_tag(ticket.workspace)
        self.virtual_time = max(self.virtual_time, begin)
        self.tags[ticket.workspace] = begin + ticket.tokens / ticket.weight

    def start_tag(self, workspace: WorkspaceId) -> float:
        """Return the virtual time at which a workspace's next ticket starts."""
        return max(self.virtual_time, self.tags.get(workspace, 0.0))

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
            if self.tags.get(ticket.workspace, 0.0) <= self.virtual_time:
                self.tags.pop(ticket.workspace, None)
        self.drain.observe(ticket.tokens, now - self.started.pop(ticket.request))
