import unittest

from lentilhaven.peering.directory import (
    ANSWER_TIMEOUT,
    MEMBER_EXPIRY,
    RETRY_DELAY,
    Directory,
)
from lentilhaven.peering.member import Member


def member(number, data_centre="dc-a", capacity=1.0):
    return Member(f"10.0.0.{number}:7", data_centre, capacity)


class LeaderTests(unittest.TestCase):
    def setUp(self):
        self.directory = Directory(member(5))
        for number in (1, 2, 6):
            self.directory.note_member(member(number), 0.0)

    def leaders(self, now):
        return [leader.address for leader in self.directory.leaders("dc-a", now)]

    def test_gateways_with_the_most_capacity_lead(self):
        self.directory.note_member(member(9, capacity=4.0), 0.0)
        self.assertEqual(self.leaders(0.0), ["10.0.0.9:7", "10.0.0.1:7"])

    def test_unresponsive_leader_is_replaced(self):
        self.directory.note_sent("10.0.0.1:7", 0.0)
        self.assertEqual(self.leaders(ANSWER_TIMEOUT / 2), ["10.0.0.1:7", "10.0.0.2:7"])
        self.assertEqual(self.leaders(ANSWER_TIMEOUT), ["10.0.0.2:7", "10.0.0.5:7"])

    def test_leader_that_answers_again_leads_again(self):
        self.directory.note_sent("10.0.0.1:7", 0.0)
        self.directory.note_received(member(1), 2 * ANSWER_TIMEOUT)
        self.assertEqual(self.leaders(2 * ANSWER_TIMEOUT), ["10.0.0.1:7", "10.0.0.2:7"])

    def test_unresponsive_leader_is_retried_and_replaced_again(self):
        self.directory.note_sent("10.0.0.1:7", 0.0)
        later = RETRY_DELAY + ANSWER_TIMEOUT + 0.1
        self.assertIn("10.0.0.1:7", self.leaders(later))
        self.directory.note_sent("10.0.0.1:7", later)
        self.assertNotIn("10.0.0.1:7", self.leaders(later + ANSWER_TIMEOUT))

    def test_gateway_leads_if_no_other_is_responsive(self):
        for number in (1, 2, 6):
            self.directory.note_sent(f"10.0.0.{number}:7", 0.0)
        self.assertEqual(self.leaders(ANSWER_TIMEOUT), ["10.0.0.5:7"])

    def test_gateways_not_seen_for_long_are_removed(self):
        self.directory.note_member(member(1), 1.0)
        self.directory.expire(MEMBER_EXPIRY + 0.5)
        self.assertEqual(self.directory.addresses(), ["10.0.0.1:7"])

    def test_seed_without_known_data_centre_leads_nowhere(self):
        self.directory.note_member(Member("10.0.0.0:7"), 0.0)
        self.assertNotIn("10.0.0.0:7", self.leaders(0.0))
        self.directory.note_received(member(0), 0.0)
        self.assertIn("10.0.0.0:7", self.leaders(0.0))
