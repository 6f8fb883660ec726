import unittest

from lentilhaven.peering.member import Member
from lentilhaven.peering.news import PeerNews, decode_news, encode_news
from lentilhaven.peering.peer_table import FORGET, FRESH, PeerTable


def news(vm="vm-2", number=1, run="r", **loads):
    """Return a datagram with loads by endpoint."""
    named = {name: (count, count * 10.0) for name, count in loads.items()}
    return PeerNews(vm, run, f"{vm}:7", number, loads=named)


class TotalsTests(unittest.TestCase):
    def setUp(self):
        self.table = PeerTable(Member("vm-1:7", "dc-a"), "vm-1")

    def test_the_newest_datagram_of_each_gateway_counts(self):
        self.table.take(news(number=1, a=1), 0.0)
        self.table.take(news(vm="vm-3", a=2), 0.0)
        self.table.take(news(number=2, a=4, b=1), 0.1)
        self.assertEqual(dict(self.table.sums.requests), {"a": 6, "b": 1})
        self.assertEqual(dict(self.table.sums.tokens), {"a": 60.0, "b": 10.0})

    def test_one_that_comes_late_is_ignored(self):
        self.table.take(news(number=2, a=1), 0.0)
        self.assertFalse(self.table.take(news(number=1, a=9), 0.1))
        self.assertEqual(self.table.sums.requests["a"], 1)

    def test_a_process_that_started_again_counts_anew(self):
        self.table.take(news(number=50, a=1), 0.0)
        self.assertTrue(self.table.take(news(number=1, run="s", a=3), 0.1))
        self.assertEqual(self.table.sums.requests["a"], 3)

    def test_the_load_of_a_silent_gateway_is_left_out(self):
        self.table.take(news(a=1), 0.0)
        self.table.expire(FRESH + 0.1)
        self.assertEqual(dict(self.table.sums.requests), {})
        self.table.take(news(number=2, a=2), FRESH + 0.2)
        self.assertEqual(self.table.sums.requests["a"], 2)

    def test_own_datagrams_are_ignored(self):
        self.assertFalse(self.table.take(news(vm="vm-1", a=1), 0.0))

    def test_a_silent_gateway_still_shares_the_budget_for_a_while(self):
        self.table.take(news(), 0.0)
        self.assertEqual(self.table.gateways(FRESH * 2), 2)
        self.table.expire(FORGET + 1.0)
        self.assertEqual(self.table.gateways(FORGET + 1.0), 1)


class WireTests(unittest.TestCase):
    def test_what_is_no_datagram_is_dropped(self):
        for data in (b"", b"{}", b"\xff\xfe", b'{"vm": 1}', b"[]", b"null"):
            self.assertIsNone(decode_news(data))

    def test_round_trip(self):
        sent = PeerNews(
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
        self.assertEqual(decode_news(encode_news(sent)), sent)
