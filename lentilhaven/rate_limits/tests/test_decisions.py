"""Decisions about limited endpoints, on random limits, demands and workspaces."""

import unittest

from hypothesis import given, settings, strategies as st

from lentilhaven.rate_limits import (
    fair_fraction,
    is_below_limit,
    permitted_endpoints,
    time_to_return,
)
from lentilhaven.rate_limits.decisions import MAX_RETURN_TIME, SENT_WINDOW

#: Number of points of the circle at which shares are measured.
POINTS = 2_000

#: Error of a share that is measured at these points.
TOLERANCE = 2 / POINTS

RATES = st.dictionaries(st.sampled_from("abcdef"), st.floats(0.0, 50.0), max_size=6)


def measure_shares(rates, demand, scale=1.0):
    """Return the share of the requests that may go to each endpoint, and to any."""
    found = [
        permitted_endpoints(rates, demand, (it + 0.5) / POINTS, scale)
        for it in range(POINTS)
    ]
    shares = {name: sum(name in it for it in found) / POINTS for name in rates}
    return shares, sum(bool(it) for it in found) / POINTS


class SharesTests(unittest.TestCase):
    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(RATES, st.floats(1.0, 100.0))
    def test_endpoint_gets_its_limit_of_the_requests(self, rates, demand):
        shares, _ = measure_shares(rates, demand)
        for name, rate in rates.items():
            self.assertAlmostEqual(
                shares[name], min(1.0, rate / demand), delta=TOLERANCE
            )

    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(RATES, st.floats(1.0, 100.0))
    def test_requests_are_turned_away_only_beyond_the_sum(self, rates, demand):
        _, any_share = measure_shares(rates, demand)
        parts = sum(min(1.0, rate / demand) for rate in rates.values())
        self.assertAlmostEqual(
            any_share, min(1.0, parts), delta=TOLERANCE * (1 + len(rates))
        )

    def test_gateways_together_send_the_limit(self):
        """Whatever the number of gateways and the shares of the callers."""
        for demands in ([45.0], [0.5] * 90, [28.0, 9.0, 6.0, 2.0]):
            with self.subTest(gateways=len(demands)):
                total = sum(demands)
                shares, _ = measure_shares({"a": 6.4}, total)
                sent = sum(demand * shares["a"] for demand in demands)
                self.assertAlmostEqual(sent, 6.4, delta=total * TOLERANCE)


class FairnessTests(unittest.TestCase):
    COUNTS = st.dictionaries(
        st.sampled_from("abcdef"), st.integers(1, 500), min_size=1, max_size=6
    )

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(COUNTS, st.floats(0.01, 0.99))
    def test_all_that_may_be_sent_is_given_out(self, counts, fraction):
        given_out = sum(
            count * fair_fraction(counts, name, fraction)
            for name, count in counts.items()
        )
        self.assertAlmostEqual(given_out, fraction * sum(counts.values()), places=6)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(COUNTS, st.floats(0.01, 0.99))
    def test_nobody_gets_more_than_one_that_lacks_some(self, counts, fraction):
        got = {it: counts[it] * fair_fraction(counts, it, fraction) for it in counts}
        for name, count in counts.items():
            if got[name] < count - 1e-6:
                self.assertAlmostEqual(got[name], max(got.values()), places=6)


class WindowTests(unittest.TestCase):
    def test_two_windows_are_within_one_and_a_half_limits(self):
        for rate in (0.0, 0.6, 1.0, 6.4, 9.25, 100.0):
            with self.subTest(rate=rate):
                sent = 0
                while is_below_limit(sent, rate):
                    sent += 1
                self.assertLessEqual(2 * sent, 1.5 * rate * 2 * SENT_WINDOW + 5)
                self.assertGreaterEqual(sent, rate * SENT_WINDOW)


class ReturnTests(unittest.TestCase):
    def test_time_grows_with_the_demand_and_is_bounded(self):
        self.assertLess(
            time_to_return({"a": 5.0}, 10.0), time_to_return({"a": 5.0}, 20.0)
        )
        self.assertEqual(time_to_return({"a": 0.0}, 10.0), MAX_RETURN_TIME)
