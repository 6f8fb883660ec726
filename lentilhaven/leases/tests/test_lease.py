import asyncio
import random
import unittest

import attrs

from lentilhaven.bench.faulty_store import FaultyStore
from lentilhaven.core.clock import Clock
from lentilhaven.leases import Lease, LeaseSettings
from lentilhaven.standins.object_store import ObjectStore
from lentilhaven.standins.virtual import run_virtual


@attrs.define
class ManualTime:
    now: float = 0.0

    def clock(self):
        return Clock(lambda: self.now, lambda: self.now, asyncio.sleep)


class LeaseTests(unittest.TestCase):
    def setUp(self):
        source = random.Random(1)
        self.store = FaultyStore(ObjectStore(source), source, lost_answer_rate=0.0)
        self.time = ManualTime()
        self.first = self.make_lease("a")
        self.second = self.make_lease("b")

    def make_lease(self, name):
        clock = self.time.clock()
        return Lease(self.store, "leases/orders", name, f"run-{name}", clock)

    def step(self, lease):
        run_virtual(lease.step())

    def test_only_one_of_two_acquires_a_free_lease(self):
        self.step(self.first)
        self.step(self.second)
        self.assertEqual(
            (self.first.fencing_number(), self.second.fencing_number()), (1, None)
        )

    def test_paused_holder_finds_its_term_expired(self):
        self.step(self.first)
        self.time.now = LeaseSettings().duration
        self.assertIsNone(self.first.fencing_number())
        self.step(self.first)
        self.assertEqual(self.first.fencing_number(), 2)

    def test_observer_waits_from_its_own_first_read(self):
        self.step(self.first)
        self.time.now = 1.9
        self.step(self.second)
        self.time.now = 4.0
        self.step(self.second)
        self.assertIsNone(self.second.fencing_number())
        self.time.now = 4.2
        self.step(self.second)
        self.assertEqual(self.second.fencing_number(), 2)

    def test_holder_learns_that_it_was_replaced(self):
        self.step(self.first)
        self.step(self.second)
        self.time.now = 2.5
        self.step(self.second)
        self.assertEqual(
            (self.first.fencing_number(), self.second.fencing_number()), (None, 2)
        )
        self.step(self.first)
        self.assertIsNone(self.first.fencing_number())

    def test_unconfirmed_renewal_does_not_extend_the_term(self):
        self.step(self.first)
        self.time.now = 1.0
        self.store.lost_answer_rate = 1.0
        self.step(self.first)
        self.assertEqual(self.first.fencing_number(0.9), 1)
        self.assertIsNone(self.first.fencing_number(1.0))

    def test_span_must_fit_into_the_term(self):
        self.step(self.first)
        self.assertEqual(self.first.fencing_number(1.9), 1)
        self.assertIsNone(self.first.fencing_number(2.0))

    def test_released_lease_is_acquired_at_once_with_a_higher_number(self):
        self.step(self.first)
        run_virtual(self.first.release())
        self.step(self.second)
        self.assertEqual(
            (self.first.fencing_number(), self.second.fencing_number()), (None, 2)
        )
