import unittest

from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.bench.smoke import run_smoke


class SmokeTests(unittest.TestCase):
    def test_answers_equal_the_naive_model(self):
        self.assertTrue(run_smoke(ScenarioOptions(seed=1, size=3)).holds)
