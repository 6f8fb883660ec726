"""Properties of the waiting queue and of the decisions, for random requests."""

import sys
import unittest
from collections import Counter

from hypothesis import given, settings, strategies as st

from lentilhaven.limits.finish_tags import MAX_TAGS
from lentilhaven.limits.priority_brown_out import PriorityBrownOut
from lentilhaven.limits.queue_decision import Refuse, Start, decide_arrival, may_start
from lentilhaven.limits.queue_entry import QueueEntry
from lentilhaven.limits.waiting_queue import WaitingQueue

ENTRIES = st.lists(
    st.builds(
        QueueEntry,
        request=st.uuids().map(str),
        priority=st.integers(0, 2),
        workspace=st.sampled_from("abc"),
        cost=st.floats(0.0, 100.0),
        arrived=st.just(0.0),
        due=st.floats(-1.0, 1.0),
        continues=st.booleans(),
    ),
    max_size=30,
)
PROPERTY = settings(derandomize=True, max_examples=60, deadline=None)


def fill(entries, max_entries=10_000):
    queue = WaitingQueue(max_entries)
    for entry in entries:
        queue.add(entry, 0.0)
    return queue


def count_calls(action):
    """Return the number of function calls that an action makes."""
    calls = Counter()
    sys.setprofile(lambda frame, event, arg: calls.update([event]))
    try:
        action()
    finally:
        sys.setprofile(None)
    return calls["call"] + calls["c_call"]


class WaitingQueueTests(unittest.TestCase):
    @PROPERTY
    @given(ENTRIES)
    def test_order_has_no_priority_inversion_and_predicts_the_starts(self, entries):
        queue = fill(entries)
        order = list(queue.in_order(0.0))
        keys = [(it.priority, not it.continues) for it in order]
        self.assertEqual(keys, sorted(keys))
        for expected in order:
            self.assertIs(queue.head(0.0), expected)
            queue.remove(expected)
            self.assertTrue(queue.goes_first(expected, 0.0))
            queue.record_start(expected)
        self.assertEqual((len(queue), queue.waiting_cost()), (0, {}))

    @PROPERTY
    @given(ENTRIES, ENTRIES, st.booleans(), st.sampled_from([None, 0.0, 50.0]))
    def test_decisions_are_work_conserving(self, entries, more, has_room, rate):
        queue = fill(entries)
        for entry in more:
            decision = decide_arrival(
                queue,
                entry,
                has_room=has_room,
                rate=rate,
                now=0.0,
                deadline=6.0,
                brown_out=PriorityBrownOut({1: 1, 2: 2}, last_observed=0.0),
            )
            first = queue.goes_first(entry, 0.0)
            self.assertEqual(isinstance(decision, Start), has_room and first)
            self.assertFalse(has_room and isinstance(decision, Refuse))

    @PROPERTY
    @given(ENTRIES, st.integers(1, 8))
    def test_a_full_queue_gives_up_what_is_served_last(self, entries, max_entries):
        queue = fill(entries[:max_entries])
        queue.max_entries = max_entries
        for entry in entries[max_entries:]:
            given_up = queue.add(entry, 0.0)
            self.assertEqual(len(queue), max_entries)
            last = max((it.priority, not it.continues) for it in queue.in_order(0.0))
            self.assertGreaterEqual((given_up.priority, not given_up.continues), last)

    @PROPERTY
    @given(
        st.lists(st.sampled_from([0.5, 1.0, 2.0]), min_size=2, max_size=5),
        st.lists(st.tuples(st.integers(0, 4), st.floats(0.0, 1e6)), max_size=40),
    )
    def test_no_workspace_starves_after_charges_elsewhere(self, weights, charges):
        # Without a bound a workspace served elsewhere waited here for all of it.
        queue = WaitingQueue()
        for place, weight in enumerate(weights):
            for index in range(400):
                name = f"{place}.{index}"
                entry = QueueEntry(name, 2, str(place), 10.0, 0.0, 1.0, weight=weight)
                queue.add(entry)
        for place, cost in [(0, 0.0), *charges]:
            if place < len(weights):
                queue.charge(str(place), 2, cost, weights[place])
            entry = queue.head(0.0)
            queue.remove(entry)
            queue.record_start(entry)
        served = Counter()
        for _ in range(int(10 * sum(weights) / min(weights))):
            entry = queue.head(0.0)
            queue.remove(entry)
            queue.record_start(entry)
            served[entry.workspace] += 1 / entry.weight
        self.assertGreaterEqual(
            min(served[str(it)] for it in range(len(weights))),
            max(served.values()) / 2,
        )

    def test_tags_are_bounded_at_a_bounded_cost(self):
        queue = WaitingQueue()
        queue.record_start(QueueEntry("first", 0, "w", 1e9, 0.0, 1.0))

        def charge_all():
            for index in range(10 * MAX_TAGS):
                queue.charge(f"w{index}", 0, 1.0 + index)

        calls = count_calls(charge_all)
        self.assertLessEqual(len(queue.levels[0].finish_tags.tags), MAX_TAGS)
        self.assertLess(calls, 10 * MAX_TAGS * 30)

    def test_operations_do_not_scan_what_waits(self):
        counts = {}
        for size in (100, 10_000):
            entries = [
                QueueEntry(
                    str(index),
                    index % 3,
                    f"w{index % (size // 2)}",
                    10.0,
                    0.0,
                    index * 7919 % 1009 / 1009,
                    index % 10 == 0,
                )
                for index in range(size)
            ]
            queue = fill(entries[1:])
            counts[size] = [
                count_calls(action)
                for action in (
                    lambda q=queue: q.head(0.5),
                    lambda q=queue: next(q.in_order(0.5)),
                    lambda q=queue, e=entries: q.cost_ahead(e[0], 0.5),
                    lambda q=queue, e=entries: q.goes_first(e[0], 0.5),
                    lambda q=queue, e=entries: q.add(e[0]),
                    lambda q=queue, e=entries: q.remove(e[1]),
                    lambda q=queue, e=entries: q.record_start(e[2]),
                )
            ]
        for small, large in zip(*counts.values(), strict=True):
            self.assertLessEqual(large, 2 * small + 20)

    def test_less_urgent_work_leaves_room_for_what_waits_elsewhere(self):
        self.assertTrue(may_start(10.0, room=0.0, urgent_waiting=0.0))
        self.assertFalse(may_start(10.0, room=15.0, urgent_waiting=6.0))


class PriorityBrownOutTests(unittest.TestCase):
    def test_refusals_of_the_least_urgent_degrade_no_other(self):
        steps = PriorityBrownOut()
        for tenth in range(100):
            steps.observe(tenth % 3, tenth % 3 == 2, tenth / 10)
        self.assertFalse(steps.steps)

    def test_steps_end_with_the_overload_or_after_a_pause(self):
        steps = PriorityBrownOut()
        for count in range(120):
            steps.observe(count % 3, True, count / 20)
        self.assertEqual(steps.steps, {1: 2, 2: 2})
        self.assertEqual(steps.wait_factor(2, 20.0), 1.0)
        for count in range(120, 320):
            steps.observe(count % 3, False, count / 20)
        self.assertFalse(steps.steps)

    def test_one_refusal_among_few_requests_is_no_overload(self):
        # A gateway of a large fleet has about one request per second.
        steps = PriorityBrownOut()
        for second in range(20):
            steps.observe(second % 3, second == 9, float(second))
            self.assertFalse(steps.steps)
