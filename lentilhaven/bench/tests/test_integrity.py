import unittest

from lentilhaven.bench.integrity import run_integrity
from lentilhaven.bench.scenario_options import ScenarioOptions


class IntegrityTests(unittest.TestCase):
    def test_one_seed_gives_one_report(self):
        options = ScenarioOptions(seed=3, size=60)
        first, second = run_integrity(options), run_integrity(options)
        self.assertEqual(first, second)
        self.assertTrue(first.holds, first.figures)
