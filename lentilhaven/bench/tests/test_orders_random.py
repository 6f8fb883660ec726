import unittest
from unittest import mock

from lentilhaven.bench.orders_random import VIOLATION_NAMES, run_seeds
from lentilhaven.core.logs import configure_logs


def takes_over_at_once(sighting, settings, now):
    return True


class OrdersRandomTests(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        configure_logs("critical")
        cls.addClassCleanup(configure_logs, "info")

    def test_no_violations_under_faults(self):
        counts = run_seeds(0, 6)
        self.assertEqual(
            {name: counts[name] for name in VIOLATION_NAMES},
            dict.fromkeys(VIOLATION_NAMES, 0),
        )

    def test_finds_a_lease_that_is_taken_over_at_once(self):
        with mock.patch("lentilhaven.leases.lease.may_take_over", takes_over_at_once):
            self.assertGreater(run_seeds(0, 2)["two holders"], 0)

    def test_finds_waves_that_update_too_many_endpoints(self):
        def select_all_outdated(group, draining, rules):
            return [it.endpoint for it in group if it.outdated]

        with mock.patch("lentilhaven.orders.waves.spare", select_all_outdated):
            self.assertGreater(run_seeds(0, 2)["range below its capacity"], 0)
