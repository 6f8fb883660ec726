import unittest

import attrs

from lentilhaven.chains.chain_search import Candidate, find_chain
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.engine_spec import AcceleratorType, EngineSpec
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.placement.plan import plan_layers, plan_moves

CARDS = {
    "large": AcceleratorType("large", 72_000.0, 2.4, 3.2),
    "middle": AcceleratorType("middle", 14_400.0, 5.3, 7.9),
    "slow": AcceleratorType("slow", 21_600.0, 16.0, 8.2),
}

SPEC = EngineSpec(
    "m", 80, 1750.0, 1_180_000.0, CARDS, step_ms=1.0, mean_kv_tokens=50_000.0
)


def fleet(**counts):
    """Return empty engines; each argument gives a data centre's counts by kind."""
    engines = []
    for data_centre, numbers in counts.items():
        for card, count in zip(CARDS, numbers, strict=True):
            for number in range(count):
                name = f"{data_centre}-{card}-{number}"
                engines.append(Endpoint(name, "gen", name, data_centre, card=card))
    return engines


MONTERREY = fleet(a=(1, 6, 6), b=(1, 10, 4), c=(2, 4, 4))


def make_candidates(engines, plan):
    """Return chain candidates that hold the planned ranges."""
    return [
        Candidate(
            Endpoint(
                engine.id,
                "gen",
                engine.id,
                engine.data_centre,
                layers=plan[engine.id],
            ),
            1.0,
        )
        for engine in engines
        if engine.id in plan
    ]


def has_local_chain(engines, plan, data_centre, without=()):
    """Return whether the engines of a data centre hold all layers."""
    local = [
        engine
        for engine in engines
        if engine.data_centre == data_centre and engine.id not in without
    ]
    found = find_chain(
        LayerSpan(0, 80), make_candidates(local, plan), lambda one, other: 0.0
    )
    return found is not None


def plan_full_engines(engines):
    """Return a naive plan: each engine holds as many layers as fit, in turn."""
    plan, at = {}, 0
    for engine in engines:
        size = SPEC.max_layers(engine.card)
        start = at if at + size <= 80 else 80 - size
        plan[engine.id] = LayerSpan(start, start + size)
        at = 0 if at + size >= 80 else at + size
    return plan


def bottleneck_tokens(engines, plan):
    """Return the tokens that fit beside the weights of the layer with least room."""
    tokens = [0.0] * 80
    for engine in engines:
        span = plan[engine.id]
        for layer in range(span.start, span.end):
            tokens[layer] += SPEC.max_cached_tokens(engine.card, len(span))
    return min(tokens)


class PlanTests(unittest.TestCase):
    def test_each_data_centre_holds_all_layers(self):
        plan = plan_layers(SPEC, MONTERREY, {})
        for name in "abc":
            self.assertTrue(has_local_chain(MONTERREY, plan, name), name)

    def test_no_engine_holds_more_than_fits(self):
        plan = plan_layers(SPEC, MONTERREY, {})
        for engine in MONTERREY:
            span = plan[engine.id]
            self.assertLessEqual(
                len(span) * SPEC.layer_mb, CARDS[engine.card].memory_mb
            )
            self.assertTrue(0 <= span.start < span.end <= 80)

    def test_loss_of_any_engine_leaves_a_chain(self):
        """Guards against a single point of failure, such as a shared first stage."""
        plan = plan_layers(SPEC, MONTERREY, {})
        for lost in MONTERREY:
            left = [engine for engine in MONTERREY if engine is not lost]
            found = find_chain(
                LayerSpan(0, 80), make_candidates(left, plan), lambda a, b: 0.0
            )
            self.assertIsNotNone(found, lost.id)

    def test_plan_has_more_room_for_requests_than_full_engines(self):
        """Guards against refusals: an engine with full memory refuses requests."""
        plan = plan_layers(SPEC, MONTERREY, {})
        naive = bottleneck_tokens(MONTERREY, plan_full_engines(MONTERREY))
        self.assertGreater(bottleneck_tokens(MONTERREY, plan), 2 * naive)

    def test_engines_that_hold_layers_keep_them(self):
        plan = plan_layers(SPEC, MONTERREY, {})
        held = [
            Endpoint(
                engine.id,
                "gen",
                engine.id,
                engine.data_centre,
                card=engine.card,
                layers=plan[engine.id],
            )
            for engine in MONTERREY
        ]
        self.assertEqual(plan_layers(SPEC, held, {}), plan)

    def test_engine_of_unknown_kind_is_not_planned(self):
        unknown = Endpoint("x", "gen", "x", "a", card="unheard-of")
        self.assertEqual(plan_layers(SPEC, [unknown], {}), {})

    def test_empty_fleet_and_fleet_of_one_engine(self):
        self.assertEqual(plan_layers(SPEC, [], {}), {})
        small = EngineSpec("m", 4, 1000.0, 1000.0, CARDS)
        plan = plan_layers(small, fleet(a=(1, 0, 0)), {})
        self.assertEqual(list(plan.values()), [LayerSpan(0, 4)])


class MoveTests(unittest.TestCase):
    def test_balanced_fleet_has_no_moves(self):
        plan = plan_layers(SPEC, MONTERREY, {})
        self.assertEqual(plan_moves(SPEC, MONTERREY, plan, lambda engine: True, 4), {})

    def test_engines_take_over_the_layers_of_a_lost_engine(self):
        """Guards against lasting gaps: the only holder of many layers is lost."""
        plan = plan_layers(SPEC, MONTERREY, {})
        lost = next(engine for engine in MONTERREY if engine.id == "c-large-0")
        left = [engine for engine in MONTERREY if engine is not lost]
        current = {name: span for name, span in plan.items() if name != lost.id}
        for _ in range(4):
            current |= plan_moves(SPEC, left, current, lambda engine: True, 4)
        found = find_chain(
            LayerSpan(0, 80), make_candidates(left, current), lambda a, b: 0.0
        )
        self.assertIsNotNone(found)
        before = bottleneck_tokens(
            left, {name: span for name, span in plan.items() if name != lost.id}
        )
        self.assertGreaterEqual(bottleneck_tokens(left, current), before)

    def test_only_movable_engines_move(self):
        plan = plan_layers(SPEC, MONTERREY, {})
        left = [engine for engine in MONTERREY if engine.id != "c-large-0"]
        self.assertEqual(plan_moves(SPEC, left, plan, lambda engine: False, 4), {})


class LargeFleetTests(unittest.TestCase):
    def test_each_data_centre_of_a_large_fleet_holds_all_layers(self):
        engines = fleet(a=(3, 14, 16), b=(2, 24, 9), c=(4, 10, 11))
        plan = plan_layers(SPEC, engines, {})
        for name in "abc":
            self.assertTrue(has_local_chain(engines, plan, name), name)


class StartTests(unittest.TestCase):
    """
    Guards against chains that all begin on the same few engines.

    Crashes on arrival, slots and the limits that engines name bind the engine on which
    a chain begins.
    """

    #: Number of engines that a request which crashes them may end.
    MAX_CRASHES = 3

    def starts(self, engines, plan):
        """Return the engines on which chains can begin."""
        return [it for it in engines if it.id in plan and plan[it.id].start == 0]

    def test_chains_begin_in_every_data_centre_after_three_crashes(self):
        engines = MONTERREY
        starts = self.starts(engines, plan_layers(SPEC, engines, {}))
        self.assertGreaterEqual(len(starts), self.MAX_CRASHES + 2)
        self.assertEqual({it.data_centre for it in starts}, {"a", "b", "c"})

    def test_number_grows_with_the_fleet(self):
        engines = fleet(a=(3, 14, 16), b=(2, 24, 9), c=(4, 10, 11))
        starts = self.starts(engines, plan_layers(SPEC, engines, {}))
        self.assertGreaterEqual(len(starts), 12)

    def test_other_layers_have_no_fewer_copies(self):
        plan = plan_layers(SPEC, MONTERREY, {})
        holders = [
            sum(span.start <= layer < span.end for span in plan.values())
            for layer in range(SPEC.layers)
        ]
        self.assertGreaterEqual(min(holders), 3)

    def test_engines_that_come_back_begin_chains_again(self):
        plan = plan_layers(SPEC, MONTERREY, {})
        lost = {it.id for it in self.starts(MONTERREY, plan)[: self.MAX_CRASHES]}
        engines = [
            it if it.id in lost else attrs.evolve(it, layers=plan[it.id])
            for it in MONTERREY
        ]
        again = plan_layers(SPEC, engines, {})
        self.assertGreaterEqual(
            len(self.starts(engines, again)), len(self.starts(MONTERREY, plan))
        )
