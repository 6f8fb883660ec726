"""The queues of a process, and what their decisions share."""

from collections import Counter
from collections.abc import Callable, Sequence

import attrs

from lentilhaven.admission.order_rules import OrderRules
from lentilhaven.admission.service_queue import ServiceQueue
from lentilhaven.admission.unread_prompts import UnreadPrompts
from lentilhaven.fleet.fleet_view import FleetView
from lentilhaven.fleet.manifest import Manifest
from lentilhaven.limits.queue_report import report_queue
from lentilhaven.peering.queue_state import QueueReport, QueueState


@attrs.define(eq=False)
class ServiceQueues:
    """
    The queues of a process.

    Attributes
    ----------
    counters : Counter
        As in `ServiceQueue`.
    next_change : callable
        Takes a service and a time; otherwise as in `ServiceQueue`.
    reports : callable
        Takes a service and a time; otherwise as in `ServiceQueue`.
    ages, record_wait : callable
        As in `ServiceQueue`.
    queues : dict
        `ServiceQueue` by service.
    unread : UnreadPrompts
        Prompts that this process has sent.
    manifest : Manifest or None
        The manifest from which `rules` were made.
    rules : OrderRules
        Which requests are ordered.
    """

    counters: Counter[str] = attrs.field(factory=Counter)
    next_change: Callable[[str, float], float | None] = lambda service, now: None
    ages: Callable[[float], dict[str, int]] = lambda now: {}
    record_wait: Callable[[int, float], None] = lambda priority, seconds: None
    reports: Callable[[str, float], Sequence[QueueReport]] = lambda service, now: ()
    queues: dict[str, ServiceQueue] = attrs.field(factory=dict)
    unread: UnreadPrompts = attrs.field(factory=UnreadPrompts)
    manifest: Manifest | None = None
    rules: OrderRules = attrs.field(factory=OrderRules)

    def of(self, service: str) -> ServiceQueue:
        """Return the queue of a service, and create it if needed."""
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = ServiceQueue(
                service,
                self.counters,
                lambda now: self.next_change(service, now),
                self.ages,
                lambda priority, seconds: self.record_wait(priority, seconds),
                lambda now: self.reports(service, now),
            )
        return queue

    def rules_of(self, manifest: Manifest | None) -> OrderRules:
        """Return the rules of the current manifest."""
        if manifest is not self.manifest:
            self.manifest, self.rules = manifest, OrderRules.of(manifest)
        return self.rules

    def states(self, now: float) -> dict[str, QueueState]:
        """Return what waits and has started, by service, if it is ordered."""
        if not self.rules.is_ordered:
            return {}
        return {
            name: report_queue(queue.queue, queue.rates, now)
            for name, queue in self.queues.items()
        }

    def unread_tokens(self) -> dict[str, float]:
        """Return the unread layer-tokens by endpoint, if requests are ordered."""
        return dict(self.unread.layer_tokens) if self.rules.is_ordered else {}

    def note_reports(
        self, reports_of: Callable[[str, float], Sequence[QueueReport]], now: float
    ) -> None:
        """
        Apply what other processes report of their queues.

        Parameters
        ----------
        reports_of : callable
            Takes a service and a time, and returns the reports.
        now : float
            Current time, in seconds.
        """
        for name, queue in self.queues.items():
            is_needed = self.rules.is_ordered and queue.waiters
            queue.charge_peers(reports_of(name, now) if is_needed else (), now)
            queue.notify_room()

    async def follow(self, view: FleetView) -> None:
        """Apply each change of the manifest or of the endpoints, until cancelled."""
        while True:
            await view.changed.event.wait()
            if view.manifest is self.manifest:
                self.notify_room()
            else:
                self.rules_of(view.manifest)
                self.renew()

    def notify_room(self) -> None:
        """Try waiting requests soon, since capacity may have appeared."""
        for queue in self.queues.values():
            queue.notify_room()

    def renew(self) -> None:
        """Order the waiting requests by what the manifest says now."""
        for queue in self.queues.values():
            queue.renew()
