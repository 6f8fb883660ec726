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
