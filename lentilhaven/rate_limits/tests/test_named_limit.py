"""How a limit that an endpoint names changes, spreads and ends."""

import math
import unittest

from lentilhaven.rate_limits import NamedLimit
from lentilhaven.rate_limits.named_limit import (
    DOUBLING_TIME,
    FORGETTING_TIME,
    HOLD_TIME,
    REPEAT_MARGIN,
)


class EndTests(unittest.TestCase):
    def test_limit_holds_while_it_is_named(self):
        self.assertEqual(NamedLimit(6.0, 10.0).current(10.0 + HOLD_TIME), 6.0)

    def test_rate_grows_from_the_first_answer_without_it(self):
        limit = NamedLimit(6.0, 10.0, over_since=10.5)
        self.assertEqual(limit.current(10.5), 6.0)
        self.assertEqual(limit.current(10.5 + DOUBLING_TIME), 12.0)

    def test_limit_is_forgotten(self):
        limit = NamedLimit(6.0, 10.0)
        self.assertLess(limit.current(10.0 + FORGETTING_TIME), math.inf)
        self.assertEqual(limit.current(10.0 + HOLD_TIME + FORGETTING_TIME), math.inf)

    def test_limit_of_nothing_grows_too(self):
        limit = NamedLimit(0.0, 10.0)
        self.assertEqual(limit.current(11.0), 0.0)
        self.assertGreater(limit.current(14.0), 0.5)


class MergeTests(unittest.TestCase):
    def test_later_answer_replaces(self):
        later = NamedLimit(4.0, 11.0)
        self.assertIs(NamedLimit(6.0, 10.0, over_since=10.5).merge(later), later)

    def test_earlier_statement_of_another_gateway_changes_nothing(self):
        known = NamedLimit(4.0, 11.0)
        self.assertIs(known.merge(NamedLimit(6.0, 10.0, distance=1)), known)

    def test_repetition_does_not_prolong(self):
        """Each gateway that passes a statement on makes it seem a little later."""
        known = NamedLimit(4.0, 11.0, distance=2)
        repeated = NamedLimit(4.0, 11.0 + REPEAT_MARGIN / 2, distance=3)
        self.assertIs(known.merge(repeated), known)

    def test_lower_limit_counts_at_once(self):
        lower = NamedLimit(2.0, 11.1, distance=1)
        self.assertIs(NamedLimit(4.0, 11.0).merge(lower), lower)

    def test_end_that_another_gateway_has_seen_first_counts(self):
        known = NamedLimit(4.0, 11.0, over_since=12.0)
        merged = known.merge(NamedLimit(4.0, 10.9, over_since=11.5, distance=1))
        self.assertEqual(merged.over_since, 11.5)

    def test_end_before_the_latest_statement_does_not(self):
        known = NamedLimit(4.0, 11.0)
        merged = known.merge(NamedLimit(4.0, 10.0, over_since=10.5, distance=1))
        self.assertIsNone(merged.over_since)
