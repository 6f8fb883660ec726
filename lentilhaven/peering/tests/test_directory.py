import unittest

from lentilhaven.peering.directory import FORGET, QUIET, RETRY, Directory
from lentilhaven.peering.member import Member


def member(number, data_centre="dc-a", capacity=1.0):
    return Member(f"10.0.0.{number}:7", data_centre, capacity)


class LeaderTests(unittest.TestCase):
    def setUp(self):
        self.directory = Directory(member(5))
        for number in (1, 2, 6):
            self.directory.name(member(number), 0.0)

    def leaders(self, now):
        return [it.address for it in self.directory.leaders("dc-a", now)]

    def test_the_largest_lead(self):
        self.directory.name(member(9, capacity=4.0), 0.0)
        self.assertEqual(self.leaders(0.0), ["10.0.0.9:7", "10.0.0.1:7"])

    def test_one_that_does_not_answer_is_replaced(self):
        self.directory.note_sent("10.0.0.1:7", 0.0)
        self.assertEqual(self.leaders(QUIET / 2), ["10.0.0.1:7", "10.0.0.2:7"])
        self.assertEqual(self.leaders(QUIET), ["10.0.0.2:7", "10.0.0.5:7"])

    def test_one_that_answers_again_leads_again(self):
        self.directory.note_sent("10.0.0.1:7", 0.0)
        self.directory.note_heard(member(1), 2 * QUIET)
        self.assertEqual(self.leaders(2 * QUIET), ["10.0.0.1:7", "10.0.0.2:7"])

    def test_one_that_did_not_answer_is_tried_again_and_given_up_again(self):
        self.directory.note_sent("10.0.0.1:7", 0.0)
        later = RETRY + QUIET + 0.1
        self.assertIn("10.0.0.1:7", self.leaders(later))
        self.directory.note_sent("10.0.0.1:7", later)
        self.assertNotIn("10.0.0.1:7", self.leaders(later + QUIET))

    def test_without_any_other_it_leads_itself(self):
        for number in (1, 2, 6):
            self.directory.note_sent(f"10.0.0.{number}:7", 0.0)
        self.assertEqual(self.leaders(QUIET), ["10.0.0.5:7"])

    def test_those_that_nobody_names_any_more_are_forgotten(self):
        self.directory.name(member(1), 1.0)
        self.directory.expire(FORGET + 0.5)
        self.assertEqual(self.directory.addresses(), ["10.0.0.1:7"])

    def test_a_seed_whose_data_centre_is_not_known_leads_nowhere(self):
        self.directory.name(Member("10.0.0.0:7"), 0.0)
        self.assertNotIn("10.0.0.0:7", self.leaders(0.0))
        self.directory.note_heard(member(0), 0.0)
        self.assertIn("10.0.0.0:7", self.leaders(0.0))
