import unittest

from lentilhaven.chains.chain_search import Candidate, find_chain
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.engine_spec import CardKind, EngineSpec
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.placement.plan import plan_layers, plan_moves

CARDS = {
    "large": CardKind("large", 72_000.0, 2.4, 3.2),
    "middle": CardKind("middle", 14_400.0, 5.3, 7.9),
    "slow": CardKind("slow", 21_600.0, 16.0, 8.2),
}

SPEC = EngineSpec(
    "m", 80, 1750.0, 1_180_000.0, CARDS, step_ms=1.0, usual_state_tokens=50_000.0
)


def fleet(**counts):
    """Return empty engines: data centre by name, with counts of each kind."""
    engines = []
    for place, numbers in counts.items():
        for card, count in zip(CARDS, numbers, strict=True):
            for number in range(count):
                name = f"{place}-{card}-{number}"
                engines.append(Endpoint(name, "gen", name, place, card=card))
    return engines


MONTERREY = fleet(a=(1, 6, 6), b=(1, 10, 4), c=(2, 4, 4))


def place(engines, plan):
    """Return candidates that hold what was planned."""
    return [
        Candidate(
            Endpoint(it.id, "gen", it.id, it.data_centre, layers=plan[it.id]), 1.0
        )
        for it in engines
        if it.id in plan
    ]


def chain_within(engines, plan, place_name, without=()):
    """Return whether a data centre holds all layers by itself."""
    here = [
        it for it in engines if it.data_centre == place_name and it.id not in without
    ]
    found = find_chain(LayerSpan(0, 80), place(here, plan), lambda one, other: 0.0)
    return found is not None


def pack_to_the_brim(engines):
    """Return a naive plan: each engine as full as it can be, one after the other."""
    plan, at = {}, 0
    for engine in engines:
        size = SPEC.most_layers(engine.card)
        start = at if at + size <= 80 else 80 - size
        plan[engine.id] = LayerSpan(start, start + size)
        at = 0 if at + size >= 80 else at + size
    return plan


def narrowest(engines, plan):
    """Return the tokens that fit beside the weights at the narrowest layer."""
    room = [0.0] * 80
    for engine in engines:
        span = plan[engine.id]
        for layer in range(span.start, span.end):
            room[layer] += SPEC.tokens_beside(engine.card, len(span))
    return min(room)


class PlanTests(unittest.TestCase):
    def test_each_data_centre_holds_all_layers(self):
        plan = plan_layers(SPEC, MONTERREY, {})
        for name in "abc":
            self.assertTrue(chain_within(MONTERREY, plan, name), name)

    def test_no_engine_is_to_hold_more_than_fits(self):
        plan = plan_layers(SPEC, MONTERREY, {})
        for engine in MONTERREY:
            span = plan[engine.id]
            self.assertLessEqual(
                len(span) * SPEC.layer_mb, CARDS[engine.card].memory_mb
            )
            self.assertTrue(0 <= span.start < span.end <= 80)

    def test_the_loss_of_any_engine_leaves_a_chain(self):
        """Pattern: loss of a shared first stage, or of any other."""
        plan = plan_layers(SPEC, MONTERREY, {})
        for lost in MONTERREY:
            left = [it for it in MONTERREY if it is not lost]
            found = find_chain(LayerSpan(0, 80), place(left, plan), lambda a, b: 0.0)
            self.assertIsNotNone(found, lost.id)

    def test_there_is_more_room_for_requests_than_if_all_are_filled(self):
        """Pattern: requests are refused where an engine's memory is full."""
        plan = plan_layers(SPEC, MONTERREY, {})
        naive = narrowest(MONTERREY, pack_to_the_brim(MONTERREY))
        self.assertGreater(narrowest(MONTERREY, plan), 2 * naive)

    def test_engines_that_hold_layers_keep_them(self):
        plan = plan_layers(SPEC, MONTERREY, {})
        held = [
            Endpoint(
                it.id, "gen", it.id, it.data_centre, card=it.card, layers=plan[it.id]
            )
            for it in MONTERREY
        ]
        self.assertEqual(plan_layers(SPEC, held, {}), plan)

    def test_an_unknown_kind_is_left_alone(self):
        strange = Endpoint("x", "gen", "x", "a", card="unheard-of")
        self.assertEqual(plan_layers(SPEC, [strange], {}), {})

    def test_one_engine_fleets_and_empty_ones(self):
        self.assertEqual(plan_layers(SPEC, [], {}), {})
        small = EngineSpec("m", 4, 1000.0, 1000.0, CARDS)
        plan = plan_layers(small, fleet(a=(1, 0, 0)), {})
        self.assertEqual(list(plan.values()), [LayerSpan(0, 4)])


class MoveTests(unittest.TestCase):
    def test_a_fleet_that_lacks_nothing_stays(self):
        plan = plan_layers(SPEC, MONTERREY, {})
        self.assertEqual(plan_moves(SPEC, MONTERREY, plan, lambda it: True, 4), {})

    def test_engines_move_into_the_gap_that_a_lost_one_leaves(self):
        """Pattern: loss of the engine that alone holds many layers."""
        plan = plan_layers(SPEC, MONTERREY, {})
        lost = next(it for it in MONTERREY if it.id == "c-large-0")
        left = [it for it in MONTERREY if it is not lost]
        now = {name: span for name, span in plan.items() if name != lost.id}
        for _ in range(4):
            now |= plan_moves(SPEC, left, now, lambda it: True, 4)
        found = find_chain(LayerSpan(0, 80), place(left, now), lambda a, b: 0.0)
        self.assertIsNotNone(found)
        before = narrowest(left, {k: v for k, v in plan.items() if k != lost.id})
        self.assertGreaterEqual(narrowest(left, now), before)

    def test_only_engines_that_may_be_ordered_move(self):
        plan = plan_layers(SPEC, MONTERREY, {})
        left = [it for it in MONTERREY if it.id != "c-large-0"]
        self.assertEqual(plan_moves(SPEC, left, plan, lambda it: False, 4), {})


class CostTests(unittest.TestCase):
    def test_larger_fleets_are_planned_alike(self):
        grown = fleet(a=(3, 14, 16), b=(2, 24, 9), c=(4, 10, 11))
        plan = plan_layers(SPEC, grown, {})
        for name in "abc":
            self.assertTrue(chain_within(grown, plan, name), name)
