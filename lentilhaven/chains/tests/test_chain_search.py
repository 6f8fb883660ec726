import itertools
import unittest
from random import Random

from hypothesis import given, settings, strategies as st

from lentilhaven.chains.chain_costs import ChainCosts
from lentilhaven.chains.chain_search import Candidate, find_chain
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.engine_spec import CardKind, EngineSpec
from lentilhaven.fleet.layer_span import LayerSpan


def held(name, start, end, cost=1.0, place="a"):
    """Return a candidate that holds a range."""
    span = LayerSpan(start, end)
    return Candidate(Endpoint(name, "s", name, place, layers=span), cost)


def hop(one, other):
    """Return the cost of a step between two data centres."""
    return 0.5 if one == other else 3.0


def cheapest(layers, candidates):
    """Return the least cost over all chains in which ends rise, by trying each."""
    best = None
    for count in range(1, len(candidates) + 1):
        for order in itertools.permutations(candidates, count):
            spans = [it.endpoint.layers for it in order]
            ends = [span.end for span in spans]
            if ends != sorted(set(ends)) or ends[-1] < layers:
                continue
            # Costs are linear: changing as early or as late as possible is best.
            choices = [
                {first.end, max(first.start + 1, second.start)}
                for first, second in itertools.pairwise(spans)
            ]
            for cuts in itertools.product(*choices):
                cost = cost_of(layers, order, cuts)
                if cost is not None and (best is None or cost < best):
                    best = cost
    return best


def cost_of(layers, order, cuts):
    """Return the cost of one chain, or None if it does not cover the layers."""
    at, cost = 0, 0.0
    for index, candidate in enumerate(order):
        span = candidate.endpoint.layers
        end = cuts[index] if index < len(cuts) else layers
        if not span.start <= at < end <= span.end:
            return None
        if index:
            cost += hop(
                order[index - 1].endpoint.data_centre, candidate.endpoint.data_centre
            )
        cost += candidate.layer_cost * (end - at)
        at = end
    return cost


class SearchTests(unittest.TestCase):
    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(st.integers(0, 10**6))
    def test_finds_what_trying_each_chain_finds(self, seed):
        random = Random(seed)
        candidates = []
        for index in range(random.randint(1, 5)):
            start = random.randint(0, 4)
            candidates.append(
                held(
                    f"e{index}",
                    start,
                    random.randint(start + 1, 6),
                    random.choice((1.0, 2.0, 5.0)),
                    random.choice("ab"),
                )
            )
        found = find_chain(LayerSpan(0, 6), candidates, hop)
        wanted = cheapest(6, candidates)
        self.assertEqual(found is None, wanted is None)
        if found is not None:
            found.check(6)
            self.assertAlmostEqual(found.cost, wanted)

    def test_no_endpoint_twice_although_another_is_cheaper_in_its_middle(self):
        candidates = [held("long", 0, 8), held("cheap", 3, 5, 0.01)]
        found = find_chain(LayerSpan(0, 8), candidates, hop)
        self.assertEqual([part.id for part in found.endpoints], ["long"])

    def test_a_gap_is_no_chain(self):
        candidates = [held("a", 0, 3), held("b", 4, 8)]
        self.assertIsNone(find_chain(LayerSpan(0, 8), candidates, hop))

    def test_a_part_of_the_layers_can_be_replaced(self):
        candidates = [held("b", 2, 6), held("c", 5, 8)]
        found = find_chain(LayerSpan(3, 7), candidates, hop)
        parts = [(part.id, span.start, span.end) for part, span in found.parts]
        self.assertEqual((parts[0][1], parts[-1][2]), (3, 7))


class CostTests(unittest.TestCase):
    def setUp(self):
        cards = {
            "fast": CardKind("fast", 72_000.0, 2.0, 3.0),
            "slow": CardKind("slow", 21_600.0, 16.0, 8.0),
        }
        self.spec = EngineSpec(
            "m",
            80,
            1750.0,
            1_180_000.0,
            cards,
            step_ms=1.0,
            step_ms_per_sequence=0.01,
            prefill_tokens_per_s=164_000.0,
            activation_bytes=59_000.0,
            link_mbps=400_000.0,
            pipe_mbps=19_000.0,
            usual_prompt=770.0,
        )

    def test_slow_cards_full_batches_and_slow_endpoints_cost_more(self):
        costs = ChainCosts(self.spec, 770.0, 210.0)
        usual = costs.layer_ms("fast", 1.0, 0)
        self.assertGreater(costs.layer_ms("slow", 1.0, 0), usual)
        self.assertGreater(costs.layer_ms("fast", 1.0, 60), usual)
        self.assertAlmostEqual(costs.layer_ms("fast", 3.0, 0), 3 * usual)

    def test_a_busy_pipe_costs_more(self):
        """Pattern: prompts queue at the pipe between two data centres."""
        idle = ChainCosts(self.spec, 770.0, 210.0)
        busy = ChainCosts(self.spec, 770.0, 210.0, lambda one, other: 20_000.0)
        self.assertGreater(busy.hop_ms("a", "b"), 2 * idle.hop_ms("a", "b"))
        self.assertEqual(busy.hop_ms("a", "a"), idle.hop_ms("a", "a"))
        self.assertGreater(idle.hop_ms("a", "b"), idle.hop_ms("a", "a"))

    def test_no_estimate_is_without_bound(self):
        full = ChainCosts(self.spec, 770.0, 210.0, lambda one, other: 1e9)
        self.assertLess(full.hop_ms("a", "b"), 1e6)
