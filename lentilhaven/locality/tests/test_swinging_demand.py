"""
Load: demand swings against the engines.

Most engines are where demand is lowest, and the demand of each data centre swings.
Guards against work that crosses between data centres without need, against late streams
where a local queue has formed, and against gateways that move their work all at once.
"""

import unittest
from random import Random

from lentilhaven.chains.candidate_sets import drop_dominated
from lentilhaven.chains.chain_costs import ChainCosts
from lentilhaven.chains.chain_search import Candidate, find_chain
from lentilhaven.chains.pipe_meter import count_crossings
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.locality import DemandForecast, find_frugal_chain
from lentilhaven.locality.tests.swing_model import (
    NEEDS,
    SPEC,
    SwingModel,
    make_engines,
    split,
    swing,
)

LAYERS = LayerSpan(0, SPEC.layers)


def find_fastest(needs, own, local, find_remote, costs, rng):
    """Choose by the time alone."""
    kept = drop_dominated([*local, *find_remote()])
    return find_chain(LAYERS, kept, costs.hop_ms)


def share(served, is_counted):
    return sum(map(is_counted, served)) / len(served)


class SwingTests(unittest.TestCase):
    """Requests per second, of which the smallest data centre bears a half."""

    MEAN = 12.0

    def test_few_streams_cross_and_none_is_late(self):
        served = SwingModel().run(20.0, swing(self.MEAN))
        fastest = SwingModel(find_fastest).run(20.0, swing(self.MEAN))
        self.assertEqual(share(served, lambda it: it.lateness > 1.0), 0.0)
        self.assertLess(
            share(served, lambda it: it.crosses),
            share(fastest, lambda it: it.crosses) / 2,
        )


class StabilityTests(unittest.TestCase):
    """A data centre with one chain gets more than it can serve for ten seconds."""

    @staticmethod
    def rates(now):
        return {"a": 5.0, "b": 5.0, "c": 30.0 if now < 10.0 else 5.0}

    @classmethod
    def setUpClass(cls):
        served = SwingModel().run(20.0, cls.rates)
        cls.served = [it for it in served if it.data_centre == "c"]

    def between(self, start, end):
        return [it for it in self.served if start <= it.at < end]

    def test_a_part_of_the_work_moves_and_does_not_swing(self):
        shares = [
            share(self.between(4.0 + it, 5.0 + it), lambda found: found.crosses)
            for it in range(6)
        ]
        self.assertGreater(min(shares), 0.2)
        self.assertLess(max(shares), 1.0)

    def test_the_work_that_moves_is_in_time(self):
        late = share(self.between(0.0, 10.0), lambda it: it.lateness > 1.0)
        self.assertEqual(late, 0.0)

    def test_the_work_comes_back(self):
        self.assertEqual(share(self.between(14.0, 20.0), lambda it: it.crosses), 0.0)


class IncompleteChainTests(unittest.TestCase):
    """Guards against needless crossings if the own data centre lacks layers."""

    def choose(self, lost, own="c"):
        engines = [it for it in make_engines() if it.id not in lost]
        costs = ChainCosts(SPEC, 760.0, 69.0)
        candidates = [
            Candidate(it, costs.layer_ms("", 1.0, 0.0), True, 0.1) for it in engines
        ]
        local, remote = split(candidates, own)
        return find_frugal_chain(NEEDS, own, local, lambda: remote, costs, Random(1))

    def test_a_chain_elsewhere_has_no_hop_between_data_centres(self):
        chain = self.choose({"c01"})
        self.assertEqual(count_crossings(chain.parts), {})
        self.assertNotEqual(chain.first.data_centre, "c")

    def test_no_chain_is_complete_anywhere(self):
        chain = self.choose({"c01", "b01", "b11", "a02", "a12", "a22"})
        self.assertEqual(sum(count_crossings(chain.parts).values()), 1)

    def test_price_is_no_part_of_the_cost(self):
        own, costs = Endpoint("x", "s", "x", "x", layers=LAYERS), ChainCosts(SPEC, 1, 1)
        remote = [Candidate(own, 1.0)]
        chain = find_frugal_chain(NEEDS, "y", [], lambda: remote, costs, Random(1))
        self.assertAlmostEqual(chain.cost, 20.0)


class ForecastTests(unittest.TestCase):
    """Guards against a forecast of chance, and against one that misses a swing."""

    @staticmethod
    def observe(rates, seed, seconds=40):
        """Feed requests that come at random by a rate, counted each second."""
        random, forecast = Random(seed), DemandForecast()
        for second in range(seconds):
            rate = rates(second - 0.5)
            count = sum(random.random() < rate / 100.0 for _ in range(100))
            forecast.observe(second + 0.2, {"gen": float(count)})
        return forecast

    def test_swing_is_found_whatever_its_period(self):
        for seed in range(10):
            # Periods of 7 to 16 seconds, as those of `swing`.
            rates = swing(15.0, (7.0 + seed, 1.0, 1.0))
            forecast = self.observe(lambda now, of=rates: of(now)["a"], seed)
            for now in (39.5, 41.0, 43.0):
                expected = rates(now + 1.0)["a"] / rates(now - 1.0)["a"]
                found = forecast.growth("gen", now)
                self.assertAlmostEqual(
                    found, min(1.5, max(1.0, expected)), delta=0.25, msg=seed
                )

    def test_chance_is_no_swing(self):
        found = [
            self.observe(lambda now: 15.0, seed).growth("gen", 39.5)
            for seed in range(40)
        ]
        self.assertLessEqual(sum(it != 1.0 for it in found), 2)

    def test_little_is_expected_of_little_data(self):
        forecast = self.observe(lambda now: 15.0 + now, 1, seconds=5)
        self.assertEqual(forecast.growth("gen", 6.0), 1.0)
