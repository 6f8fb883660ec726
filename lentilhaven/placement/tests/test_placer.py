import asyncio
import unittest

import attrs

from lentilhaven.core.store_position import StorePosition
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.engine_spec import AcceleratorType, EngineSpec
from lentilhaven.fleet.fleet_view import FleetView
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.fleet.manifest import Manifest
from lentilhaven.fleet.service_spec import ServiceSpec
from lentilhaven.placement.load_failures import subjects_of_order
from lentilhaven.placement.placer import (
    FIRST_PLACEMENT_DELAY,
    ORDER_TIMEOUT,
    TIMEOUT_PER_LAYER,
    PendingOrder,
    Placer,
)

AT_1, AT_2 = StorePosition(0, 1), StorePosition(0, 2)


class ManualClock:
    """A clock whose time a test sets."""

    def __init__(self):
        self.now = 100.0

    def read(self):
        """Return the time."""
        return self.now


def make_placer(clock, token=1):
    """Return a placer without a session, which can't call engines."""
    view = FleetView(monotonic=clock.read)
    return Placer(
        view, None, lambda seconds: token, lambda endpoint: False, monotonic=clock.read
    )


def engine(name, layers=None, born=1):
    """Return an engine."""
    return Endpoint(name, "gen", name, "a", born=born, card="k", layers=layers)


class FirstPlacementTests(unittest.TestCase):
    """Guards against poor plans: engines register one by one at the first start."""

    def test_first_placement_waits_until_no_more_engines_register(self):
        clock = ManualClock()
        placer = make_placer(clock)
        self.assertFalse(placer.may_begin([engine("a")]))
        clock.now += FIRST_PLACEMENT_DELAY * 0.9
        self.assertFalse(placer.may_begin([engine("a"), engine("b")]))
        clock.now += FIRST_PLACEMENT_DELAY
        self.assertTrue(placer.may_begin([engine("a"), engine("b")]))

    def test_later_engines_are_placed_at_once(self):
        placer = make_placer(ManualClock())
        held = engine("a", LayerSpan(0, 4))
        self.assertTrue(placer.may_begin([held, engine("b")]))


class ConvergedTests(unittest.TestCase):
    """Guards against repeating plans for unchanged engines: they take long."""

    def setUp(self):
        self.clock = ManualClock()
        self.placer = make_placer(self.clock)
        cards = {"k": AcceleratorType("k", 8000.0)}
        self.spec = EngineSpec("m", 4, 1000.0, 1e6, cards)
        self.held = engine("a", LayerSpan(0, 4))
        self.put(self.held)
        self.assertEqual(self.placer.required_orders("gen", self.spec), [])

    def put(self, *engines):
        self.placer.view.endpoints = {endpoint.id: endpoint for endpoint in engines}

    def has_converged(self):
        engines = self.placer.view.of_service("gen")
        return self.placer.has_converged("gen", self.spec, engines)

    def test_unchanged_engines_are_not_planned_again(self):
        self.assertTrue(self.has_converged())

    def test_new_engine_is_planned_for(self):
        self.put(self.held, engine("b"))
        self.assertFalse(self.has_converged())
        self.assertEqual(len(self.placer.required_orders("gen", self.spec)), 1)

    def test_change_of_movable_engines_is_planned_for(self):
        self.placer.ordered_at[self.held.incarnation] = self.clock.now
        self.assertFalse(self.has_converged())

    def test_changed_model_is_planned_for(self):
        self.spec = attrs.evolve(self.spec, layer_mb=900.0)
        self.assertFalse(self.has_converged())


class PendingOrderTests(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.placer = make_placer(self.clock)
        self.span = LayerSpan(0, 4)
        self.placer.pending["a"] = PendingOrder(("a", 1), self.span, self.clock.now)

    def pending_after(self, *engines):
        self.placer.view.replace_endpoints(engines, AT_1, "test")
        self.placer.drop_finished_orders()
        return "a" in self.placer.pending

    def test_order_shown_in_the_entry_is_finished(self):
        self.assertFalse(self.pending_after(engine("a", self.span)))

    def test_order_not_shown_yet_stays_pending(self):
        self.assertTrue(self.pending_after(engine("a")))

    def test_order_to_restarted_engine_is_dropped(self):
        self.assertFalse(self.pending_after(engine("a", born=2)))

    def test_order_to_vanished_engine_is_dropped(self):
        self.assertFalse(self.pending_after())

    def test_order_that_never_takes_effect_expires(self):
        self.assertTrue(self.pending_after(engine("a")))
        self.clock.now += ORDER_TIMEOUT + 4 * TIMEOUT_PER_LAYER + 0.1
        self.placer.drop_finished_orders()
        self.assertNotIn("a", self.placer.pending)


class LostOrderTests(unittest.TestCase):
    """Guards against ends that are counted although no engine ended under its order."""

    def setUp(self):
        self.clock = ManualClock()
        self.placer = make_placer(self.clock)
        self.view = self.placer.view
        self.span = LayerSpan(0, 4)
        self.names = ("a", "b", "c")
        self.put(AT_1, *(engine(name) for name in self.names))
        for name in self.names:
            subjects = subjects_of_order(engine(name), self.span)
            self.placer.pending[name] = PendingOrder(
                (name, 1), self.span, 100.0, name, subjects
            )

    def put(self, position, *engines):
        self.view.replace_endpoints(engines, position, "test")

    def is_withheld(self):
        """Return whether another engine would not be ordered to hold the layers."""
        self.placer.drop_finished_orders()
        self.assertEqual(self.placer.pending, {})
        return self.placer.must_withhold(engine("d"), self.span)

    def test_ended_engines_count(self):
        self.put(AT_2)
        self.assertTrue(self.is_withheld())

    def test_engine_that_ends_again_and_again_counts_once(self):
        failures = self.placer.load_failures
        subjects = subjects_of_order(engine("a"), self.span)
        for number in range(5):
            failures.note_end("a", subjects, 100.0 + number)
        self.placer.pending.clear()
        self.assertFalse(self.is_withheld())

    def test_restarted_engines_count(self):
        self.put(AT_2, *(engine(name, born=2) for name in self.names))
        self.assertTrue(self.is_withheld())

    def test_engine_that_leaves_does_not_count(self):
        self.view.mark_leaving(("a", 1), "test")
        self.put(AT_2)
        self.assertFalse(self.is_withheld())

    def test_engines_that_a_failing_store_does_not_list_do_not_count(self):
        self.view.record_store_failure()
        self.put(AT_2)
        self.assertFalse(self.is_withheld())

    def test_engines_that_a_restored_store_does_not_list_do_not_count(self):
        self.view.era.learn(1, "test")
        self.put(StorePosition(1, 1))
        self.clock.now += 10.0
        self.view.expire()
        self.assertFalse(self.is_withheld())

    def test_layers_that_another_engine_has_loaded_since_are_ordered(self):
        self.put(AT_2, engine("a", self.span))
        self.assertFalse(self.is_withheld())


class LeaseTests(unittest.TestCase):
    def fails_soon(self, token):
        """Return whether the placer's task ends within 0.05 s."""
        clock = ManualClock()
        placer = make_placer(clock, token)
        spec = EngineSpec("m", 8, 1.0, 1.0, {"k": AcceleratorType("k", 100.0)})
        service = ServiceSpec("gen", engine=spec)
        placer.view.adopt_manifest(Manifest(1, {}, {"gen": service}), AT_1, "test")
        placer.view.replace_endpoints([engine("a")], AT_1, "test")
        placer.known_engines = frozenset({"a"})
        done = []

        async def main():
            task = asyncio.ensure_future(placer.run())
            await asyncio.sleep(0.05)
            done.append(task.done())
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

        asyncio.run(main())
        return done[0]

    def test_no_engine_is_called_without_the_lease(self):
        # The placer has no session, so a call to an engine fails and ends the task.
        self.assertFalse(self.fails_soon(None))
        self.assertTrue(self.fails_soon(1))
