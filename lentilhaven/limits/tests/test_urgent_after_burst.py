"""Load: the least urgent requests burst, then the most urgent."""

import unittest

from lentilhaven.limits.tests.queue_trial import QueueTrial


class UrgentAfterBurstTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.trial = trial = QueueTrial(slots=12)
        for priority, rate, target in ((0, 33, 0.5), (1, 50, 0.6), (2, 20, 1.2)):
            trial.send(rate, 0.0, 12.0, priority, target=target)
        trial.send(30, 2.0, 6.0, 2, target=1.2)
        trial.send(25, 4.0, 8.0, 0, target=0.5)
        trial.events.run(20.0)

    def test_more_urgent_requests_are_served_in_time(self):
        # A queue by arrival lets the burst before them delay them.
        for priority in (0, 1):
            share = self.trial.served_share(priority=priority)
            self.assertGreaterEqual(share, 0.99, priority)

    def test_nothing_is_refused_before_the_burst(self):
        self.assertFalse(self.trial.requests(self.trial.refused, end=2.0))

    def test_no_step_remains_after_the_burst(self):
        # A step that outlasts its cause refuses requests that could be served.
        self.assertFalse(self.trial.brown_out.steps)
        after = self.trial.served_share(9.0, 12.0, priority=2)
        self.assertGreaterEqual(after, 0.9)
