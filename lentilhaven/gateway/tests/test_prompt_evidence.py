"""The rule by which parts of prompts are held responsible for ends of endpoints."""

import unittest

from lentilhaven.gateway.endpoint_states import EndpointState
from lentilhaven.gateway.prompt_faults import (
    ALIVE_AFTER,
    EVIDENCE_TIME,
    MAX_ENDS,
    MAX_PARTS_WITH_ENDS,
    MAX_PROVEN_PARTS,
    MAX_SENT_PARTS,
    MAX_SENT_PROOFS,
    PASSED_TIME,
    PromptFaults,
)

BAD, GOOD, OTHER = ("gen", "bad"), ("gen", "good"), ("gen", "other")


def note_ends(faults, part, numbers, start=100.0, step=0.1):
    """Record the ends of engines by number, one every `step` seconds."""
    for index, number in enumerate(numbers):
        faults.note_end(part, (f"e{number}", 1), start + index * step)


def is_refused(faults, *parts, now=110.0):
    """Return whether a request with some parts is refused."""
    return faults.find_block("gen", [part for _, part in parts], now) is not None


class RuleTests(unittest.TestCase):
    """Guard against refusals of sound requests, and of too few harmful ones."""

    def setUp(self):
        self.faults = PromptFaults()

    def test_three_ends_block_an_unproven_part(self):
        note_ends(self.faults, BAD, (1, 2))
        self.assertFalse(is_refused(self.faults, BAD))
        note_ends(self.faults, BAD, (3,))
        self.assertTrue(is_refused(self.faults, BAD))
        self.assertTrue(is_refused(self.faults, GOOD, BAD))
        self.assertFalse(is_refused(self.faults, GOOD))

    def test_ends_of_one_engine_count_once(self):
        note_ends(self.faults, BAD, (1, 1, 1, 2))
        self.assertFalse(is_refused(self.faults, BAD))

    def test_parts_belong_to_a_service(self):
        note_ends(self.faults, BAD, (1, 2, 3))
        self.assertIsNone(self.faults.find_block("other", ["bad"], 110.0))

    def test_part_that_shares_every_end_is_not_refused_once_proven(self):
        for part in (BAD, GOOD):
            note_ends(self.faults, part, range(6))
        self.assertTrue(is_refused(self.faults, BAD, GOOD))
        self.assertFalse(is_refused(self.faults, GOOD))
        self.assertFalse(is_refused(self.faults, BAD))
        self.faults.note_proof(GOOD, 101.0)
        self.assertFalse(is_refused(self.faults, GOOD))
        self.assertTrue(is_refused(self.faults, BAD))

    def test_further_end_tells_parts_apart(self):
        for part in (BAD, GOOD):
            note_ends(self.faults, part, (1, 2, 3))
        note_ends(self.faults, BAD, (4,), start=101.0)
        self.assertTrue(is_refused(self.faults, BAD))
        self.assertTrue(is_refused(self.faults, BAD, OTHER))
        self.assertFalse(is_refused(self.faults, GOOD))

    def test_two_harmful_parts_are_told_apart(self):
        note_ends(self.faults, BAD, (1, 2, 3))
        note_ends(self.faults, OTHER, (4, 5, 6))
        self.assertTrue(is_refused(self.faults, BAD))
        self.assertTrue(is_refused(self.faults, OTHER))

    def test_engines_that_fail_together_do_not_speak_against_a_proven_part(self):
        self.faults.note_proof(GOOD, 99.0)
        note_ends(self.faults, GOOD, range(12), step=0.05)
        self.assertFalse(is_refused(self.faults, GOOD))

    def test_proven_part_that_turns_harmful_is_refused(self):
        self.faults.note_proof(BAD, 99.0)
        note_ends(self.faults, BAD, range(5), step=0.6)
        self.assertTrue(is_refused(self.faults, BAD))

    def test_part_is_refused_that_turns_harmful_after_an_ordinary_crash(self):
        note_ends(self.faults, BAD, (20,), start=50.0)
        self.faults.note_proof(BAD, 99.0)
        note_ends(self.faults, BAD, range(5), step=0.6)
        self.assertTrue(is_refused(self.faults, BAD))

    def test_old_proof_does_not_protect_a_part(self):
        self.faults.note_proof(BAD, 60.0)
        note_ends(self.faults, BAD, (1, 2, 3))
        self.assertTrue(is_refused(self.faults, BAD))

    def test_block_lasts_as_long_as_its_evidence(self):
        note_ends(self.faults, BAD, (1, 2, 3), step=10.0)
        block = self.faults.find_block("gen", ["bad"], 130.0)
        self.assertEqual((block.ends, block.age), (3, 30.0))
        self.assertEqual(block.left, EVIDENCE_TIME - 30.0)
        end = 130.0 + block.left
        self.assertTrue(is_refused(self.faults, BAD, now=end - 0.1))
        self.assertFalse(is_refused(self.faults, BAD, now=end + 0.1))

    def test_run_is_not_repeated_from_the_second_end(self):
        note_ends(self.faults, BAD, (1,))
        self.assertFalse(self.faults.forbids_repeat("gen", ["bad"]))
        note_ends(self.faults, BAD, (2,))
        self.assertTrue(self.faults.forbids_repeat("gen", ["good", "bad"]))
        self.assertFalse(self.faults.forbids_repeat("gen", ["good"]))
        self.faults.note_proof(BAD, 101.0)
        self.assertFalse(self.faults.forbids_repeat("gen", ["bad"]))


class AliveTests(unittest.TestCase):
    """Guard against blocks by lost answers and closed connections of live engines."""

    def check(self, heard_at):
        """Return whether a part is refused whose first engine sends data later."""
        faults, state = PromptFaults(), EndpointState()
        note_ends(faults, BAD, (1, 2, 3), step=0.0)
        state.note_heard(heard_at)
        faults.refute_ends({("e1", 1): state}, 101.0)
        faults.note_end(BAD, ("e1", 1), 100.1)
        return is_refused(faults, BAD)

    def test_engine_that_goes_on_has_not_ended(self):
        self.assertFalse(self.check(100.5))

    def test_data_in_transit_refutes_nothing(self):
        self.assertTrue(self.check(100.0 + ALIVE_AFTER / 2))

    def test_answer_of_a_plain_replica_shows_that_it_has_not_ended(self):
        faults = PromptFaults()
        note_ends(faults, BAD, (1, 2, 3), step=0.0)
        faults.note_data(("e9", 1), 100.5)
        self.assertTrue(is_refused(faults, BAD))
        faults.note_data(("e1", 1), 100.5)
        self.assertFalse(is_refused(faults, BAD))

    def test_late_report_of_another_gateway_refutes_nothing(self):
        faults, state = PromptFaults(), EndpointState()
        note_ends(faults, BAD, (1, 2, 3), step=0.0)
        state.note_heard(100.5, distance=2)
        faults.refute_ends({("e1", 1): state}, 101.0)
        self.assertTrue(is_refused(faults, BAD))


class BoundTests(unittest.TestCase):
    """Guard against state and datagrams that grow with the parts of prompts."""

    def setUp(self):
        self.faults = PromptFaults()
        note_ends(self.faults, BAD, range(40), step=0.01)
        for number in range(3000):
            part = ("gen", f"part-{number}")
            self.faults.note_proof(part, 90.0)
            note_ends(self.faults, part, (number,), start=101.0)

    def test_state_is_bounded_and_keeps_the_strongest_evidence(self):
        self.assertEqual(len(self.faults.proofs), MAX_PROVEN_PARTS)
        self.assertLessEqual(len(self.faults.ends), MAX_PARTS_WITH_ENDS)
        self.assertEqual(len(self.faults.ends[BAD]), MAX_ENDS)
        self.assertTrue(is_refused(self.faults, BAD))

    def test_datagrams_are_bounded_and_hold_the_strongest_evidence(self):
        sent = self.faults.sent_ends(102.0)
        self.assertEqual(len(sent), MAX_SENT_PARTS)
        self.assertEqual(next(iter(sent)), BAD)
        self.assertLessEqual(len(self.faults.sent_proofs(102.0, 1)), MAX_SENT_PROOFS)

    def test_old_evidence_is_removed(self):
        self.faults.expire(102.0 + EVIDENCE_TIME)
        self.assertEqual(self.faults.ends, {})

    def test_old_evidence_is_not_passed_on(self):
        self.assertEqual(self.faults.sent_ends(101.5 + PASSED_TIME), {})

    def test_proof_is_passed_on_only_through_fewer_gateways(self):
        faults = PromptFaults()
        note_ends(faults, GOOD, (1,))
        faults.note_proof(GOOD, 99.0, distance=1)
        self.assertEqual(faults.sent_proofs(100.0, 1), {})
        self.assertEqual(faults.sent_proofs(100.0, 2), {GOOD: 1.0})
