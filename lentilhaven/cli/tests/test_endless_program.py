import unittest

from lentilhaven.cli import connection
from lentilhaven.cli.client_settings import ClientSettings
from lentilhaven.core.tests.endless_peer import LIMIT, TOO_LARGE, call_endless_peer
from lentilhaven.objects.vm import ListedVm


class EndlessProgramTests(unittest.TestCase):
    """Guard against holding an answer without end of a program that is asked."""

    def test_state_dump_is_given_up(self):
        async def use(port, session):
            settings = ClientSettings(router_port=port, timeout=1.0)
            client = connection.Connection(settings, None, session)
            vm = ListedVm("vm-1", "http://127.0.0.1:7400", "a")
            return await client.request(vm, "router", "/debug/state")

        found = call_endless_peer(use, connection, MAX_ANSWER_BYTES=LIMIT)
        self.assertIn(TOO_LARGE, found.error.detail)
