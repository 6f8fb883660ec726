import unittest

from hypothesis import given, settings, strategies as st

from lentilhaven.limits.shared_room import (
    FULL_WEIGHT_AGE,
    charges_from_peers,
    own_room,
    urgent_waiting_elsewhere,
)
from lentilhaven.limits.start_rates import MAX_TRACKED, StartRates
from lentilhaven.peering.peer_table import LOAD_EXPIRY
from lentilhaven.peering.queue_state import MAX_HEAVY, QueueReport, QueueState

AGES = st.lists(st.floats(0.0, 3.0), max_size=12)
TOKENS = st.floats(1.0, 1e6)
PRIORITIES = st.integers(0, 3)

#: Seconds between two looks at the reports.
STEP = 0.05

#: Tolerance for rounding errors, as a share.
ROUNDING = 1e-9


def reports_of(ages, state=QueueState()):  # noqa: B008
    """Return a report of the same state for each age."""
    return [QueueReport(state, age) for age in ages]


class RoomTests(unittest.TestCase):
    @settings(derandomize=True)
    @given(AGES, st.integers(0, 5))
    def test_room_is_between_the_own_part_and_all(self, ages, unheard):
        """Guards against idle capacity where no peer needs it, or against overload."""
        known = 1 + len(ages) + unheard
        room = own_room(1000.0, reports_of(ages), known)
        self.assertGreaterEqual(room, 1000.0 / known * (1 - ROUNDING))
        self.assertLessEqual(room, 1000.0)
        if all(age <= FULL_WEIGHT_AGE for age in ages) and not unheard:
            self.assertEqual(room, 1000.0)

    def test_silent_peers_and_older_builds_leave_the_own_part(self):
        silent = reports_of([LOAD_EXPIRY] * 3)
        older = reports_of([0.1] * 3, state=None)
        for reports in ([], silent, older):
            self.assertEqual(own_room(1000.0, reports, known=4), 250.0)

    @settings(derandomize=True)
    @given(st.lists(st.tuples(st.floats(0.0, 5.0), st.floats(0.0, 5.0)), min_size=1))
    def test_loss_and_return_of_peers_do_not_oscillate(self, outages):
        """
        Guards against a surge of starts at all gateways whenever peers return.

        Peers fall silent and return at any times.  While they are silent the room only
        falls, by at most its share of `STEP`; once all are back it stays.
        """
        begins = [begin for begin, _ in outages]
        ends = [begin + length for begin, length in outages]
        rooms = []
        for step in range(round(11.0 / STEP)):
            now = step * STEP
            ages = [
                now - begin if begin < now < end else 0.1
                for begin, end in zip(begins, ends, strict=True)
            ]
            rooms.append((now, own_room(1.0, reports_of(ages), 1 + len(ages))))
        largest_fall = STEP / (LOAD_EXPIRY - FULL_WEIGHT_AGE)
        for (_, before), (now, after) in zip(rooms, rooms[1:], strict=False):
            self.assertLessEqual(before - after, largest_fall + ROUNDING)
            if not any(now - STEP <= end <= now for end in ends):
                self.assertLessEqual(after, before + ROUNDING)
            if now > max(ends):
                self.assertEqual(after, 1.0)


class UrgencyTests(unittest.TestCase):
    @settings(derandomize=True)
    @given(st.dictionaries(PRIORITIES, TOKENS), AGES)
    def test_only_more_urgent_work_counts(self, waiting, ages):
        """Guards against priority inversion, and against gateways that wait in turn."""
        state = QueueState({key: (1, tokens) for key, tokens in waiting.items()})
        reports = reports_of(ages, state)
        found = [urgent_waiting_elsewhere(reports, key) for key in range(5)]
        self.assertEqual(found, sorted(found))
        self.assertEqual(found[0], 0.0)
        fresh = sum(age <= FULL_WEIGHT_AGE for age in ages)
        least = fresh * sum(waiting.values())
        self.assertGreaterEqual(found[4], least * (1 - ROUNDING))

    def test_silent_peer_holds_nothing_back(self):
        """Guards against work that waits for a frozen gateway."""
        reports = reports_of([LOAD_EXPIRY], QueueState({0: (1, 800.0)}))
        self.assertEqual(urgent_waiting_elsewhere(reports, 2), 0.0)


class ChargeTests(unittest.TestCase):
    @settings(derandomize=True)
    @given(st.floats(0.0, 60.0), AGES, TOKENS)
    def test_charges_are_bounded_after_a_silence(self, elapsed, ages, rate):
        """Guards against a workspace that starves when peers return."""
        reports = reports_of(ages, QueueState(heavy=(("depot", 1, rate),)))
        charges = charges_from_peers(reports, elapsed, {1})
        total = sum(charge.cost for charge in charges)
        most = rate * len(ages) * min(elapsed, LOAD_EXPIRY)
        self.assertLessEqual(total, most * (1 + ROUNDING))
        self.assertEqual(charges_from_peers(reports, elapsed, {0, 2}), [])

    def test_charges_of_many_calls_are_those_of_one(self):
        """Guards against shares that depend on how often datagrams arrive."""
        reports = reports_of([0.1], QueueState(heavy=(("depot", 1, 400.0),)))
        costs = [charges_from_peers(reports, 0.1, {1})[0].cost for _ in range(10)]
        self.assertAlmostEqual(sum(costs), 400.0)


class StartRateTests(unittest.TestCase):
    def test_rates_follow_steady_work(self):
        rates = StartRates()
        for step in range(200):
            rates.record("depot", 0, 80.0, now=step / 10)
        self.assertAlmostEqual(rates.by_priority(20.0)[0], 800.0, delta=40.0)

    def test_many_workspaces_take_bounded_memory(self):
        """Guards against growth with the number of workspaces that callers have."""
        rates = StartRates()
        for index in range(10 * MAX_TRACKED):
            rates.record(f"w{index}", 0, 10.0, now=0.0)
            rates.record("depot", 0, 50.0, now=0.0)
        self.assertLessEqual(len(rates.workspaces), MAX_TRACKED)
        self.assertEqual(rates.heavy(0.0)[0][0], "depot")
        self.assertEqual(len(rates.heavy(0.0)), MAX_HEAVY)
