import unittest

from lentilhaven.control.claim import ClaimRequest
from lentilhaven.core.ran import Ran
from lentilhaven.core.tests.endless_peer import LIMIT, TOO_LARGE, call_endless_peer
from lentilhaven.idempotency import journal_peers
from lentilhaven.objects.vm import ListedVm


class EndlessPeerTests(unittest.TestCase):
    """Guard against holding an answer without end of another agent."""

    def test_forwarded_claim_is_given_up(self):
        async def use(port, session):
            vm = ListedVm("vm-2", f"http://127.0.0.1:{port}", "a")
            peers = journal_peers.JournalPeers(session, "", lambda: [vm])
            claim = ClaimRequest("w", "r", "k", "f", "1")
            return await peers.forward("vm-2", claim)

        found = call_endless_peer(use, journal_peers, MAX_ANSWER_BYTES=LIMIT)
        self.assertIn(TOO_LARGE, found.error.detail)
        # The other agent may have committed the claim.
        self.assertEqual(found.error.ran, Ran.UNKNOWN)
