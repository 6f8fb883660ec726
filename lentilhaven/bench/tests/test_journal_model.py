import unittest

from lentilhaven.bench.journal_model import ModelBounds, explore
from lentilhaven.core.invariants import VIOLATIONS
from lentilhaven.idempotency.batch import WriteResult, conclude
from lentilhaven.objects.write_outcome import Ambiguous, Conflict

BOUNDS = ModelBounds(faults=1, messages=1)


def trusts_lost_answers(base, plan, outcome):
    if isinstance(outcome, Ambiguous):
        return WriteResult(None, confirmed=True)
    return conclude(base, plan, outcome)


def trusts_conflicts(base, plan, outcome):
    if isinstance(outcome, Conflict):
        return WriteResult(None, confirmed=True)
    return conclude(base, plan, outcome)


class JournalModelTests(unittest.TestCase):
    def setUp(self):
        before = VIOLATIONS.copy()
        self.addCleanup(VIOLATIONS.update, before)
        self.addCleanup(VIOLATIONS.clear)

    def test_no_interleaving_dispatches_two_requests(self):
        found = explore(BOUNDS, 15_000)
        self.assertEqual(found.violations, [])
        self.assertEqual(found.states, 15_000)

    def test_finds_a_writer_that_trusts_lost_answers(self):
        found = explore(BOUNDS, 60_000, trusts_lost_answers)
        self.assertEqual(found.violations, ["two requests were let out"])

    def test_finds_a_writer_that_trusts_conflicts(self):
        found = explore(BOUNDS, 60_000, trusts_conflicts)
        self.assertEqual(found.violations, ["two requests were let out"])
