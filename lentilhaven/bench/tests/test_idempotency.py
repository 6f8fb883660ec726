import unittest
from unittest import mock

from lentilhaven.bench.idempotency import run_idempotency
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.control.claim import ClaimAnswer, ClaimOutcome
from lentilhaven.core.logs import configure_logs
from lentilhaven.router.agent_client import AgentClient

OPTIONS = ScenarioOptions(seed=1, size=150)


async def grant_every_claim(client, request):
    """Grant a claim without asking the journal."""
    return ClaimAnswer(ClaimOutcome.GRANTED)


class IdempotencyTests(unittest.TestCase):
    """Guards against a scenario that passes although keys run twice."""

    @classmethod
    def setUpClass(cls):
        configure_logs("critical")
        cls.addClassCleanup(configure_logs, "info")

    def test_holds_without_faults(self):
        report = run_idempotency(OPTIONS)
        self.assertTrue(report.holds, report.figures)
        self.assertGreater(report.figures["repeated-calls"].value, 0)

    def test_finds_a_router_that_grants_every_claim(self):
        with mock.patch.object(AgentClient, "claim", grant_every_claim):
            report = run_idempotency(OPTIONS)
        self.assertFalse(report.figures["run-twice"].holds, report.figures)
