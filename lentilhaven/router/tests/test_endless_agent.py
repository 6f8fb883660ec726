import unittest

from lentilhaven.control.claim import ClaimOutcome, ClaimRequest
from lentilhaven.core.tests.endless_peer import LIMIT, TOO_LARGE, call_endless_peer
from lentilhaven.router import agent_client


class EndlessAgentTests(unittest.TestCase):
    """Guard against holding an answer without end of the agent."""

    def call(self, use, **constants):
        async def call(port, session):
            url = f"http://127.0.0.1:{port}"
            return await use(agent_client.AgentClient(url, session, ""))

        return call_endless_peer(call, agent_client, **constants)

    def test_view_is_given_up(self):
        found = self.call(
            lambda client: client.read_view(-1, -1, -1),
            MAX_VIEW_BYTES=LIMIT,
            VIEW_POLL_TIMEOUT=0.0,
        )
        self.assertIn(TOO_LARGE, found.error.detail)

    def test_claim_is_given_up_and_may_stand(self):
        answer = self.call(
            lambda client: client.claim(ClaimRequest("w", "r", "k", "f", "1")),
            MAX_ANSWER_BYTES=LIMIT,
            CLAIM_TIMEOUT=1.0,
        )
        self.assertIn(TOO_LARGE, answer.failure.detail)
        self.assertEqual(answer.outcome, ClaimOutcome.UNAVAILABLE)
        self.assertTrue(answer.may_stand)
