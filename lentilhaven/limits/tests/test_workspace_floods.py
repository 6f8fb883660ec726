"""Load: one workspace floods."""

import unittest

from lentilhaven.limits.queue_entry import QueueEntry
from lentilhaven.limits.tests.queue_trial import QueueTrial
from lentilhaven.limits.waiting_queue import WaitingQueue


class WorkspaceFloodsTests(unittest.TestCase):
    def test_others_are_served_in_time_and_the_flood_uses_the_rest(self):
        trial = QueueTrial(slots=10)
        for workspace in "abcd":
            trial.send(12, 0.0, 8.0, workspace=workspace)
        trial.send(300, 2.0, 6.0, workspace="flood")
        trial.events.run(14.0)
        for workspace in "abcd":
            self.assertEqual(trial.served_share(workspace=workspace), 1.0)
        # 400 requests can start in the 4 s of the flood.
        self.assertGreaterEqual(len(trial.requests(trial.started, 2.0, 6.0)), 390)

    def test_a_full_queue_gives_up_requests_of_the_flood(self):
        # The workspace with the largest start tag may be one that was just served.
        queue = WaitingQueue(max_entries=20)
        served = QueueEntry("served", 0, "modest", 10.0, 0.0, 1.0)
        queue.record_start(served)
        queue.add(QueueEntry("modest", 0, "modest", 10.0, 0.0, 1.0))
        for index in range(40):
            given_up = queue.add(QueueEntry(str(index), 0, "flood", 10.0, 0.0, 1.0))
            self.assertNotEqual(getattr(given_up, "workspace", "flood"), "modest")
        self.assertEqual(len(queue), 20)
