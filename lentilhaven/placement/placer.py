"""Carries out placement plans by sending orders to engines."""

import asyncio
import math
import time
from collections.abc import Callable

import aiohttp
import attrs

from lentilhaven.core.logs import get_logger
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.engine_spec import EngineSpec
from lentilhaven.fleet.fleet_view import FleetView
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.peering.subject import Incarnation, Subject
from lentilhaven.placement.load_failures import (
    LoadFailures,
    size_subject,
    subjects_of_order,
)
from lentilhaven.placement.plan import order_size, plan_layers, plan_moves
from lentilhaven.platform.engine_calls import (
    EngineReport,
    NoteHead,
    OrderOutcome,
    fetch_report,
    order_layers,
)

#: Seconds after which a call to an engine times out.
CALL_TIMEOUT = 1.0

#: Maximum time between two checks of the fleet if no endpoint changes, in seconds.
CHECK_INTERVAL = 0.5

#: Seconds, in addition to `TIMEOUT_PER_LAYER`, after which an order expires if the
#: engine's entry in the store does not show its layers.  An order without an answer
#: may be carried out as late as this.
ORDER_TIMEOUT = 6.0

#: Seconds added to the order timeout for each layer, to allow for loads on other
#: engines at the same time.
TIMEOUT_PER_LAYER = 1.0

#: Seconds without a new engine after which the first placement begins: engines that
#: start together get a better placement if they are planned together.
FIRST_PLACEMENT_DELAY = 1.0

#: Maximum number of engines that load other layers at the same time, so that the rest
#: can serve.
MAX_CONCURRENT_MOVES = 4

#: Seconds after an order within which an engine is not moved again.
MOVE_COOLDOWN = 6.0

#: Seconds for which the lease must remain valid when an order is sent.
ORDER_LEASE_TIME = 0.2

log = get_logger("placement")


@attrs.define
class PendingOrder:
    """
    An order that the engine's entry in the store does not show yet.

    Attributes
    ----------
    incarnation : tuple of (str, int)
        Incarnation of the engine that received the order.
    layers : LayerSpan
        Range that the engine is to hold.
    sent_at : float
        Monotonic time at which the order was sent, in seconds.
    address : str
        Address of the engine, as ``IP:PORT``.
    subjects : tuple of Subject
        What may be at fault if the engine ends before the order takes effect.
    era : int
        Era of the store in which the order was sent.
    """

    incarnation: Incarnation
    layers: LayerSpan
    sent_at: float
    address: str = ""
    subjects: tuple[Subject, ...] = ()
    era: int = 0


@attrs.define
class Placer:
    """
    Assigns layers to engines while this process holds the placement lease.

    Attributes
    ----------
    view : FleetView
        Manifest and endpoints.
    session : aiohttp.ClientSession
        Connections to engines.
    fencing_number : callable
        Takes seconds and returns the lease's fencing token, or None if the lease
        is not certain to be held for that long.
    is_lost : callable
        Returns whether an engine counts as dead.
    accepts_new_work : callable
        Returns whether an engine may be sent anything new.
    note_head : callable
        Takes an engine and the head of an answer that it has sent.
    pending : dict
        `PendingOrder` by engine id.
    converged : dict
        Inputs of the last plan that required no order, by service: the model, and
        the engines, each with whether it may move.  No plan is made again from the
        same inputs, since a plan takes a tenth of a second for 93 engines.
    load_failures : LoadFailures
        What engines were ordered when they ended.
    withheld_until : dict
        Monotonic time at which an order that was withheld may be sent, in seconds, by
        service.
    ordered_at : dict
        Monotonic time of the last order, in seconds, by incarnation of the engine.
    known_engines : frozenset of str
        Ids of the engines at the last check.
    known_since : float
        Monotonic time since which `known_engines` is the same, in seconds.
    monotonic : callable
        Returns the monotonic time in seconds.
    """

    view: FleetView
    session: aiohttp.ClientSession
    fencing_number: Callable[[float], int | None]
    is_lost: Callable[[Endpoint], bool]
    accepts_new_work: Callable[[Endpoint], bool] = lambda engine: True
    note_head: NoteHead = lambda engine, head: None
    pending: dict[str, PendingOrder] = attrs.field(factory=dict)
    converged: dict[str, tuple[EngineSpec, frozenset]] = attrs.field(factory=dict)
    load_failures: LoadFailures = attrs.field(factory=LoadFailures)
    withheld_until: dict[str, float] = attrs.field(factory=dict)
    ordered_at: dict[tuple[str, int], float] = attrs.field(factory=dict)
    known_engines: frozenset[str] = frozenset()
    known_since: float = 0.0
    monotonic: Callable[[], float] = time.monotonic

    async def run(self) -> None:
        """Place layers whenever the endpoints change, until cancelled."""
        while True:
            if self.fencing_number(ORDER_LEASE_TIME) is not None:
                await self.place_all()
            await self.wait_for_change()

    async def wait_for_change(self) -> None:
        """Wait until the endpoints change, for at most `CHECK_INTERVAL` seconds."""
        seen = self.view.endpoints_position

        def changed() -> bool:
            return self.view.endpoints_position != seen

        await self.view.changed.wait_until(changed, CHECK_INTERVAL)

    async def place_all(self) -> None:
        """Plan for each service with engines, and send the orders that it requires."""
        self.drop_finished_orders()
        manifest = self.view.manifest
        for service in manifest.services.values() if manifest else ():
            if service.engine is None or not service.engine.layers:
                continue
            required = self.required_orders(service.name, service.engine)
            if required:
                log.info(
                    "placement planned",
                    service=service.name,
                    orders=len(required),
                    position=str(self.view.endpoints_position),
                )
            await asyncio.gather(*(self.send_order(*pair) for pair in required))

    def required_orders(
        self, service: str, spec: EngineSpec
    ) -> list[tuple[Endpoint, LayerSpan]]:
        """Return the engines that need an order, each with its new range of layers."""
        engines = [
            engine
            for engine in self.view.of_service(service)
            if not self.is_lost(engine)
        ]
        if not self.may_begin(engines) or self.has_converged(service, spec, engines):
            return []
        self.withheld_until.pop(service, None)
        placeable = [
            engine
            for engine in engines
            if engine.layers is not None
            or engine.id in self.pending
            or not self.is_too_large(service, spec, engine)
        ]
        pending = {name: order.layers for name, order in self.pending.items()}
        plan = plan_layers(spec, placeable, pending)
        moves = {}
        if len(pending) < MAX_CONCURRENT_MOVES:
            moves = plan_moves(
                spec,
                placeable,
                plan,
                self.is_movable,
                MAX_CONCURRENT_MOVES - len(pending),
            )
        required = [
            (engine, moves.get(engine.id) or plan[engine.id])
            for engine in placeable
            if engine.id in plan
            and engine.id not in pending
            and (engine.layers is None or engine.id in moves)
        ]
        required = [it for it in required if not self.must_withhold(*it)]
        if not required and not pending:
            self.converged[service] = (spec, self.plan_inputs(engines))
        return required

    def has_converged(
        self, service: str, spec: EngineSpec, engines: list[Endpoint]
    ) -> bool:
        """Return whether the last plan for the same inputs required no order."""
        if self.pending or self.monotonic() >= self.withheld_until.get(
            service, math.inf
        ):
            return False
        inputs = (spec, self.plan_inputs(engines))
        return self.converged.get(service) == inputs

    def is_too_large(self, service: str, spec: EngineSpec, engine: Endpoint) -> bool:
        """
        Return whether engines of a type end under as many layers as one would get.

        Such an engine is left out of the plan, so that others get the layers.
        """
        size = size_subject(service, engine.card, order_size(spec, engine.card))
        return self.is_withheld(service, (size,))

    def must_withhold(self, engine: Endpoint, layers: LayerSpan) -> bool:
        """Return whether an order would probably end the engine."""
        return self.is_withheld(engine.service, subjects_of_order(engine, layers))

    def is_withheld(self, service: str, subjects: tuple[Subject, ...]) -> bool:
        """Return whether an order must not be sent, and note until when."""
        now = self.monotonic()
        refusal = self.load_failures.find_refusal(subjects, now)
        if refusal is None:
            return False
        until = now + refusal.left
        if until < self.withheld_until.get(service, math.inf):
            self.withheld_until[service] = until
        if self.load_failures.note_withheld(refusal):
            log.info(
                "orders withheld since they end engines",
                service=service,
                subject=refusal.subject.name,
                ends=refusal.ends,
                seconds=round(refusal.left, 3),
            )
        return True

    def plan_inputs(self, engines: list[Endpoint]) -> frozenset[tuple[Endpoint, bool]]:
        """Return the engines that a plan depends on, with whether each may move."""
        return frozenset((engine, self.is_movable(engine)) for engine in engines)

    def is_movable(self, engine: Endpoint) -> bool:
        """Return whether an engine may be assigned other layers now."""
        if engine.layers is None or engine.id in self.pending:
            return False
        ordered_at = self.ordered_at.get(engine.incarnation, -MOVE_COOLDOWN)
        return self.monotonic() - ordered_at >= MOVE_COOLDOWN

    def may_begin(self, engines: list[Endpoint]) -> bool:
        """Return whether to place now rather than wait for more engines to start."""
        names = frozenset(engine.id for engine in engines)
        now = self.monotonic()
        if names != self.known_engines:
            self.known_engines = names
            self.known_since = now
        if self.pending or any(engine.layers for engine in engines):
            return True
        return now - self.known_since >= FIRST_PLACEMENT_DELAY

    def drop_finished_orders(self) -> None:
        """
        Drop orders that took effect or expired.

        Orders to engines that have vanished or restarted are dropped too, as lost with
        the engine.
        """
        now = self.monotonic()
        self.load_failures.expire(now)
        for name, order in list(self.pending.items()):
            engine = self.view.endpoints.get(name)
            if engine is None or engine.incarnation != order.incarnation:
                del self.pending[name]
                self.note_lost(order)
            elif engine.layers == order.layers:
                del self.pending[name]
                self.load_failures.note_loaded(order.subjects, now)
            elif self.monotonic() - order.sent_at > self.order_timeout(order):
                log.info("order did not take effect", endpoint=name)
                del self.pending[name]

    def note_lost(self, order: PendingOrder) -> None:
        """
        Record that an engine has ended before its order took effect.

        One that has announced that it leaves has not ended under the order, and one
        that a failing or restored store does not list may not have ended at all.
        """
        name, _ = order.incarnation
        if order.incarnation in self.view.leaving or name in self.view.retained:
            return
        if order.era != self.view.era.current:
            return
        self.load_failures.note_end(order.address, order.subjects, order.sent_at)
        log.warning(
            "engine ended under an order",
            endpoint=name,
            born=order.incarnation[1],
            layers=f"{order.layers.start}-{order.layers.end}",
        )

    def order_timeout(self, order: PendingOrder) -> float:
        """Return the seconds after which an order expires."""
        return ORDER_TIMEOUT + len(order.layers) * TIMEOUT_PER_LAYER

    def may_order(
        self, engine: Endpoint, layers: LayerSpan, reported: EngineReport
    ) -> bool:
        """Return whether an engine that has just reported may be sent an order."""
        if reported.busy or reported.layers != engine.layers:
            return False
        # Another engine may have begun a trial since the plan was made.
        return self.accepts_new_work(engine) and not self.must_withhold(engine, layers)

    async def send_order(self, engine: Endpoint, layers: LayerSpan) -> None:
        """
        Order an engine to hold a range of layers.

        No order is sent if the engine does not report, is busy or reports other
        layers than its entry in the store, or if the lease is not certain to be held.
        An order that the engine may carry out stays in `pending`.
        """
        if not self.accepts_new_work(engine):
            return
        report = await fetch_report(self.session, engine, CALL_TIMEOUT, self.note_head)
        if report.is_error():
            log.info(
                "engine does not report", endpoint=engine.id, detail=str(report.error)
            )
            return
        reported = report.ok
        if not self.may_order(engine, layers, reported):
            return
        token = self.fencing_number(ORDER_LEASE_TIME)
        if token is None:
            return
        now = self.monotonic()
        subjects = subjects_of_order(engine, layers)
        if self.load_failures.begin_trial(subjects, now):
            log.info("trial of an order that has ended engines", endpoint=engine.id)
        self.pending[engine.id] = PendingOrder(
            engine.incarnation,
            layers,
            now,
            engine.address,
            subjects,
            self.view.era.current,
        )
        self.ordered_at[engine.incarnation] = now
        outcome = await order_layers(
            self.session,
            engine,
            layers,
            token,
            reported.accepted_orders,
            CALL_TIMEOUT,
            self.note_head,
        )
        log.info(
            "engine ordered",
            endpoint=engine.id,
            layers=f"{layers.start}-{layers.end}",
            before=f"{held.start}-{held.end}" if (held := engine.layers) else "",
            card=engine.card,
            fence=token,
            orders=reported.accepted_orders,
            outcome=outcome.value,
        )
        if outcome not in (
            OrderOutcome.BEGUN,
            OrderOutcome.HOLDS,
            OrderOutcome.UNKNOWN,
        ):
            self.pending.pop(engine.id, None)
