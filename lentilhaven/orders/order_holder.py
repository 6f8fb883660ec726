"""Brings endpoints to their desired state under a lease."""

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

#: Seconds after which the answer to an order is given up.
ORDER_TIMEOUT = 1.0

#: Seconds for which an order may travel after its sender has given it up.
ORDER_FLIGHT = 2.0

#: Seconds between two rounds.
ROUND_INTERVAL = 0.5

#: Seconds after which a draining endpoint is ordered though it still has work.
DRAIN_LIMIT = 120.0

Report = Callable[[], Awaitable[list[EndpointReport]]]
Send = Callable[[EndpointOrder], Awaitable[Result[None, Failure]]]

log = get_logger("orders")


@attrs.define
class OrderHolder:
    """
    Sends orders while this process holds the lease.

    Attributes
    ----------
    lease : Lease
        The lease.
    report : callable
        Reads the state of every endpoint.
    send : callable
        Sends one order.
    clock : Clock
        Source of time.
    checks_fencing : bool
        Whether all endpoints refuse orders with an old fencing number.
    rules : WaveRules
        Limits of a version change.
    draining : dict
        Monotonic time at which each endpoint began to drain, in seconds.
    fence : int
        Fencing number of the last round.
    quiet_until : float
        Monotonic time before which a new holder sends nothing, in seconds.
    sequence : int
        Number of the last order.
    """

    lease: Lease
    report: Report
    send: Send
    clock: Clock
    checks_fencing: bool = False
    rules: WaveRules = attrs.field(factory=WaveRules)
    draining: dict[EndpointId, float] = attrs.field(factory=dict)
    fence: int = 0
    quiet_until: float = 0.0
    sequence: int = 0

    async def keep(self) -> None:
        """Work in rounds, for ever."""
        while True:
            await self.run_round()
            await self.clock.sleep(ROUND_INTERVAL)

    async def run_round(self) -> None:
        """Choose a wave and order what has drained, if this process may act."""
        if not self.may_act():
            return
        reports = await self.report()
        self.forget_changed(reports)
        now = self.clock.monotonic()
        for endpoint in next_wave(reports, set(self.draining), self.rules):
            self.draining[endpoint] = now
            log.info("endpoint drains for another version", endpoint=endpoint)
        for report in reports:
            if self.is_due(report):
                await self.order(report)

    def may_act(self) -> bool:
        """Return whether this process holds the lease and has waited long enough."""
        fence = self.lease.fence(ORDER_TIMEOUT)
        if fence is None:
            self.draining.clear()
            return False
        if fence != self.fence:
            ensure(fence > self.fence, "fence-rises", (self.fence, fence))
            self.fence, self.sequence = fence, 0
            self.draining.clear()
            # Endpoints that ignore the number could obey the old holder's last
            # order after the new holder's first one.
            wait = 0.0 if self.checks_fencing else ORDER_TIMEOUT + ORDER_FLIGHT
            self.quiet_until = self.clock.monotonic() + wait
        return self.clock.monotonic() >= self.quiet_until

    def forget_changed(self, reports: list[EndpointReport]) -> None:
        """Forget drains of endpoints that no longer serve an outdated version."""
        outdated = {report.endpoint for report in reports if report.outdated}
        self.draining = {
            endpoint: since
            for endpoint, since in self.draining.items()
            if endpoint in outdated
        }

    def is_due(self, report: EndpointReport) -> bool:
        """Return whether an endpoint should get its order now."""
        if report.phase is Phase.DOWN:
            return True
        since = self.draining.get(report.endpoint)
        if since is None or report.phase is not Phase.SERVING:
            return False
        waited = self.clock.monotonic() - since
        return report.in_flight == 0 or waited > DRAIN_LIMIT

    async def order(self, report: EndpointReport) -> None:
        """Order the desired state of an endpoint, if this process may still act."""
        # A pause since the round began is discovered here, before the send.
        fence = self.lease.fence(ORDER_TIMEOUT)
        if fence is None or fence != self.fence:
            return
        self.sequence += 1
        order = EndpointOrder(report.endpoint, fence, self.sequence, report.wanted)
        outcome = await self.send(order)
        if outcome.is_error():
            log.warning("order was not confirmed", error=str(outcome.error))
