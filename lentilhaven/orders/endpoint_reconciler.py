"""Reconciles endpoints with their desired state while holding a lease."""

from collections.abc import Awaitable, Callable

import attrs
from expression import Result

from lentilhaven.core.clock import Clock
from lentilhaven.core.failure import Failure
from lentilhaven.core.ids import EndpointId
from lentilhaven.core.invariants import ensure
from lentilhaven.core.logs import get_logger
from lentilhaven.leases import Lease
from lentilhaven.orders.endpoint_order import EndpointOrder, EndpointReport, Phase
from lentilhaven.orders.waves import WaveRules, next_wave

#: Seconds to wait for the response to an order.
ORDER_TIMEOUT = 1.0

#: Seconds for which an order may still be in transit after its sender timed out.
MAX_ORDER_DELAY = 2.0

#: Seconds between reconciliation rounds.
ROUND_INTERVAL = 0.5

#: Seconds after which a draining endpoint gets its order despite requests in flight.
DRAIN_TIMEOUT = 120.0

ReadReports = Callable[[], Awaitable[list[EndpointReport]]]
SendOrder = Callable[[EndpointOrder], Awaitable[Result[None, Failure]]]

log = get_logger("orders")


@attrs.define
class EndpointReconciler:
    """
    Sends orders to endpoints while this process holds the lease.

    Attributes
    ----------
    lease : Lease
        Lease that permits sending orders.
    read_reports : callable
        Returns the reported state of every endpoint.
    send_order : callable
        Sends one order.
    clock : Clock
        Source of time.
    checks_fencing : bool
        Whether all endpoints refuse orders with an old fencing number.
    rules : WaveRules
        Limits on concurrent version changes of endpoints.
    draining : dict
        Monotonic time at which draining started, by endpoint, in seconds.
    fence : int
        Fencing number under which this process last held the lease; 0 if never.
    quiet_until : float
        Monotonic time before which a new holder sends no orders, in seconds.
    sequence : int
        Sequence number of the last order under `fence`.
    """

    lease: Lease
    read_reports: ReadReports
    send_order: SendOrder
    clock: Clock
    checks_fencing: bool = False
    rules: WaveRules = attrs.field(factory=WaveRules)
    draining: dict[EndpointId, float] = attrs.field(factory=dict)
    fence: int = 0
    quiet_until: float = 0.0
    sequence: int = 0

    async def run(self) -> None:
        """Run reconciliation rounds until cancelled."""
        while True:
            await self.run_round()
            await self.clock.sleep(ROUND_INTERVAL)

    async def run_round(self) -> None:
        """Start the next wave and send due orders, if this process may act."""
        if not self.may_act():
            return
        reports = await self.read_reports()
        self.prune_draining(reports)
        now = self.clock.monotonic()
        for endpoint in next_wave(reports, set(self.draining), self.rules):
            self.draining[endpoint] = now
            log.info("endpoint drains for another version", endpoint=endpoint)
        for report in reports:
            if self.is_due(report):
                await self.issue_order(report)

    def may_act(self) -> bool:
        """
        Return whether this process holds the lease and its waiting time is over.

        The loss of the lease and a new term clear the set of draining endpoints.
        """
        fence = self.lease.fencing_number(ORDER_TIMEOUT)
        if fence is None:
            self.draining.clear()
            return False
        if fence != self.fence:
            ensure(fence > self.fence, "fence-rises", (self.fence, fence))
            self.fence, self.sequence = fence, 0
            self.draining.clear()
            # Endpoints that ignore fencing numbers could execute the previous
            # holder's last order after the new holder's first one.
            wait = 0.0 if self.checks_fencing else ORDER_TIMEOUT + MAX_ORDER_DELAY
            self.quiet_until = self.clock.monotonic() + wait
        return self.clock.monotonic() >= self.quiet_until

    def prune_draining(self, reports: list[EndpointReport]) -> None:
        """Stop tracking endpoints that no longer serve an outdated version."""
        outdated = {report.endpoint for report in reports if report.outdated}
        self.draining = {
            endpoint: since
            for endpoint, since in self.draining.items()
            if endpoint in outdated
        }

    def is_due(self, report: EndpointReport) -> bool:
        """Return whether to send the endpoint its order now."""
        if report.phase is Phase.DOWN:
            # Sent again in every round; repeating an order is harmless.
            return True
        since = self.draining.get(report.endpoint)
        if since is None or report.phase is not Phase.SERVING:
            return False
        drained_for = self.clock.monotonic() - since
        return report.in_flight == 0 or drained_for > DRAIN_TIMEOUT

    async def issue_order(self, report: EndpointReport) -> None:
        """Send an endpoint its desired state, if this process still holds the lease."""
        # Detects a pause of this process since the round began, before sending.
        fence = self.lease.fencing_number(ORDER_TIMEOUT)
        if fence is None or fence != self.fence:
            return
        self.sequence += 1
        order = EndpointOrder(report.endpoint, fence, self.sequence, report.wanted)
        outcome = await self.send_order(order)
        if outcome.is_error():
            log.warning("order was not confirmed", error=str(outcome.error))
