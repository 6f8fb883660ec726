import unittest
from unittest import mock

from lentilhaven.bench.orders_random import WRONG, run_seeds
from lentilhaven.core.logs import configure_logs


def takes_over_at_once(sighting, settings, now):
    return True


class OrdersRandomTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        configure_logs("critical")
        cls.addClassCleanup(configure_logs, "info")

    def test_orders_hold_their_promises_under_faults(self):
        counts = run_seeds(0, 6)
        self.assertEqual(
            {name: counts[name] for name in WRONG}, dict.fromkeys(WRONG, 0)
        )

    def test_finds_a_lease_that_is_taken_over_at_once(self):
        with mock.patch("lentilhaven.leases.lease.may_take_over", takes_over_at_once):
            self.assertGreater(run_seeds(0, 2)["two holders"], 0)

    def test_finds_waves_that_take_too_many_out(self):
        def spare_all(group, draining, rules):
            return [it.endpoint for it in group if it.outdated]

        with mock.patch("lentilhaven.orders.waves.spare", spare_all):
            self.assertGreater(run_seeds(0, 2)["range below its capacity"], 0)
