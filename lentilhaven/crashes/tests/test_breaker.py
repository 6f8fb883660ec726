"""Refusals of a subject: how long they last, and when a trial begins."""

import unittest

from lentilhaven.crashes.breaker import (
    ADOPTION_MARGIN,
    FIRST_HOLD,
    IDLE_TIME,
    MAX_HOLD,
    TRIAL_TIME,
    TURN_TIME,
    Breaker,
    is_closed,
)


class HoldTests(unittest.TestCase):
    """Guard against trials that cost an endpoint each few seconds."""

    def test_first_hold_begins_with_the_last_end(self):
        breaker = Breaker(100.0)
        breaker.note_end(103.0)
        breaker.note_end(101.0)
        self.assertEqual(breaker.until, 103.0 + FIRST_HOLD)

    def test_hold_doubles_with_each_trial_up_to_a_maximum(self):
        breaker, holds = Breaker(100.0), []
        now = 200.0
        for _ in range(5):
            breaker.begin_trial(now)
            breaker.note_end(now + 1.0)
            holds.append(breaker.until - now - 1.0)
            now = breaker.until + 1.0
        expected = [2 * FIRST_HOLD, 4 * FIRST_HOLD, MAX_HOLD, MAX_HOLD, MAX_HOLD]
        self.assertEqual(holds, expected)

    def test_gateway_waits_for_its_turn_from_the_first_request_on(self):
        breaker = Breaker(100.0)
        asked_at = breaker.until + 5.0
        self.assertEqual(breaker.time_left(asked_at, 1.0), 1.0)
        self.assertAlmostEqual(breaker.time_left(asked_at + 0.9, 1.0), 0.1)
        self.assertEqual(breaker.time_left(asked_at + 1.0, 1.0), 0.0)

    def test_turn_that_was_not_used_begins_anew(self):
        breaker = Breaker(100.0)
        asked_at = breaker.until + 5.0
        breaker.time_left(asked_at, 1.0)
        self.assertEqual(breaker.time_left(asked_at + 1.1 + TURN_TIME, 1.0), 1.0)

    def test_idle_breaker_is_forgotten(self):
        breaker = Breaker(100.0)
        self.assertFalse(breaker.is_forgotten(breaker.until + IDLE_TIME))
        self.assertTrue(breaker.is_forgotten(breaker.until + IDLE_TIME + 0.1))


class TrialTests(unittest.TestCase):
    """Guard against several trials at once, and against none ever again."""

    def test_only_one_request_is_the_trial(self):
        breaker = Breaker(100.0)
        breaker.begin_trial(110.0)
        self.assertEqual(breaker.time_left(110.0), TRIAL_TIME)
        self.assertTrue(breaker.is_in_trial)

    def test_trial_without_a_result_is_followed_by_another(self):
        breaker = Breaker(100.0)
        breaker.begin_trial(110.0)
        self.assertEqual(breaker.time_left(110.0 + TRIAL_TIME), 0.0)

    def test_end_concludes_the_trial(self):
        breaker = Breaker(100.0)
        breaker.begin_trial(110.0)
        breaker.note_end(111.0)
        self.assertFalse(breaker.is_in_trial)

    def test_only_a_later_proof_closes_a_breaker(self):
        breaker = Breaker(100.0)
        self.assertFalse(is_closed(breaker, 100.0))
        self.assertTrue(is_closed(breaker, 100.1))


class AdoptionTests(unittest.TestCase):
    """Guard against gateways that extend each other's refusals for ever."""

    def test_time_in_transit_is_not_adopted(self):
        breaker, other = Breaker(100.0), Breaker(100.0 + ADOPTION_MARGIN)
        self.assertFalse(breaker.adopt(other))
        self.assertEqual(breaker.until, 100.0 + FIRST_HOLD)

    def test_gateways_that_repeat_each_other_add_nothing(self):
        first, second = Breaker(100.0), Breaker(100.0)
        for _ in range(1000):
            for known, stated in ((first, second), (second, first)):
                late = Breaker(stated.ended_at + 0.3, stated.until + 0.3)
                known.adopt(late)
        self.assertEqual(first.until, 100.0 + FIRST_HOLD)

    def test_trial_is_adopted(self):
        breaker, other = Breaker(100.0), Breaker(100.0)
        other.begin_trial(110.0)
        self.assertTrue(breaker.adopt(other))
        self.assertTrue(breaker.is_in_trial)
        self.assertGreater(breaker.time_left(111.0), 0.0)
        self.assertFalse(breaker.adopt(other))

    def test_end_in_a_trial_is_adopted(self):
        breaker, other = Breaker(100.0), Breaker(100.0)
        other.begin_trial(110.0)
        breaker.adopt(other)
        other.note_end(111.0)
        self.assertTrue(breaker.adopt(other))
        self.assertEqual(breaker.until, 111.0 + 2 * FIRST_HOLD)
        self.assertFalse(breaker.is_in_trial)

    def test_repeated_trial_is_adopted_before_the_long_hold_has_passed(self):
        breaker, other = Breaker(100.0), Breaker(100.0)
        for it in (breaker, other):
            it.begin_trial(110.0)
            it.note_end(111.0)
        other.begin_trial(115.0)
        self.assertTrue(breaker.adopt(other))
        self.assertEqual(breaker.until, 115.0 + TRIAL_TIME)

    def test_statement_before_a_trial_changes_nothing(self):
        breaker, other = Breaker(100.0), Breaker(100.0)
        breaker.begin_trial(110.0)
        self.assertFalse(breaker.adopt(other))
        self.assertEqual(breaker.until, 110.0 + TRIAL_TIME)
