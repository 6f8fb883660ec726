"""Carries out placements."""

import asyncio
import time
from collections.abc import Callable

import aiohttp
import attrs

from lentilhaven.core.logs import get_logger
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.engine_spec import EngineSpec
from lentilhaven.fleet.fleet_view import FleetView
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.placement.plan import plan_layers, plan_moves
from lentilhaven.platform.engine_calls import (
    OrderOutcome,
    fetch_report,
    order_layers,
)

#: Seconds to wait for an engine's answer.
CALL_TIMEOUT = 1.0

#: Seconds between two looks at the fleet if nothing changes.
INTERVAL = 0.5

#: Seconds after which an order that does not show is given up: one that got no
#: answer may be carried out as late as this.
ORDER_TIMEOUT = 6.0

#: Seconds added for each layer that is loaded, while others load too.
LAYER_TIMEOUT = 1.0

#: Seconds without a new engine after which the first placement begins: engines
#: that start together are better placed together.
GATHER_TIME = 1.0

#: Engines that may be under way to other layers at a time, so that what is left
#: still serves.
MOST_MOVES = 4

#: Seconds after an order within which an engine is not moved again.
MOVE_PAUSE = 6.0

#: Seconds for which the lease must still be held when an order is sent.
ORDER_SPAN = 0.2

log = get_logger("placement")


@attrs.define
class Ordered:
    """
    An order that does not show in the engine's entry yet.

    Attributes
    ----------
    incarnation : tuple of (str, int)
        To whom it was sent.
    layers : LayerSpan
        What was ordered.
    sent : float
        Monotonic time, in seconds.
    """

    incarnation: tuple[str, int]
    layers: LayerSpan
    sent: float


@attrs.define
class Placer:
    """
    Fills engines while this process holds the lease.

    Attributes
    ----------
    view : FleetView
        The engines.
    session : aiohttp.ClientSession
        Connections to engines.
    fence : callable
        Takes seconds and returns the lease's fencing number, or None if the
        lease is not certain to be held that long.
    is_suspected : callable
        Returns whether an engine is thought to be dead.
    ordered : dict
        `Ordered` by the engine's id.
    settled : dict
        Model and engines for which nothing was to be done, by service: a plan
        takes a tenth of a second at 93 engines.
    moved_at : dict
        Monotonic time of the last order, by the engine's incarnation.
    engines_seen : frozenset of str
        Ids of the engines at the last look.
    engines_since : float
        Monotonic time at which they became these, in seconds.
    monotonic : callable
        Returns seconds.
    """

    view: FleetView
    session: aiohttp.ClientSession
    fence: Callable[[float], int | None]
    is_suspected: Callable[[Endpoint], bool]
    ordered: dict[str, Ordered] = attrs.field(factory=dict)
    settled: dict[str, tuple[EngineSpec, frozenset]] = attrs.field(factory=dict)
    moved_at: dict[tuple[str, int], float] = attrs.field(factory=dict)
    engines_seen: frozenset[str] = frozenset()
    engines_since: float = 0.0
    monotonic: Callable[[], float] = time.monotonic

    async def run(self) -> None:
        """Place whenever the fleet changes, for ever."""
        while True:
            if self.fence(ORDER_SPAN) is not None:
                await self.place_all()
            await self.wait_for_change()

    async def wait_for_change(self) -> None:
        """Wait until the endpoints change, but not for long."""
        seen = self.view.endpoints_revision

        def changed() -> bool:
            return self.view.endpoints_revision != seen

        await self.view.changed.wait_until(changed, INTERVAL)

    async def place_all(self) -> None:
        """Plan for each model, and order what is missing."""
        self.settle()
        manifest = self.view.manifest
        for service in manifest.services.values() if manifest else ():
            if service.engine is None or not service.engine.layers:
                continue
            wanted = self.missing(service.name, service.engine)
            if wanted:
                log.info(
                    "placement planned",
                    service=service.name,
                    orders=len(wanted),
                    revision=self.view.endpoints_revision,
                )
            await asyncio.gather(*(self.order(*pair) for pair in wanted))

    def missing(
        self, service: str, spec: EngineSpec
    ) -> list[tuple[Endpoint, LayerSpan]]:
        """Return the engines to order, with what they are to hold."""
        engines = [
            engine
            for engine in self.view.of_service(service)
            if not self.is_suspected(engine)
        ]
        if not self.may_begin(engines) or self.is_settled(service, spec, engines):
            return []
        pending = {name: order.layers for name, order in self.ordered.items()}
        plan = plan_layers(spec, engines, pending)
        moves = {}
        if len(pending) < MOST_MOVES:
            moves = plan_moves(
                spec, engines, plan, self.is_movable, MOST_MOVES - len(pending)
            )
        wanted = [
            (engine, moves.get(engine.id) or plan[engine.id])
            for engine in engines
            if engine.id in plan
            and engine.id not in pending
            and (engine.layers is None or engine.id in moves)
        ]
        if not wanted and not pending:
            self.settled[service] = (spec, self.state_of(engines))
        return wanted

    def is_settled(
        self, service: str, spec: EngineSpec, engines: list[Endpoint]
    ) -> bool:
        """Return whether nothing was to be done for the same engines before."""
        state = (spec, self.state_of(engines))
        return not self.ordered and self.settled.get(service) == state

    def state_of(self, engines: list[Endpoint]) -> frozenset[tuple[Endpoint, bool]]:
        """Return what a plan depends on: the engines, and which may be moved."""
        return frozenset((it, self.is_movable(it)) for it in engines)

    def is_movable(self, engine: Endpoint) -> bool:
        """Return whether an engine may be given other layers now."""
        if engine.layers is None or engine.id in self.ordered:
            return False
        moved_at = self.moved_at.get(engine.incarnation, -MOVE_PAUSE)
        return self.monotonic() - moved_at >= MOVE_PAUSE

    def may_begin(self, engines: list[Endpoint]) -> bool:
        """Return whether engines are placed now, or more are waited for."""
        found = frozenset(engine.id for engine in engines)
        now = self.monotonic()
        if found != self.engines_seen:
            self.engines_seen = found
            self.engines_since = now
        if self.ordered or any(engine.layers for engine in engines):
            return True
        return now - self.engines_since >= GATHER_TIME

    def settle(self) -> None:
        """Forget orders that show, and those of engines that are gone."""
        for name, order in list(self.ordered.items()):
            engine = self.view.endpoints.get(name)
            if engine is None or engine.incarnation != order.incarnation:
                del self.ordered[name]
            elif engine.layers == order.layers:
                del self.ordered[name]
            elif self.monotonic() - order.sent > self.patience(order):
                log.info("order did not take effect", endpoint=name)
                del self.ordered[name]

    def patience(self, order: Ordered) -> float:
        """Return how long an order may take, in seconds."""
        return ORDER_TIMEOUT + len(order.layers) * LAYER_TIMEOUT

    async def order(self, engine: Endpoint, layers: LayerSpan) -> None:
        """Order one engine to hold a range."""
        report = await fetch_report(self.session, engine, CALL_TIMEOUT)
        if report.is_error():
            log.info(
                "engine does not report", endpoint=engine.id, detail=str(report.error)
            )
            return
        found = report.ok
        if found.busy or found.layers != engine.layers:
            return
        fence = self.fence(ORDER_SPAN)
        if fence is None:
            return
        now = self.monotonic()
        self.ordered[engine.id] = Ordered(engine.incarnation, layers, now)
        self.moved_at[engine.incarnation] = now
        outcome = await order_layers(
            self.session, engine, layers, fence, found.orders, CALL_TIMEOUT
        )
        log.info(
            "engine ordered",
            endpoint=engine.id,
            layers=f"{layers.start}-{layers.end}",
            before=f"{held.start}-{held.end}" if (held := engine.layers) else "",
            card=engine.card,
            fence=fence,
            orders=found.orders,
            outcome=outcome.value,
        )
        if outcome not in (
            OrderOutcome.BEGUN,
            OrderOutcome.HOLDS,
            OrderOutcome.UNKNOWN,
        ):
            self.ordered.pop(engine.id, None)
