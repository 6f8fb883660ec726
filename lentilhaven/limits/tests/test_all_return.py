"""Load: all callers return at once."""

import random
import unittest

from hypothesis import given, settings, strategies as st

from lentilhaven.limits.queue_entry import QueueEntry
from lentilhaven.limits.retry_time import retry_after
from lentilhaven.limits.tests.queue_trial import COST, QueueTrial
from lentilhaven.limits.waiting_queue import WaitingQueue


class AllReturnTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.trial = trial = QueueTrial(slots=10)
        for index in range(600):
            trial.send_one(f"r{index}", 1.0, index % 3, "abcd"[index // 3 % 4])
        trial.events.run(10.0)

    def test_more_urgent_requests_start_first(self):
        means = []
        for priority in range(3):
            times = [at for it, at in self.trial.started if it.priority == priority]
            means.append(sum(times) / len(times))
        self.assertEqual(means, sorted(means))
        for priority in range(2):
            started = self.trial.requests(self.trial.started, priority=priority)
            self.assertEqual(len(started), 200)

    def test_no_workspace_starves(self):
        counts = [
            len(self.trial.requests(self.trial.started, priority=2, workspace=it))
            for it in "abcd"
        ]
        self.assertGreaterEqual(min(counts), sum(counts) / len(counts) / 2)

    def test_capacity_is_used_while_callers_return(self):
        started = self.trial.requests(self.trial.started, 1.0, 6.0)
        self.assertGreaterEqual(len(started), 0.95 * 5.0 * 10 / 0.1)

    def test_many_workspaces_with_one_request_each_are_in_the_prediction(self):
        # Equal start tags gave a predicted wait of 0 behind any number of workspaces.
        queue = WaitingQueue()
        for index in range(100):
            queue.add(QueueEntry(str(index), 0, f"w{index}", COST, 0.0, 0.5))
        last = QueueEntry("last", 0, "other", COST, 0.0, 0.6)
        self.assertEqual(queue.cost_ahead(last), 100 * COST)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(
        st.floats(0.0, 1e6),
        st.integers(0, 9),
        st.floats(-5.0, 1e5),
        st.integers(0, 99),
    )
    def test_retry_after_is_within_its_bounds(self, wait, priority, time_left, seed):
        seconds = retry_after(wait, priority, time_left, random.Random(seed))
        self.assertGreaterEqual(seconds, 0.0)
        self.assertLessEqual(seconds, max(0.0, time_left / 3) + 1e-9)
        later = retry_after(wait, priority + 1, time_left, random.Random(seed))
        self.assertGreaterEqual(later, seconds)
