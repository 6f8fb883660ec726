"""Load: the capacity halves within a second."""

import unittest

from lentilhaven.limits.priority_brown_out import PriorityBrownOut
from lentilhaven.limits.queue_decision import Refuse, Wait, decide_arrival
from lentilhaven.limits.queue_entry import QueueEntry
from lentilhaven.limits.tests.queue_trial import QueueTrial
from lentilhaven.limits.waiting_queue import WaitingQueue


class CapacityHalvesTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.trial = trial = QueueTrial(slots=16)
        for priority in range(3):
            trial.send(40, 0.0, 10.0, priority)
        for index in range(8):
            trial.events.schedule_at(3.0 + index / 8, cls.lose_slot)
        trial.events.run(18.0)

    @classmethod
    def lose_slot(cls):
        cls.trial.slots -= 1

    def test_more_urgent_requests_are_served_in_time(self):
        self.assertEqual(self.trial.served_share(priority=0), 1.0)
        self.assertGreaterEqual(self.trial.served_share(priority=1), 0.9)

    def test_few_accepted_requests_are_late(self):
        # With too short a prediction, requests wait for room that others take.
        started = self.trial.requests(self.trial.started, priority=2)
        in_time = self.trial.requests(self.trial.in_time(), priority=2)
        self.assertGreaterEqual(len(in_time), 0.8 * len(started))

    def test_the_remaining_capacity_is_used(self):
        started = self.trial.requests(self.trial.started, 4.0, 10.0)
        self.assertGreaterEqual(len(started), 0.97 * 6.0 * 8 / 0.1)

    def test_accepted_requests_are_in_time_with_an_outdated_rate(self):
        # Requests accepted up to their due time were all late: each delayed the next.
        trial = QueueTrial(slots=10, rate_factor=1.2)
        trial.send(150, 0.0, 8.0)
        trial.events.run(16.0)
        in_time = len(trial.requests(trial.in_time()))
        self.assertGreaterEqual(in_time, 0.9 * len(trial.requests(trial.started)))


class RecoveryTests(unittest.TestCase):
    def decide(self, queue, rate, due=0.5, continues=True):
        entry = QueueEntry("new", 0, "w", 100.0, 0.0, due, continues)
        return decide_arrival(
            queue,
            entry,
            has_room=False,
            rate=rate,
            now=0.0,
            deadline=6.0,
            brown_out=PriorityBrownOut(),
        )

    def test_broken_streams_wait_while_the_rate_is_unknown(self):
        # After a calm time nothing has waited, and all but one were refused.
        queue = WaitingQueue()
        queue.add(QueueEntry("first", 0, "w", 100.0, 0.0, 0.5, continues=True))
        self.assertIsInstance(self.decide(queue, None), Wait)
        self.assertIsInstance(self.decide(queue, 0.0), Refuse)

    def test_a_late_stream_goes_after_those_that_can_be_on_time(self):
        queue = WaitingQueue()
        for name, due in (("late", -0.1), ("urgent", 0.1), ("relaxed", 0.4)):
            queue.add(QueueEntry(name, 0, "w", 100.0, 0.0, due, continues=True))
        order = [it.request for it in queue.in_order(0.0)]
        self.assertEqual(order, ["urgent", "relaxed", "late"])
        later = QueueEntry("later", 0, "w", 100.0, 0.0, -0.05, continues=True)
        self.assertEqual(queue.cost_ahead(later, 0.0), 300.0)
        self.assertEqual(self.decide(queue, 200.0, -0.05), Wait(2.0))
