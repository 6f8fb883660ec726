import unittest

from lentilhaven.core.tests.endless_peer import LIMIT, TOO_LARGE, call_endless_peer
from lentilhaven.membership import PeerClient, peer_client


class EndlessPeerTests(unittest.TestCase):
    """Guard against holding an answer without end of another agent."""

    def test_document_is_given_up(self):
        async def use(port, session):
            url = f"http://127.0.0.1:{port}/peer/tables/pools"
            return await PeerClient(session, "").get_document(url, 1.0)

        found = call_endless_peer(use, peer_client, MAX_ANSWER_BYTES=LIMIT)
        self.assertIn(TOO_LARGE, found.error.detail)
