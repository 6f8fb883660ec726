"""The rule by which subjects are held responsible for ends of endpoints."""

import unittest

from lentilhaven.crashes.breaker import (
    FIRST_HOLD,
    TRIAL_TIME,
)
from lentilhaven.crashes.ledger import (
    ALIVE_AFTER,
    EVIDENCE_TIME,
    MAX_ENDS,
    MAX_PROVEN,
    MAX_SENT_LATEST,
    MAX_SENT_PROOFS,
    MAX_SENT_STRONGEST,
    MAX_SUBJECTS_WITH_ENDS,
    PASSED_TIME,
    TIE_TIME,
    CrashLedger,
)
from lentilhaven.peering.subject import Subject, SubjectKind

BAD, GOOD, OTHER = (Subject("gen", name) for name in ("bad", "good", "other"))

CRASHING, HOT = (
    Subject("gen", name, SubjectKind.REQUEST) for name in ("crashing", "hot")
)

#: Seconds after the last end by which each gateway tries a request.
TRIED_AFTER = FIRST_HOLD


def note_ends(faults, part, numbers, start=100.0, step=0.1):
    """Record the ends of engines by number, one every `step` seconds."""
    for index, number in enumerate(numbers):
        faults.note_end(part, (f"e{number}", 1), start + index * step)


def is_refused(faults, *parts, now=110.0):
    """Return whether a request with some parts is refused."""
    return faults.find_refusal(parts, now) is not None


class RuleTests(unittest.TestCase):
    """Guard against refusals of sound requests, and of too few harmful ones."""

    def setUp(self):
        self.faults = CrashLedger()

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
        self.assertIsNone(self.faults.find_refusal([Subject("other", "bad")], 110.0))

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
        block = self.faults.find_refusal([BAD], 130.0)
        self.assertEqual((block.ends, block.age), (3, 30.0))
        self.assertEqual(block.left, FIRST_HOLD - 10.0)
        end = 130.0 + block.left
        self.assertTrue(is_refused(self.faults, BAD, now=end - 0.1))
        self.assertFalse(is_refused(self.faults, BAD, now=end + 0.1))

    def test_run_is_not_repeated_from_the_second_end(self):
        note_ends(self.faults, BAD, (1,))
        self.assertFalse(self.faults.forbids_repeat([BAD]))
        note_ends(self.faults, BAD, (2,))
        self.assertTrue(self.faults.forbids_repeat([GOOD, BAD]))
        self.assertFalse(self.faults.forbids_repeat([GOOD]))
        self.faults.note_proof(BAD, 101.0)
        self.assertFalse(self.faults.forbids_repeat([BAD]))


class RequestRivalTests(unittest.TestCase):
    """Guard against a request that goes on since a sound one ran beside it."""

    def setUp(self):
        self.faults = CrashLedger()

    def test_tie_of_requests_ends_with_the_fourth_end(self):
        for request in (CRASHING, HOT):
            note_ends(self.faults, request, range(3))
        self.assertFalse(is_refused(self.faults, CRASHING, now=100.5))
        for request in (CRASHING, HOT):
            note_ends(self.faults, request, (3,), start=100.5)
        self.assertTrue(is_refused(self.faults, CRASHING, now=100.6))

    def test_tie_of_a_part_and_a_request_ends_with_the_fourth_end(self):
        for subject in (BAD, HOT):
            note_ends(self.faults, subject, range(4))
        for subject in (BAD, HOT):
            self.assertTrue(is_refused(self.faults, subject, now=100.5))

    def test_tie_of_requests_ends_after_a_while(self):
        for request in (CRASHING, HOT):
            note_ends(self.faults, request, range(3))
        now = 100.2 + TIE_TIME + 0.1
        self.faults.find_refusal([CRASHING], now)
        self.assertIn(CRASHING, self.faults.breakers)

    def test_request_that_goes_on_without_its_rival_is_refused(self):
        note_ends(self.faults, HOT, range(8))
        note_ends(self.faults, CRASHING, range(4))
        self.assertFalse(is_refused(self.faults, CRASHING, now=101.0))
        note_ends(self.faults, CRASHING, (9,), start=102.0)
        self.assertTrue(is_refused(self.faults, CRASHING, now=103.5))

    def test_rival_that_goes_on_first_does_not_free_a_request(self):
        for request in (CRASHING, HOT):
            note_ends(self.faults, request, range(4))
            self.assertTrue(is_refused(self.faults, request, now=100.5))
        note_ends(self.faults, HOT, (5,), start=110.0)
        self.faults.find_refusal([CRASHING], 110.1)
        self.assertIn(CRASHING, self.faults.breakers)


class RareRequestTests(unittest.TestCase):
    """Guard against a request that comes once a minute, and is forgotten meanwhile."""

    def test_ends_a_minute_apart_are_counted(self):
        faults = CrashLedger()
        for number in range(3):
            at = 100.0 + 60.5 * number
            faults.note_end(CRASHING, (f"e{number}", 1), at)
            faults.expire(at + 60.0)
        self.assertTrue(faults.find_refusal([CRASHING], 222.0))

    def test_proof_is_passed_on_for_as_long_as_the_ends(self):
        faults = CrashLedger()
        faults.note_end(HOT, ("e1", 1), 100.0)
        faults.note_proof(HOT, 101.0)
        faults.expire(400.0)
        self.assertIn(HOT, faults.sent_proofs(SubjectKind.REQUEST, 400.0, 1))


class TrialTests(unittest.TestCase):
    """Guard against long refusals of sound requests, and trials that show nothing."""

    def setUp(self):
        self.faults = CrashLedger()
        for request in (CRASHING, HOT):
            note_ends(self.faults, request, range(4), step=0.0)
            self.assertTrue(is_refused(self.faults, request, now=100.1))

    def test_request_is_tried_once_its_time_of_refusal_has_passed(self):
        now = 100.0 + TRIED_AFTER
        self.assertFalse(is_refused(self.faults, HOT, now=now))
        self.assertEqual(self.faults.begin_trials([HOT], now), [HOT])
        self.assertTrue(is_refused(self.faults, HOT, now=now + 0.1))
        self.faults.note_proof(HOT, now + 0.2)
        self.assertFalse(is_refused(self.faults, HOT, now=now + 0.3))

    def test_requests_are_tried_one_after_the_other(self):
        now = 100.0 + TRIED_AFTER
        self.faults.begin_trials([HOT], now)
        self.assertTrue(is_refused(self.faults, CRASHING, now=now + 0.1))
        self.faults.note_proof(HOT, now + 0.2)
        self.assertFalse(is_refused(self.faults, CRASHING, now=now + 0.3))

    def test_trial_without_a_result_does_not_stop_others_for_long(self):
        now = 100.0 + TRIED_AFTER
        self.faults.begin_trials([HOT], now)
        self.assertFalse(is_refused(self.faults, CRASHING, now=now + TRIAL_TIME))

    def test_second_end_holds_a_request_for_longer(self):
        now = 100.0 + TRIED_AFTER
        self.faults.begin_trials([CRASHING], now)
        self.faults.note_end(CRASHING, ("e9", 1), now + 0.1)
        later = now + 2 * FIRST_HOLD
        self.assertTrue(is_refused(self.faults, CRASHING, now=later))
        self.assertFalse(is_refused(self.faults, CRASHING, now=later + TRIED_AFTER))

    def test_trial_beside_another_suspect_is_repeated_soon(self):
        now = 100.0 + TRIED_AFTER
        self.faults.begin_trials([HOT], now)
        for request in (HOT, CRASHING):
            self.faults.note_end(request, ("e9", 1), now + 0.1)
        self.assertTrue(is_refused(self.faults, HOT, now=now + 0.2))
        self.assertFalse(is_refused(self.faults, HOT, now=now + 0.2 + TRIED_AFTER))

    def test_one_end_after_the_proof_opens_nothing(self):
        """A sound request was refused again after the next ordinary crash."""
        now = 100.0 + TRIED_AFTER
        self.faults.begin_trials([HOT], now)
        self.faults.note_proof(HOT, now + 1.0)
        self.faults.note_end(HOT, ("e9", 1), now + 5.0)
        self.assertFalse(is_refused(self.faults, HOT, now=now + 6.0))

    def test_trial_of_another_gateway_is_known(self):
        other = CrashLedger()
        for request in (CRASHING, HOT):
            note_ends(other, request, range(4), step=0.0)
        now = 100.0 + TRIED_AFTER
        self.assertIsNone(other.find_refusal([HOT], now))
        self.assertEqual(other.begin_trials([HOT], now), [HOT])
        for subject, state in other.sent_breakers(now).items():
            self.faults.adopt_breaker(subject, state, now)
        self.assertTrue(is_refused(self.faults, HOT, now=now + 0.1))
        self.assertTrue(is_refused(self.faults, CRASHING, now=now + 0.1))


class AliveTests(unittest.TestCase):
    """Guard against blocks by lost answers and closed connections of live engines."""

    def check(self, heard_at):
        """Return whether a part is refused whose first engine sends data later."""
        faults = CrashLedger()
        note_ends(faults, BAD, (1, 2, 3), step=0.0)
        faults.refute_ends({("e1", 1): heard_at}, 101.0)
        faults.note_end(BAD, ("e1", 1), 100.1)
        return is_refused(faults, BAD)

    def test_engine_that_goes_on_has_not_ended(self):
        self.assertFalse(self.check(100.5))

    def test_data_in_transit_refutes_nothing(self):
        self.assertTrue(self.check(100.0 + ALIVE_AFTER / 2))

    def test_answer_of_a_plain_replica_shows_that_it_has_not_ended(self):
        faults = CrashLedger()
        note_ends(faults, BAD, (1, 2, 3), step=0.0)
        faults.note_data(("e9", 1), 100.5)
        self.assertTrue(is_refused(faults, BAD))
        faults.note_data(("e1", 1), 100.5)
        self.assertFalse(is_refused(faults, BAD))


class BoundTests(unittest.TestCase):
    """Guard against state and datagrams that grow with the parts of prompts."""

    def setUp(self):
        self.faults = CrashLedger()
        note_ends(self.faults, BAD, range(40), step=0.01)
        for number in range(3000):
            part = Subject("gen", f"part-{number}")
            self.faults.note_proof(part, 90.0)
            note_ends(self.faults, part, (number,), start=101.0 + number * 1e-4)

    def test_state_is_bounded_and_keeps_the_strongest_evidence(self):
        self.assertEqual(len(self.faults.proofs[SubjectKind.PART]), MAX_PROVEN)
        self.assertLessEqual(len(self.faults.ends), MAX_SUBJECTS_WITH_ENDS)
        self.assertEqual(len(self.faults.ends[BAD]), MAX_ENDS)
        self.assertTrue(is_refused(self.faults, BAD))

    def test_datagrams_are_bounded_and_hold_the_strongest_evidence(self):
        sent = self.faults.sent_ends(SubjectKind.PART, 101.5)
        self.assertEqual(len(sent), MAX_SENT_STRONGEST + MAX_SENT_LATEST)
        self.assertEqual(next(iter(sent)), BAD)
        proofs = self.faults.sent_proofs(SubjectKind.PART, 102.0, 1)
        self.assertLessEqual(len(proofs), MAX_SENT_PROOFS)

    def test_old_evidence_is_removed(self):
        self.faults.expire(102.0 + EVIDENCE_TIME)
        self.assertEqual(self.faults.ends, {})

    def test_old_evidence_is_not_passed_on(self):
        sent = self.faults.sent_ends(SubjectKind.PART, 101.5 + PASSED_TIME)
        self.assertEqual(sent, {})

    def test_proof_is_passed_on_only_through_fewer_gateways(self):
        faults = CrashLedger()
        note_ends(faults, GOOD, (1,))
        faults.note_proof(GOOD, 99.0, distance=1)
        self.assertEqual(faults.sent_proofs(SubjectKind.PART, 100.0, 1), {})
        self.assertEqual(faults.sent_proofs(SubjectKind.PART, 100.0, 2), {GOOD: 1.0})


class FloodTests(unittest.TestCase):
    """Guard against callers whose new requests push out what is known of others."""

    def setUp(self):
        self.faults = CrashLedger()

    def lose_others(self):
        """Let many other requests be lost once."""
        for number in range(2 * MAX_SUBJECTS_WITH_ENDS):
            other = Subject("gen", f"other-{number}", SubjectKind.REQUEST)
            self.faults.note_end(other, ("e50", 1), 101.0)

    def test_second_end_is_kept(self):
        note_ends(self.faults, CRASHING, range(2))
        self.lose_others()
        self.assertEqual(len(self.faults.ends), MAX_SUBJECTS_WITH_ENDS)
        note_ends(self.faults, CRASHING, (2,), start=102.0)
        self.assertTrue(is_refused(self.faults, CRASHING, now=103.0))

    def test_proof_of_a_lost_request_is_kept(self):
        self.faults.note_proof(HOT, 99.0)
        note_ends(self.faults, HOT, range(3))
        for number in range(2 * MAX_PROVEN):
            other = Subject("gen", f"other-{number}", SubjectKind.REQUEST)
            self.faults.note_proof(other, 101.0)
        self.assertEqual(len(self.faults.proofs[SubjectKind.REQUEST]), MAX_PROVEN)
        self.assertFalse(is_refused(self.faults, HOT, now=102.0))

    def test_trial_is_told_before_long_refusals(self):
        for index in range(20):
            other = Subject("gen", f"other-{index}", SubjectKind.REQUEST)
            ends = range(10 * index, 10 * index + 3)
            note_ends(self.faults, other, ends, start=100.0)
            self.faults.find_refusal([other], 100.5)
            tried_at = 105.0 + FIRST_HOLD
            self.faults.begin_trials([other], tried_at)
            self.faults.note_end(other, (f"f{index}", 1), tried_at + 0.1)
        note_ends(self.faults, CRASHING, range(300, 303), start=110.0)
        self.faults.find_refusal([CRASHING], 110.5)
        now = 115.0 + FIRST_HOLD
        self.assertEqual(self.faults.begin_trials([CRASHING], now), [CRASHING])
        self.assertIn(CRASHING, self.faults.sent_breakers(now + 0.1))
