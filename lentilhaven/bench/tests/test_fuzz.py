import unittest

from lentilhaven.bench.fuzz import run_fuzz
from lentilhaven.bench.scenario_options import ScenarioOptions


class FuzzTests(unittest.TestCase):
    def test_no_input_is_mishandled(self):
        report = run_fuzz(ScenarioOptions(seed=7, size=400))
        self.assertTrue(report.holds, report)
