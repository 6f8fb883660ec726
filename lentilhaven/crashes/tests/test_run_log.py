"""Which runs were on an endpoint when it ended."""

import unittest

from lentilhaven.crashes.run_log import DOUBT_TIME, MAX_ENDED_RUNS, MEMORY_TIME, RunLog
from lentilhaven.peering.subject import Subject, SubjectKind

REQUEST = Subject("gen", "request", SubjectKind.REQUEST)
FIRST, SECOND = ("first", 1), ("second", 1)


class RunLogTestCase(unittest.TestCase):
    """A log, and the time of the event loop."""

    def setUp(self):
        self.log, self.now = RunLog(), 100.0

    def record(self, *incarnations):
        """Return the context of a run."""
        proven = (REQUEST,)
        return self.log.recording(proven, proven, incarnations, lambda: self.now)

    def count_lost(self, incarnation, heard_at=0.0):
        """Return how many runs were lost with an endpoint."""
        return len(self.log.lost_with(incarnation, heard_at))


class LostRunTests(RunLogTestCase):
    """Guard against crashes that leave no evidence, or accuse what had ended before."""

    def test_run_in_progress_is_lost_with_each_of_its_endpoints(self):
        with self.record(FIRST, SECOND):
            self.assertEqual(self.count_lost(FIRST), 1)
            self.assertEqual(self.count_lost(SECOND), 1)
            self.assertEqual(self.count_lost(("second", 2)), 0)

    def test_run_that_has_moved_is_lost_with_its_new_endpoint(self):
        with self.record(FIRST) as run:
            self.log.add_endpoints(run, [SECOND])
            self.log.add_endpoints(run, [SECOND])
            self.assertEqual(self.count_lost(SECOND), 1)
        self.assertEqual(self.log.running, {})

    def test_run_that_failed_after_the_endpoint_was_last_heard_of_is_lost(self):
        with self.assertRaises(OSError), self.record(FIRST):
            raise OSError
        self.assertEqual(self.count_lost(FIRST, heard_at=99.0), 1)
        self.assertEqual(self.count_lost(FIRST, heard_at=100.0), 0)

    def test_whole_answer_is_not_lost(self):
        with self.record(FIRST) as run:
            run.is_whole = True
        self.assertEqual(self.count_lost(FIRST), 0)
        self.assertEqual(self.log.ended, [])

    def test_same_request_twice_on_an_endpoint_is_kept_apart(self):
        with self.record(FIRST):
            with self.record(FIRST) as run:
                run.is_whole = True
            self.assertEqual(self.count_lost(FIRST), 1)


class DoubtfulRunTests(RunLogTestCase):
    """Guard against proofs by answers that a crash has cut off."""

    def setUp(self):
        super().setUp()
        with self.record(FIRST) as run:
            run.is_doubtful = True

    def test_answer_without_framing_is_lost_with_its_endpoint(self):
        self.assertEqual(self.count_lost(FIRST, heard_at=100.0), 1)

    def test_answer_without_framing_is_whole_after_a_while(self):
        self.assertEqual(self.log.settle(100.0 + DOUBT_TIME), [])
        settled = self.log.settle(100.1 + DOUBT_TIME)
        self.assertEqual([it.proven for it in settled], [(REQUEST,)])
        self.assertEqual(self.log.settle(100.2 + DOUBT_TIME), [])
        self.assertEqual(self.count_lost(FIRST), 0)


class MemoryTests(RunLogTestCase):
    """Guard against a log that grows with the requests."""

    def test_old_run_is_forgotten(self):
        with self.record(FIRST):
            pass
        self.log.settle(100.0 + MEMORY_TIME)
        self.assertEqual(self.count_lost(FIRST), 1)
        self.log.settle(100.1 + MEMORY_TIME)
        self.assertEqual(self.count_lost(FIRST), 0)

    def test_number_of_ended_runs_is_bounded(self):
        for _ in range(MAX_ENDED_RUNS + 10):
            with self.record(FIRST):
                pass
        self.assertEqual(len(self.log.ended), MAX_ENDED_RUNS)
        self.assertEqual(self.log.running, {})
