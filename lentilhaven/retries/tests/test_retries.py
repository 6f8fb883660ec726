import random
import unittest

from hypothesis import given, settings, strategies as st

from lentilhaven.retries import CircuitBreakers, RetryBudget, jittered_delay
from lentilhaven.retries.backoff import INITIAL_DELAY, MAX_DELAY
from lentilhaven.retries.circuit_breaker import CLOSED, FAILURE_THRESHOLD, OPEN
from lentilhaven.retries.retry_budget import MIN_RETRIES


class RetryBudgetTests(unittest.TestCase):
    def test_retries_stay_below_the_share(self):
        budget = RetryBudget(0.1)
        spent = 0
        for _ in range(1000):
            budget.record_request(0.0)
            spent += budget.spend(0.0)
        self.assertLessEqual(spent, 100 + MIN_RETRIES)
        self.assertGreaterEqual(spent, 100)

    def test_old_retries_are_forgotten(self):
        budget = RetryBudget(0.1)
        while budget.spend(0.0):
            pass
        self.assertTrue(budget.spend(60.0))

    def test_a_clock_that_stands_still_or_steps_back_is_harmless(self):
        budget = RetryBudget(0.1)
        budget.record_request(5.0)
        budget.record_request(4.0)
        self.assertAlmostEqual(budget.requests, 2.0)


class BackoffTests(unittest.TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.integers(1, 100_000), st.integers())
    def test_delay_is_bounded(self, failures, seed):
        delay = jittered_delay(failures, random.Random(seed))
        bound = min(MAX_DELAY, INITIAL_DELAY * 2 ** min(failures - 1, 50))
        self.assertTrue(0 <= delay <= bound)


class CircuitTests(unittest.TestCase):
    def setUp(self):
        self.circuit_breakers = CircuitBreakers(random.Random(1))

    def test_opens_after_failures_in_a_row(self):
        for _ in range(FAILURE_THRESHOLD - 1):
            self.circuit_breakers.record_failure("e", 0.0)
        self.assertTrue(self.circuit_breakers.allows("e", 0.0, 5))
        self.circuit_breakers.record_failure("e", 0.0)
        self.assertFalse(self.circuit_breakers.allows("e", 0.0, 0))

    def test_a_success_between_failures_keeps_it_closed(self):
        for _ in range(5 * FAILURE_THRESHOLD):
            self.circuit_breakers.record_failure("e", 0.0)
            self.circuit_breakers.record_success("e")
        self.assertEqual(self.circuit_breakers.circuits["e"].state, CLOSED)

    def test_passes_one_trial_at_a_time(self):
        self.circuit_breakers.record_failure("e", 0.0, unreachable=True)
        self.assertTrue(self.circuit_breakers.allows("e", 60.0, 0))
        self.assertFalse(self.circuit_breakers.allows("e", 60.0, 1))

    def test_a_failed_trial_opens_it_for_longer(self):
        self.circuit_breakers.record_failure("e", 0.0, unreachable=True)
        first = self.circuit_breakers.circuits["e"].retry_at
        self.circuit_breakers.record_failure("e", first, unreachable=False)
        second = self.circuit_breakers.circuits["e"].retry_at - first
        self.assertEqual(self.circuit_breakers.circuits["e"].state, OPEN)
        self.assertGreaterEqual(second, 1.0)

    def test_late_failures_of_earlier_requests_do_not_prolong_it(self):
        self.circuit_breakers.record_failure("e", 0.0, unreachable=True)
        until = self.circuit_breakers.circuits["e"].retry_at
        self.circuit_breakers.record_failure("e", 0.1, unreachable=True)
        self.assertEqual(self.circuit_breakers.circuits["e"].retry_at, until)

    def test_a_success_closes_it(self):
        self.circuit_breakers.record_failure("e", 0.0, unreachable=True)
        self.circuit_breakers.record_success("e")
        self.assertTrue(self.circuit_breakers.allows("e", 0.0, 9))
