"""A sound subject that was lost under two harmful ones."""

import unittest

from lentilhaven.crashes.ledger import CrashLedger
from lentilhaven.crashes.tests.test_ledger import (
    BAD,
    GOOD,
    OTHER,
    is_refused,
    note_ends,
)
from lentilhaven.peering.subject import Subject


class TwoCausesTests(unittest.TestCase):
    """
    Guard against the refusal of a hot request beside two requests at fault.

    It is lost with endpoints of both, more often than either of them, and each explains
    only a part of its ends.
    """

    def setUp(self):
        self.faults = CrashLedger()
        note_ends(self.faults, BAD, (1, 2, 5), start=100.0)
        note_ends(self.faults, OTHER, (3, 4, 6), start=103.0)
        note_ends(self.faults, GOOD, (1, 2), start=100.0)
        note_ends(self.faults, GOOD, (3, 4), start=103.0)

    def test_sound_request_is_served(self):
        self.assertFalse(is_refused(self.faults, GOOD))

    def test_requests_at_fault_are_refused(self):
        self.assertTrue(is_refused(self.faults, BAD))
        self.assertTrue(is_refused(self.faults, OTHER))

    def test_one_at_fault_is_refused_with_its_next_end(self):
        """Two that were lost with its endpoints, and others, excuse it only so long."""
        self.assertFalse(is_refused(self.faults, GOOD))
        note_ends(self.faults, GOOD, (7, 8, 9), start=106.0)
        self.assertTrue(is_refused(self.faults, GOOD))

    def test_end_of_its_own_makes_a_request_no_better_explained(self):
        """A sound one that was lost with an endpoint by itself excuses nobody."""
        note_ends(self.faults, GOOD, (7,), start=106.0)
        note_ends(self.faults, BAD, (10, 11, 12), start=106.0)
        self.assertTrue(is_refused(self.faults, BAD))

    def test_other_service_explains_nothing(self):
        faults = CrashLedger()
        note_ends(faults, BAD, (1, 2, 3), start=100.0)
        elsewhere = Subject("other", "bad")
        note_ends(faults, elsewhere, (1, 2, 3, 4), start=100.0)
        self.assertTrue(is_refused(faults, BAD))
