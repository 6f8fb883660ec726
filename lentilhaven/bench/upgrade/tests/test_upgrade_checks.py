import unittest
from contextlib import AsyncExitStack
from pathlib import Path
from random import Random

from lentilhaven.bench.soak.gateway_process import GatewayProcess
from lentilhaven.bench.soak.gateway_program import GatewayProgram
from lentilhaven.bench.soak.soak_callers import Attempt
from lentilhaven.bench.soak.soak_checks import Findings
from lentilhaven.bench.soak.soak_environment import SoakEnvironment
from lentilhaven.bench.upgrade.upgrade_checks import UpgradeFindings, check_requests
from lentilhaven.bench.upgrade.upgrade_run import UpgradeRun, program_at, spans_of
from lentilhaven.standins.platform import FakeFleet, FakeReplica, FakeStore
from lentilhaven.standins.platform.fake_replica import Run

OLDER = GatewayProgram("older", "m", Path("a"))
PRESENT = GatewayProgram("present", "m", Path("b"))


class RequestTests(unittest.TestCase):
    """Each violation must be found, and put down to the version that answers for it."""

    def setUp(self):
        self.replica = FakeReplica("i-1", "stock", "127.0.0.1")
        store = FakeStore()
        fleet = FakeFleet(store, {"i-1": self.replica})
        environment = SoakEnvironment(Random(1), store, fleet, session=None)
        self.gateway = GatewayProcess({}, Path("."), None)
        self.gateway.starts += [(0.0, OLDER), (14.0, PRESENT), (24.0, OLDER)]
        self.gateway.stop_times += [10.0, 20.0]
        environment.gateways.append(self.gateway)
        self.run_state = UpgradeRun(
            environment, OLDER, PRESENT, AsyncExitStack(), Findings()
        )

    def find(self, began, runs=0, **fields):
        """Return the violations of both kinds, and the number of crossings."""
        values = {"ended": began + 1.0, "closed": True} | fields
        attempt = Attempt("r1", "post", "/post/1", "depot", 0, began, **values)
        self.run_state.environment.callers.attempts = [attempt]
        self.replica.runs = [
            Run("r1", "POST", "/post/1", {"tenant": "depot"}, attempt.sent_body, began)
        ] * runs
        found = UpgradeFindings()
        check_requests(self.run_state, found)
        names = [
            [text.partition(":")[0] for text in it.texts]
            for it in (found.broken, found.older_stops)
        ]
        return (*names, found.crossings)

    def test_request_that_a_stopping_gateway_loses(self):
        self.assertEqual(self.find(9.5, runs=1), ([], ["lost request"], 0))
        self.assertEqual(self.find(19.5, runs=1), (["lost request"], [], 0))

    def test_request_that_is_lost_without_a_stop(self):
        for began in (5.0, 16.0, 30.0):
            self.assertEqual(self.find(began, runs=1), (["lost request"], [], 0))

    def test_request_that_ends_without_an_answer_and_has_not_run(self):
        self.assertEqual(self.find(11.0), ([], ["no answer"], 0))
        self.assertEqual(self.find(21.0), (["no answer"], [], 0))
        # A reset of a new connection within a few milliseconds.
        self.assertEqual(self.find(21.0, ended=21.01), (["no answer"], [], 0))

    def test_request_that_crosses_the_close_of_a_kept_connection(self):
        self.assertEqual(self.find(21.0, ended=21.01, reused=True), ([], [], 1))
        self.assertEqual(
            self.find(21.0, ended=21.5, reused=True), (["no answer"], [], 0)
        )
        self.assertEqual(
            self.find(21.0, runs=1, ended=21.01, reused=True),
            (["lost request"], [], 0),
        )

    def test_killed_gateway(self):
        self.gateway.kill_spans.append((16.5, 17.0))
        self.assertEqual(self.find(16.0, runs=1), ([], [], 0))
        found = self.find(16.0, runs=2)
        self.assertEqual(found, (["at most once", "attempts"], [], 0))

    def test_older_gateway_that_stops_is_held_to_all_else(self):
        found = self.find(9.5, runs=1, closed=False, status=503)
        self.assertEqual(found, (["not run"], ["cut off"], 0))


class ProcessTests(unittest.TestCase):
    """Times belong to the process that ran at them."""

    def test_version_by_time(self):
        starts = [(0.0, OLDER), (14.0, PRESENT)]
        self.assertEqual(program_at(starts, 13.9), OLDER)
        self.assertEqual(program_at(starts, 14.0), PRESENT)

    def test_processes_end_by_the_next_signal(self):
        gateway = GatewayProcess({}, Path("."), None)
        gateway.starts += [(0.0, OLDER), (14.0, PRESENT), (20.0, PRESENT)]
        gateway.stop_times.append(10.0)
        gateway.kill_spans.append((18.0, 18.1))
        self.assertEqual(
            spans_of(gateway, 30.0),
            [(0.0, 10.0, OLDER), (14.0, 18.0, PRESENT), (20.0, 30.0, PRESENT)],
        )
