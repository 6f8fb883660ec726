import unittest
from unittest import mock

from lentilhaven.bench.journal_random import VIOLATION_NAMES, run_seeds
from lentilhaven.bench.tests.test_journal_model import (
    trusts_conflicts,
    trusts_lost_answers,
)
from lentilhaven.core.logs import configure_logs

CONCLUDE = "lentilhaven.idempotency.segment_writer.conclude"


def some_key_runs_twice():
    """Return whether any of up to 200 seeds executes a key twice."""
    seeds = range(1_000_000, 1_000_200)
    return any(run_seeds(seed, 1).counts["run twice"] for seed in seeds)


class JournalRandomTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        configure_logs("critical")
        cls.addClassCleanup(configure_logs, "info")

    def test_no_violations_under_faults(self):
        counts = run_seeds(5_000, 20).counts
        self.assertEqual(
            {name: counts[name] for name in VIOLATION_NAMES},
            dict.fromkeys(VIOLATION_NAMES, 0),
        )
        self.assertGreater(counts["run once"], 0)

    def test_same_seed_gives_the_same_run(self):
        self.assertEqual(run_seeds(7, 1).counts, run_seeds(7, 1).counts)

    def test_finds_a_writer_that_trusts_lost_answers(self):
        with mock.patch(CONCLUDE, trusts_lost_answers):
            self.assertTrue(some_key_runs_twice())

    def test_finds_a_writer_that_trusts_conflicts(self):
        with mock.patch(CONCLUDE, trusts_conflicts):
            self.assertTrue(some_key_runs_twice())
