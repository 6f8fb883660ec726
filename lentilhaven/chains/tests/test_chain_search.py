import itertools
import unittest
from random import Random

from hypothesis import given, settings, strategies as st

from lentilhaven.chains.chain_costs import ChainCosts
from lentilhaven.chains.chain_search import Candidate, find_chain
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.engine_spec import AcceleratorType, EngineSpec
from lentilhaven.fleet.layer_span import LayerSpan


def make_candidate(name, start, end, cost=1.0, data_centre="a"):
    """Return a candidate that holds a range of layers."""
    span = LayerSpan(start, end)
    return Candidate(Endpoint(name, "s", name, data_centre, layers=span), cost)


def hop_cost(origin, target):
    """Return the cost of a hop between two data centres."""
    return 0.5 if origin == target else 3.0


def lowest_cost(layers, candidates):
    """Return the lowest cost of all chains whose ends increase, by brute force."""
    best = None
    for count in range(1, len(candidates) + 1):
        for order in itertools.permutations(candidates, count):
            spans = [it.endpoint.layers for it in order]
            ends = [span.end for span in spans]
            if ends != sorted(set(ends)) or ends[-1] < layers:
                continue
            # Costs are linear in each boundary, so its earliest or latest possible
            # position is optimal.
            choices = [
                {first.end, max(first.start + 1, second.start)}
                for first, second in itertools.pairwise(spans)
            ]
            for boundaries in itertools.product(*choices):
                cost = cost_of(layers, order, boundaries)
                if cost is not None and (best is None or cost < best):
                    best = cost
    return best


def cost_of(layers, order, boundaries):
    """Return the cost of one chain, or None if it does not cover the layers."""
    start, cost = 0, 0.0
    for index, candidate in enumerate(order):
        span = candidate.endpoint.layers
        end = boundaries[index] if index < len(boundaries) else layers
        if not span.start <= start < end <= span.end:
            return None
        if index:
            cost += hop_cost(
                order[index - 1].endpoint.data_centre, candidate.endpoint.data_centre
            )
        cost += candidate.layer_cost * (end - start)
        start = end
    return cost


class SearchTests(unittest.TestCase):
    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(st.integers(0, 10**6))
    def test_cost_equals_that_of_brute_force(self, seed):
        random = Random(seed)
        candidates = []
        for index in range(random.randint(1, 5)):
            start = random.randint(0, 4)
            candidates.append(
                make_candidate(
                    f"e{index}",
                    start,
                    random.randint(start + 1, 6),
                    random.choice((1.0, 2.0, 5.0)),
                    random.choice("ab"),
                )
            )
        found = find_chain(LayerSpan(0, 6), candidates, hop_cost)
        expected = lowest_cost(6, candidates)
        self.assertEqual(found is None, expected is None)
        if found is not None:
            found.check(6)
            self.assertAlmostEqual(found.cost, expected)

    def test_no_endpoint_occurs_twice_around_a_cheaper_one(self):
        candidates = [make_candidate("long", 0, 8), make_candidate("cheap", 3, 5, 0.01)]
        found = find_chain(LayerSpan(0, 8), candidates, hop_cost)
        self.assertEqual([part.id for part in found.endpoints], ["long"])

    def test_no_chain_if_no_endpoint_holds_a_layer(self):
        candidates = [make_candidate("a", 0, 3), make_candidate("b", 4, 8)]
        self.assertIsNone(find_chain(LayerSpan(0, 8), candidates, hop_cost))

    def test_a_part_of_the_layers_can_be_replaced(self):
        candidates = [make_candidate("b", 2, 6), make_candidate("c", 5, 8)]
        found = find_chain(LayerSpan(3, 7), candidates, hop_cost)
        parts = [(part.id, span.start, span.end) for part, span in found.parts]
        self.assertEqual((parts[0][1], parts[-1][2]), (3, 7))


class CostTests(unittest.TestCase):
    def setUp(self):
        cards = {
            "fast": AcceleratorType("fast", 72_000.0, 2.0, 3.0),
            "slow": AcceleratorType("slow", 21_600.0, 16.0, 8.0),
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
            data_centre_link_mbps=19_000.0,
            mean_prompt_tokens=770.0,
        )

    def test_slow_cards_full_batches_and_slow_endpoints_cost_more(self):
        costs = ChainCosts(self.spec, 770.0, 210.0)
        baseline = costs.layer_ms("fast", 1.0, 0)
        self.assertGreater(costs.layer_ms("slow", 1.0, 0), baseline)
        self.assertGreater(costs.layer_ms("fast", 1.0, 60), baseline)
        self.assertAlmostEqual(costs.layer_ms("fast", 3.0, 0), 3 * baseline)

    def test_a_busy_pipe_costs_more(self):
        """Prompts queue at the pipe between two data centres."""
        idle = ChainCosts(self.spec, 770.0, 210.0)
        busy = ChainCosts(self.spec, 770.0, 210.0, lambda origin, target: 20_000.0)
        self.assertGreater(busy.hop_ms("a", "b"), 2 * idle.hop_ms("a", "b"))
        self.assertEqual(busy.hop_ms("a", "a"), idle.hop_ms("a", "a"))
        self.assertGreater(idle.hop_ms("a", "b"), idle.hop_ms("a", "a"))

    def test_the_hop_estimate_is_bounded(self):
        saturated = ChainCosts(self.spec, 770.0, 210.0, lambda origin, target: 1e9)
        self.assertLess(saturated.hop_ms("a", "b"), 1e6)
