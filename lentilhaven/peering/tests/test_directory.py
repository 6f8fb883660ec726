import unittest
from random import Random
from unittest import mock

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


def plain_leaders(directory, data_centre, now, count):
    """Return the leaders by their definition, from the entries alone."""
    found = [
        entry.member
        for entry in directory.entries.values()
        if entry.member.data_centre == data_centre and entry.is_responsive(now)
    ]
    if data_centre == directory.own.data_centre:
        found.append(directory.own)
    return sorted(found, key=lambda it: it.sort_key)[:count]


class RankingTests(unittest.TestCase):
    """Guards against a search of all gateways for the leaders of each datagram."""

    def test_gateways_are_ranked_once_while_they_stay_the_same(self):
        directory = Directory(member(5))
        for number in (1, 2, 6):
            directory.note_member(member(number), 0.0)
        key = mock.PropertyMock(return_value=(0.0, ""))
        with mock.patch.object(Member, "sort_key", key):
            for tenth in range(100):
                now = tenth / 10
                directory.note_received(member(1), now)
                directory.note_sent("10.0.0.2:7", now)
                directory.expire(now)
                directory.leaders("dc-a", now)
                directory.leaders("dc-b", now)
        self.assertEqual(key.call_count, 4)

    def test_leaders_are_those_of_the_definition_after_any_changes(self):
        random = Random(1)
        directory = Directory(member(5))
        now = 0.0
        for _ in range(3000):
            now += random.choice((0.1, 0.5, 10.0))
            other = member(
                random.randrange(12),
                random.choice(("dc-a", "dc-a", "dc-b", "")),
                random.choice((1.0, 2.0)),
            )
            change = random.choice(("mention", "receive", "send", "expire"))
            if change == "mention":
                directory.note_member(other, now)
            elif change == "receive":
                directory.note_received(other, now)
            elif change == "send":
                directory.note_sent(other.address, now)
            else:
                directory.expire(now)
            for data_centre in ("dc-a", "dc-b", "dc-c", ""):
                for count in (2, 4):
                    self.assertEqual(
                        directory.leaders(data_centre, now, count),
                        plain_leaders(directory, data_centre, now, count),
                    )
