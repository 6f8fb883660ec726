"""Demand of a data centre, which gateways that do not lead learn from leaders only."""

import unittest

import attrs

from lentilhaven.peering.directory import Directory
from lentilhaven.peering.local_demand import local_demand
from lentilhaven.peering.member import Member
from lentilhaven.peering.messages import (
    PeerMessage,
    Scope,
    decode_message,
    encode_message,
)
from lentilhaven.peering.peer_table import PeerTable


def report(number, data_centre, **other):
    address = f"10.0.0.{number}:7"
    return PeerMessage(
        f"vm-{number}", "r", address, 1, data_centre=data_centre, **other
    )


class LocalDemandTests(unittest.TestCase):
    """Guards against the demand of another data centre in the forecast."""

    def setUp(self):
        own = Member("10.0.0.9:7", "a", 0.5)
        self.table = PeerTable(own, "vm-9", Directory(own, full_mesh_limit=2))

    def receive(self, *messages):
        for message in messages:
            self.table.receive(decode_message(encode_message(message)), 0.0)

    def test_a_leader_sums_up_its_data_centre(self):
        self.receive(
            report(1, "a", attempts={"gen": 3.0}),
            report(2, "b", attempts={"gen": 50.0}),
            report(3, "a"),
        )
        found = local_demand(self.table, {"gen": 1.0, "stock": 2.0}, 0.1)
        self.assertEqual(found, {"gen": 4.0, "stock": 2.0})

    def test_others_take_what_their_leader_tells(self):
        told = {"scope": Scope.FLEET, "capacity": 2.0, "gateways": 9}
        self.receive(
            report(1, "a", local_attempts={"gen": 30.0}, **told),
            report(2, "a", local_attempts={"gen": 30.0}, **told),
            report(3, "b", local_attempts={"gen": 50.0}, **told),
        )
        self.assertEqual(local_demand(self.table, {"gen": 1.0}, 0.1), {"gen": 30.0})
        self.assertEqual(local_demand(self.table, {"gen": 1.0}, 9.0), {})

    def test_an_earlier_release_tells_none(self):
        message = report(1, "a", scope=Scope.FLEET, capacity=2.0, gateways=9)
        self.receive(message, attrs.evolve(message, vm="vm-2", address="10.0.0.2:7"))
        self.assertEqual(local_demand(self.table, {"gen": 1.0}, 0.1), {})
