import unittest

from lentilhaven.core.store_position import StorePosition
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.endpoint_history import EndpointChanges
from lentilhaven.fleet.fleet_view import FleetView


def endpoint(name, address="10.0.0.1:80"):
    return Endpoint(name, "stock", address, "dc-a")


def at(revision, era=0):
    return StorePosition(era, revision)


class FollowingTests(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.first = FleetView(monotonic=lambda: self.now)
        self.second = FleetView(monotonic=lambda: self.now)
        for view in (self.first, self.second):
            view.replace_endpoints([endpoint("a"), endpoint("b")], at(5), "store")

    def follow(self):
        return self.second.apply_peer_changes(
            self.first.history.recent_changes(self.now), "peer"
        )

    def test_changes_of_another_process_bring_the_same_view(self):
        self.first.apply_changes([endpoint("c")], ["a"], at(7), "store")
        self.first.apply_changes([endpoint("b", "10.0.0.9:80")], [], at(9), "store")
        self.assertTrue(self.follow())
        self.assertEqual(self.second.endpoints, self.first.endpoints)
        self.assertEqual(self.second.endpoints_position, at(9))

    def test_a_whole_listing_counts_as_changes(self):
        self.first.replace_endpoints([endpoint("b")], at(8), "store")
        self.assertTrue(self.follow())
        self.assertEqual(set(self.second.endpoints), {"b"})

    def test_one_that_missed_more_must_ask_for_everything(self):
        self.now = 10.0
        self.first.apply_changes([], ["a"], at(7), "store")
        self.now = 20.0
        self.first.apply_changes([endpoint("c")], [], at(9), "store")
        self.assertFalse(self.follow())
        self.assertEqual(set(self.second.endpoints), {"a", "b"})

    def test_older_changes_are_left_alone(self):
        changes = EndpointChanges(at(3), at(5), (), ("a",))
        self.assertFalse(self.second.apply_peer_changes(changes, "peer"))
        self.assertIn("a", self.second.endpoints)
