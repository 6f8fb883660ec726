import asyncio
import random
import unittest

import attrs

from lentilhaven.bench.faulty_store import FaultyStore
from lentilhaven.core.clock import Clock, loop_clock
from lentilhaven.leases import Lease, LeaseSettings, open_lease
from lentilhaven.standins.object_store import ObjectStore
from lentilhaven.standins.virtual import run_virtual


@attrs.define
class ManualTime:
    now: float = 0.0

    def clock(self):
        return Clock(lambda: self.now, lambda: self.now, asyncio.sleep)


#: Contents of a lease object that are no record.
ODD_RECORDS = (
    None,
    [],
    "held",
    {},
    {"vm": "a", "run": "r", "fence": 1e400, "renewal": 0},
    {"vm": "a", "run": "r", "fence": 10**400, "renewal": 0},
    {"vm": "a", "run": "r", "fence": -1, "renewal": 0},
    {"vm": "a", "run": ["r"], "fence": 0, "renewal": 0},
)


class LeaseTestCase(unittest.TestCase):
    """Two processes that run one lease."""

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


class LeaseTests(LeaseTestCase):
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


class OddRecordTests(LeaseTestCase):
    """Guard against a record of another writer that ends the task of each process."""

    def write_elsewhere(self, value):
        found = self.store.store.objects.get("leases/orders")
        version = found.version if found else 0
        run_virtual(self.store.store.write("leases/orders", value, version))

    def test_odd_record_is_taken_over_after_a_term(self):
        for value in ODD_RECORDS:
            with self.subTest(value=str(value)[:40]):
                self.setUp()
                self.write_elsewhere(value)
                self.step(self.first)
                self.assertIsNone(self.first.fencing_number())
                self.time.now += 2.3
                self.step(self.first)
                self.assertEqual(self.first.fencing_number(), 1)

    def test_odd_record_keeps_a_fencing_number_that_can_be_read(self):
        self.write_elsewhere({"vm": 7, "fence": 41})
        self.step(self.first)
        self.time.now += 2.3
        self.step(self.first)
        self.assertEqual(self.first.fencing_number(), 42)

    def test_holder_gives_a_lease_up_that_another_writer_has_changed(self):
        self.step(self.first)
        self.write_elsewhere([])
        self.step(self.first)
        self.assertIsNone(self.first.fencing_number())
        self.time.now += 2.3
        self.step(self.first)
        self.assertEqual(self.first.fencing_number(), 2)

    def test_task_goes_on_after_an_error(self):
        """Guard against a lease that no process maintains any more."""

        class FailingStore(FaultyStore):
            """A store whose first read raises an error."""

            failures = 1

            async def read(self, name):
                self.failures -= 1
                if self.failures >= 0:
                    raise RuntimeError("nobody has thought of this")
                return await super().read(name)

        async def main():
            source = random.Random(1)
            store = FailingStore(ObjectStore(source), source, lost_answer_rate=0.0)
            lease = Lease(store, "leases/orders", "a", "run-a", loop_clock())
            async with open_lease(lease):
                await asyncio.sleep(2.0)
                return lease.fencing_number()

        self.assertEqual(run_virtual(main()), 1)
