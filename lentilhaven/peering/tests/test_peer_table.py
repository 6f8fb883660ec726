import unittest

from lentilhaven.peering.member import Member
from lentilhaven.peering.messages import PeerMessage, decode_message, encode_message
from lentilhaven.peering.peer_table import LOAD_EXPIRY, MEMBER_EXPIRY, PeerTable


def message(vm="vm-2", number=1, run="r", **counts):
    """Return a datagram with the given number of requests by endpoint."""
    loads = {name: (count, count * 10.0) for name, count in counts.items()}
    return PeerMessage(vm, run, f"{vm}:7", number, loads=loads)


class PeerLoadTests(unittest.TestCase):
    def setUp(self):
        self.table = PeerTable(Member("vm-1:7", "dc-a"), "vm-1")

    def test_latest_datagram_of_each_gateway_counts(self):
        self.table.receive(message(number=1, a=1), 0.0)
        self.table.receive(message(vm="vm-3", a=2), 0.0)
        self.table.receive(message(number=2, a=4, b=1), 0.1)
        self.assertEqual(dict(self.table.peer_load.requests), {"a": 6, "b": 1})
        self.assertEqual(
            dict(self.table.peer_load.token_layers), {"a": 60.0, "b": 10.0}
        )

    def test_reordered_datagram_is_ignored(self):
        self.table.receive(message(number=2, a=1), 0.0)
        self.assertFalse(self.table.receive(message(number=1, a=9), 0.1))
        self.assertEqual(self.table.peer_load.requests["a"], 1)

    def test_restarted_process_numbers_its_datagrams_anew(self):
        self.table.receive(message(number=50, a=1), 0.0)
        self.assertTrue(self.table.receive(message(number=1, run="s", a=3), 0.1))
        self.assertEqual(self.table.peer_load.requests["a"], 3)

    def test_load_of_silent_gateway_is_not_counted(self):
        self.table.receive(message(a=1), 0.0)
        self.table.expire(LOAD_EXPIRY + 0.1)
        self.assertEqual(dict(self.table.peer_load.requests), {})
        self.table.receive(message(number=2, a=2), LOAD_EXPIRY + 0.2)
        self.assertEqual(self.table.peer_load.requests["a"], 2)

    def test_own_datagrams_are_ignored(self):
        self.assertFalse(self.table.receive(message(vm="vm-1", a=1), 0.0))

    def test_silent_gateway_shares_the_retry_budget_until_it_expires(self):
        self.table.receive(message(), 0.0)
        self.assertEqual(self.table.count_gateways(LOAD_EXPIRY * 2), 2)
        self.table.expire(MEMBER_EXPIRY + 1.0)
        self.assertEqual(self.table.count_gateways(MEMBER_EXPIRY + 1.0), 1)


class EncodingTests(unittest.TestCase):
    def test_malformed_datagrams_are_dropped(self):
        for data in (b"", b"{}", b"\xff\xfe", b'{"vm": 1}', b"[]", b"null"):
            self.assertIsNone(decode_message(data))

    def test_round_trip(self):
        sent = PeerMessage(
            "vm-2",
            "r",
            "10.0.0.2:7",
            3,
            loads={"e": (1, 2.0)},
            heard={"e": 0.01},
            suspects={"f": (0.1, 3.0)},
            pipes={"a|b": 5.0},
            members=(Member("10.0.0.3:7", "dc-b", 2.0),),
        )
        self.assertEqual(decode_message(encode_message(sent)), sent)
