import asyncio
import unittest

import attrs

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.engine_spec import CardKind, EngineSpec
from lentilhaven.fleet.fleet_view import FleetView
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.fleet.manifest import Manifest
from lentilhaven.fleet.service_spec import ServiceSpec
from lentilhaven.placement.placer import (
    GATHER_TIME,
    LAYER_TIMEOUT,
    ORDER_TIMEOUT,
    Ordered,
    Placer,
)


class Time:
    """A clock that a test sets."""

    def __init__(self):
        self.now = 100.0

    def read(self):
        """Return the time."""
        return self.now


def make_placer(time, fence=1):
    """Return a placer that sends nothing."""
    view = FleetView(monotonic=time.read)
    return Placer(view, None, lambda span: fence, lambda it: False, monotonic=time.read)


def engine(name, layers=None, born=1):
    """Return an engine."""
    return Endpoint(name, "gen", name, "a", born=born, card="k", layers=layers)


class GatherTests(unittest.TestCase):
    """Pattern: engines register one after the other at the first start."""

    def test_the_first_placement_waits_until_no_more_come(self):
        time = Time()
        placer = make_placer(time)
        self.assertFalse(placer.may_begin([engine("a")]))
        time.now += GATHER_TIME * 0.9
        self.assertFalse(placer.may_begin([engine("a"), engine("b")]))
        time.now += GATHER_TIME
        self.assertTrue(placer.may_begin([engine("a"), engine("b")]))

    def test_later_ones_are_placed_at_once(self):
        placer = make_placer(Time())
        held = engine("a", LayerSpan(0, 4))
        self.assertTrue(placer.may_begin([held, engine("b")]))


class SettledTests(unittest.TestCase):
    """Pattern: nothing changes, and a plan of many engines takes long."""

    def setUp(self):
        self.time = Time()
        self.placer = make_placer(self.time)
        cards = {"k": CardKind("k", 8000.0)}
        self.spec = EngineSpec("m", 4, 1000.0, 1e6, cards)
        self.held = engine("a", LayerSpan(0, 4))
        self.put(self.held)
        self.assertEqual(self.placer.missing("gen", self.spec), [])

    def put(self, *engines):
        self.placer.view.endpoints = {it.id: it for it in engines}

    def is_settled(self):
        engines = self.placer.view.of_service("gen")
        return self.placer.is_settled("gen", self.spec, engines)

    def test_it_is_not_planned_again(self):
        self.assertTrue(self.is_settled())

    def test_a_new_engine_is_planned_for(self):
        self.put(self.held, engine("b"))
        self.assertFalse(self.is_settled())
        self.assertEqual(len(self.placer.missing("gen", self.spec)), 1)

    def test_an_engine_that_may_be_moved_again_is_planned_for(self):
        self.placer.moved_at[self.held.incarnation] = self.time.now
        self.assertFalse(self.is_settled())

    def test_another_model_is_planned_for(self):
        self.spec = attrs.evolve(self.spec, layer_mb=900.0)
        self.assertFalse(self.is_settled())


class SettleTests(unittest.TestCase):
    def setUp(self):
        self.time = Time()
        self.placer = make_placer(self.time)
        self.span = LayerSpan(0, 4)
        self.placer.ordered["a"] = Ordered(("a", 1), self.span, self.time.now)

    def settle_with(self, *engines):
        self.placer.view.replace_endpoints(engines, 1, "test")
        self.placer.settle()
        return "a" in self.placer.ordered

    def test_an_order_that_shows_is_done(self):
        self.assertFalse(self.settle_with(engine("a", self.span)))

    def test_one_that_does_not_show_yet_holds_off_others(self):
        self.assertTrue(self.settle_with(engine("a")))

    def test_one_to_an_engine_that_started_again_is_void(self):
        self.assertFalse(self.settle_with(engine("a", born=2)))

    def test_one_to_an_engine_that_is_gone_is_void(self):
        self.assertFalse(self.settle_with())

    def test_one_that_never_shows_is_given_up(self):
        self.assertTrue(self.settle_with(engine("a")))
        self.time.now += ORDER_TIMEOUT + 4 * LAYER_TIMEOUT + 0.1
        self.placer.settle()
        self.assertNotIn("a", self.placer.ordered)


class FenceTests(unittest.TestCase):
    def run_for_a_while(self, fence):
        time = Time()
        placer = make_placer(time, fence)
        spec = EngineSpec("m", 8, 1.0, 1.0, {"k": CardKind("k", 100.0)})
        service = ServiceSpec("gen", engine=spec)
        placer.view.adopt_manifest(Manifest(1, {}, {"gen": service}), 1, "test")
        placer.view.replace_endpoints([engine("a")], 1, "test")
        placer.engines_seen = frozenset({"a"})
        tried = []

        async def main():
            task = asyncio.ensure_future(placer.run())
            await asyncio.sleep(0.05)
            tried.append(task.done())
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        asyncio.run(main())
        return tried[0]

    def test_without_the_lease_no_engine_is_asked(self):
        # There is no session, so that asking an engine ends the task.
        self.assertFalse(self.run_for_a_while(None))
        self.assertTrue(self.run_for_a_while(1))
