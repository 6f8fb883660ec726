import unittest

from lentilhaven.recovery import PauseEstimator


class SilenceLimitTests(unittest.TestCase):
    # Guards against a second run that begins too late to end the pause in time.
    def test_a_second_run_can_end_the_pause_in_time(self):
        for longest in (0.25, 0.3):
            limit = PauseEstimator(0.03, longest).limit()
            self.assertLessEqual(limit + 0.1, longest)

    # Guards against second runs of streams whose pauses are always long.
    def test_usual_pauses_are_no_fault(self):
        for mean in (0.03, 0.05, 0.1):
            self.assertGreaterEqual(PauseEstimator(mean, 0.2).limit(), 2.0 * mean)
            self.assertGreaterEqual(PauseEstimator(mean).limit(), 3.0 * mean)

    def test_without_a_longest_pause_the_limit_is_the_usual_one(self):
        self.assertEqual(PauseEstimator(0.02).limit(), 0.14)
