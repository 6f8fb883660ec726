import unittest
from random import Random

from hypothesis import given, settings, strategies as st

from lentilhaven.chains.candidate_sets import drop_dominated
from lentilhaven.chains.chain_costs import ChainCosts
from lentilhaven.chains.chain_search import Candidate, find_chain
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.engine_spec import AcceleratorType, EngineSpec
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.placement.plan import plan_layers

#: Cards of each kind in `SPEC`, by data centre, in the largest known deployment.
CARD_COUNTS = {"a": (3, 14, 16), "b": (2, 24, 9), "c": (4, 10, 11)}

SPEC = EngineSpec(
    "m",
    80,
    1750.0,
    492_000.0,
    {
        "a100": AcceleratorType("a100", 72_000.0, 2.4, 3.2),
        "v100": AcceleratorType("v100", 14_400.0, 5.3, 7.9),
        "l4": AcceleratorType("l4", 21_600.0, 16.0, 8.2),
    },
    step_ms=1.02,
    prefill_tokens_per_s=196_000.0,
    activation_bytes=24_600.0,
    link_mbps=400_000.0,
    data_centre_link_mbps=7680.0,
    mean_prompt_tokens=760.0,
    mean_output_tokens=200.0,
    mean_kv_tokens=50_000.0,
)


def placed_engines():
    """Return 93 engines with the layers that an initial placement gives them."""
    engines = [
        Endpoint(
            f"{data_centre}-{card}-{number}",
            "s",
            f"{data_centre}{card}{number}",
            data_centre,
        )
        for data_centre, counts in CARD_COUNTS.items()
        for card, count in zip(SPEC.cards, counts, strict=True)
        for number in range(count)
    ]
    cards = [it.id.split("-")[1] for it in engines]
    empty = [
        Endpoint(it.id, "s", it.address, it.data_centre, card=card)
        for it, card in zip(engines, cards, strict=True)
    ]
    plan = plan_layers(SPEC, empty, {})
    return [
        Endpoint(
            it.id, "s", it.address, it.data_centre, card=it.card, layers=plan[it.id]
        )
        for it in empty
    ]


class DominationTests(unittest.TestCase):
    """Among mixed cards, most are dominated by faster ones in the same data centre."""

    @classmethod
    def setUpClass(cls):
        cls.engines = placed_engines()

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(st.integers(0, 10**6))
    def test_the_best_chain_costs_the_same_without_them(self, seed):
        random = Random(seed)
        costs = ChainCosts(SPEC, 760.0, 200.0)
        candidates = [
            Candidate(
                engine,
                costs.layer_ms(engine.card, random.uniform(0.9, 2.5), random.random()),
                may_begin=random.random() < 0.9,
            )
            for engine in self.engines
        ]
        wanted = LayerSpan(0, SPEC.layers)
        found = find_chain(wanted, candidates, costs.hop_ms)
        kept = drop_dominated(candidates)
        self.assertLess(len(kept), len(candidates) / 2)
        self.assertAlmostEqual(find_chain(wanted, kept, costs.hop_ms).cost, found.cost)

    def test_a_candidate_that_may_not_begin_dominates_none_that_may(self):
        span = LayerSpan(0, 4)
        full = Candidate(Endpoint("a", "s", "a", "z", layers=span), 1.0, False)
        slow = Candidate(Endpoint("b", "s", "b", "z", layers=span), 2.0)
        self.assertEqual(drop_dominated([full, slow]), [full, slow])
