"""How often the other gateways ask for a service, as limits of endpoints need it."""

import unittest

import attrs

from lentilhaven.peering.member import Member
from lentilhaven.peering.messages import (
    LimitState,
    PeerMessage,
    Scope,
    decode_message,
    encode_message,
)
from lentilhaven.peering.peer_table import (
    LOAD_EXPIRY,
    SILENT_DEMAND_TIME,
    PeerTable,
)


def message(number, rate, **other):
    """Return the datagram of a gateway that tries to send at a rate."""
    attempts = None if rate is None else {"stock": rate}
    return PeerMessage(
        f"vm-{number}", "r", f"10.0.0.{number}:7000", 1, attempts=attempts, **other
    )


def table_with(*messages, now=0.0):
    """Return the table of a gateway that has received datagrams."""
    table = PeerTable(Member("10.0.0.1:7000"), "vm-1")
    for it in messages:
        table.receive(it, now)
    return table


class DemandTests(unittest.TestCase):
    def test_gateways_are_summed_up(self):
        table = table_with(message(2, 5.0), message(3, 7.0))
        self.assertEqual(table.demand_of_others("stock", 1.0, 0.0), 12.0)

    def test_gateway_of_an_earlier_release_counts_as_this_one(self):
        table = table_with(message(2, 5.0), message(3, None))
        self.assertEqual(table.demand_of_others("stock", 4.0, 0.0), 9.0)

    def test_silent_gateway_counts_for_a_while(self):
        """It may be cut off from the others only, and go on sending."""
        table = table_with(message(2, 5.0))
        for now, expected in (
            (LOAD_EXPIRY + 0.1, 5.0),
            (SILENT_DEMAND_TIME + 0.1, 0.0),
        ):
            table.expire(now)
            self.assertEqual(table.demand_of_others("stock", 4.0, now), expected)

    def test_own_part_of_a_sum_over_all_does_not_count(self):
        table = table_with(message(2, 30.0, scope=Scope.FLEET, gateways=10))
        table.reported_load.attempts["stock"] = 4.0
        self.assertEqual(table.demand_of_others("stock", 5.0, 0.0), 26.0)

    def test_last_sum_counts_for_a_gateway_that_hears_nothing(self):
        table = table_with(message(2, 30.0, scope=Scope.FLEET, gateways=10))
        table.expire(LOAD_EXPIRY + 0.1)
        found = table.demand_of_others("stock", 5.0, LOAD_EXPIRY + 0.1)
        self.assertEqual(found, 30.0)


class FormatTests(unittest.TestCase):
    def test_limits_are_read_as_written(self):
        limits = {("i-1", 17): LimitState(6.4, 0.2), ("i-2", 3): LimitState(0, 1, 0.5)}
        sent = message(2, 5.0, limits=limits, sent={"i-1": 4})
        self.assertEqual(decode_message(encode_message(sent)), sent)

    def test_malformed_limits_make_a_datagram_malformed(self):
        for limit in (LimitState(float("nan"), 0.0), LimitState(1.0, float("inf"))):
            with self.subTest(limit=limit):
                sent = message(2, 5.0, limits={("i-1", 17): limit})
                self.assertIsNone(decode_message(encode_message(sent)))

    def test_datagram_of_an_earlier_release_is_read(self):
        sent = attrs.evolve(message(2, None), limits={}, sent={})
        self.assertIsNone(decode_message(encode_message(sent)).attempts)
