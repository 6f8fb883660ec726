import asyncio
import unittest

from structlog.testing import capture_logs

from lentilhaven.core.failure import Failure
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.gateway.service_relay import Attempts, UpstreamResponse
from lentilhaven.gateway.tests.platform_testbed import plain_replicas, run_on_testbed
from lentilhaven.platform.response_head import decode_response_head


def silence(replica, seconds):
    """Let a replica send nothing for some seconds from now."""
    replica.faults.silent_until = asyncio.get_running_loop().time() + seconds


class SameIterationTests(unittest.TestCase):
    """Guard against a good answer that is replaced by a failure that comes with it."""

    def answer(self, status):
        return UpstreamResponse(decode_response_head(status, []), b"")

    def test_good_answer_stays_if_a_failed_one_ends_with_it(self):
        attempts = Attempts()
        attempts.record(self.answer(200))
        attempts.record(self.answer(500))
        self.assertTrue(attempts.succeeded)

    def test_good_answer_stays_if_an_unknown_outcome_comes_with_it(self):
        attempts = Attempts()
        attempts.record(self.answer(200))
        attempts.record(Failure(Step.SEND, "", "reset", "", Ran.UNKNOWN))
        self.assertTrue(attempts.succeeded)


class LaterReplicaTests(unittest.TestCase):
    """
    Guard against a slow first attempt that fails without a retry.

    A replica or a retry that was not to be had when the first attempt became slow was
    never asked for again.
    """

    def test_replica_that_is_back_serves_after_the_first_has_failed(self):
        async def scenario(bed):
            slow, other = (bed.fleet.replicas[f"i-stock-{it}"] for it in range(2))
            silence(slow, 0.5)
            slow.faults.lose_answer = True
            now = asyncio.get_running_loop().time()
            for gateway in bed.gateways:
                for endpoint in gateway.view.of_service("stock"):
                    if endpoint.id == other.id:
                        state = gateway.endpoint_states.of(endpoint)
                        state.paused_until = now + 0.3
            return await bed.call("/look/1", "GET")

        reply = run_on_testbed(scenario, plain_replicas())
        self.assertEqual(reply.status, 200)


class AttemptLogTests(unittest.TestCase):
    """Guard against an attempt without a line since another replica was faster."""

    def test_attempt_that_loses_has_a_line(self):
        async def scenario(bed):
            silence(bed.fleet.replicas["i-stock-0"], 0.5)
            replies = [await bed.call(f"/look/{it}", "GET") for it in range(4)]
            return [it.status for it in replies]

        with capture_logs() as lines:
            statuses = run_on_testbed(scenario, plain_replicas())
        self.assertEqual(statuses, [200] * 4)
        outcomes = [it["outcome"] for it in lines if it["event"] == "replica tried"]
        self.assertEqual(outcomes.count("status 200"), 4)
        self.assertIn("cancelled", outcomes)
