import asyncio
import random
import unittest

import attrs
from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from lentilhaven.bench.faulty_store import FaultyStore
from lentilhaven.control.claim import (
    ClaimOutcome,
    ClaimRequest,
    RecordedResponse,
    Settlement,
    SettleOutcome,
)
from lentilhaven.core.clock import Clock
from lentilhaven.core.invariants import VIOLATIONS
from lentilhaven.core.logs import configure_logs
from lentilhaven.idempotency import Journal, WriteBudget, time_ordered_key
from lentilhaven.idempotency.journal import MAX_CACHED_BYTES
from lentilhaven.idempotency.segment import MAX_BYTES_FOR_CLAIMS, RESPONSE_RETENTION
from lentilhaven.idempotency.tests.naive_journal import NaiveJournal
from lentilhaven.standins.object_store import ObjectStore
from lentilhaven.standins.virtual import run_virtual

RESPONSE = RecordedResponse(200, "text/plain", "b2s=")


@attrs.define
class ManualTime:
    now: float = 0.0

    def clock(self):
        return Clock(lambda: self.now, lambda: self.now, asyncio.sleep)


def make_journal(time, store):
    return Journal(store, time.clock(), WriteBudget(time.clock(), 1e6, 1e6))


def make_store(lost_rate=0.0):
    rng = random.Random(1)
    return FaultyStore(ObjectStore(rng), rng, lost_answer_rate=lost_rate, max_delay=0.0)


def make_claim(key="issue-1", request="q1", fingerprint="f", **changes):
    return ClaimRequest("w", "r", key, fingerprint, request, 100.0, **changes)


def run_submit(store, journal, message):
    """Submit one message, then wait until every late write has taken effect."""

    async def main():
        answer = await journal.submit(message)
        await asyncio.gather(*store.late_writes)
        return answer

    return run_virtual(main())


class JournalComparison(RuleBasedStateMachine):
    """Two journals over one store give the same answers as a `NaiveJournal`."""

    @initialize()
    def begin(self):
        self.time = ManualTime()
        self.store = make_store(lost_rate=0.2)
        self.journals = [make_journal(self.time, self.store) for _ in range(2)]
        self.naive = NaiveJournal()
        self.granted = []
        self.request = 0

    @rule(
        journal_index=st.integers(0, 1),
        key=st.integers(0, 2),
        fingerprint=st.sampled_from("ffg"),
    )
    def claim(self, journal_index, key, fingerprint):
        self.request += 1
        claim = make_claim(f"issue-{key}", f"q{self.request}", fingerprint)
        self.submit_claim(journal_index, claim)

    @rule(journal_index=st.integers(0, 1), claim_index=st.integers(0, 9))
    def claim_again(self, journal_index, claim_index):
        if self.granted:
            self.submit_claim(
                journal_index, self.granted[claim_index % len(self.granted)]
            )

    def submit_claim(self, journal_index, claim):
        expected = self.naive.claim(claim, self.time.now)
        answer = run_submit(self.store, self.journals[journal_index], claim)
        assert answer.outcome is expected, (answer, expected)
        if expected is ClaimOutcome.GRANTED and claim not in self.granted:
            self.granted.append(claim)
        if expected is ClaimOutcome.REPLAY:
            assert answer.response == self.naive.calls[claim.key].response

    @rule(
        journal_index=st.integers(0, 1),
        claim_index=st.integers(0, 9),
        outcome=st.sampled_from(SettleOutcome),
    )
    def settle(self, journal_index, claim_index, outcome):
        if not self.granted:
            return
        claim = self.granted[claim_index % len(self.granted)]
        call = self.naive.calls[claim.key]
        holds = call.holder == claim.request
        ended = call.state in ("done", "abandoned")
        if holds and ended and outcome.value != call.state:
            return  # A router never settles a call with two different outcomes.
        if holds and call.state == "unknown" and outcome is SettleOutcome.ABANDONED:
            return
        response = RESPONSE if outcome is SettleOutcome.DONE else None
        self.naive.settle(claim, outcome, response)
        message = Settlement(claim, outcome, response)
        answer = run_submit(self.store, self.journals[journal_index], message)
        assert answer.confirmed

    @rule(journal_index=st.integers(0, 1))
    def restart(self, journal_index):
        self.journals[journal_index] = make_journal(self.time, self.store)

    @rule(seconds=st.sampled_from([1.0, 60.0, 150.0]))
    def wait(self, seconds):
        self.time.now += seconds


class JournalTests(unittest.TestCase):
    def setUp(self):
        configure_logs("critical")
        self.addCleanup(configure_logs, "info")
        self.time = ManualTime()
        self.store = make_store()
        self.journal = make_journal(self.time, self.store)

    def submit(self, *messages, journal=None):
        async def main():
            used = journal or self.journal
            return await asyncio.gather(*(used.submit(message) for message in messages))

        return run_virtual(main())

    def outcome(self, claim, journal=None):
        return self.submit(claim, journal=journal)[0].outcome

    def test_answers_as_the_naive_journal_does(self):
        bounds = settings(
            max_examples=60, stateful_step_count=30, derandomize=True, deadline=None
        )
        run_state_machine_as_test(JournalComparison, settings=bounds)

    def test_claims_that_wait_share_one_write(self):
        self.outcome(make_claim("other"))
        written = self.store.store.version
        claims = [make_claim(request=f"q{index}") for index in range(50)]
        answers = self.submit(*claims)
        granted = [
            answer for answer in answers if answer.outcome is ClaimOutcome.GRANTED
        ]
        self.assertEqual(len(granted), 1)
        self.assertEqual(self.store.store.version, written + 1)

    def test_withdrawn_request_is_not_granted_later(self):
        self.submit(Settlement(make_claim(), SettleOutcome.ABANDONED))
        self.assertIs(self.outcome(make_claim()), ClaimOutcome.UNAVAILABLE)
        self.assertIs(self.outcome(make_claim(request="q2")), ClaimOutcome.GRANTED)

    def test_overdue_claim_counts_as_unknown_and_can_still_be_settled(self):
        self.outcome(make_claim())
        self.time.now = 101.0
        repeat = make_claim(request="q2")
        self.assertIs(self.outcome(repeat), ClaimOutcome.UNKNOWN)
        self.submit(Settlement(make_claim(), SettleOutcome.DONE, RESPONSE))
        self.assertIs(self.outcome(repeat), ClaimOutcome.REPLAY)

    def test_unknown_call_runs_again_where_endpoints_check_keys(self):
        self.outcome(make_claim())
        self.submit(Settlement(make_claim(), SettleOutcome.UNKNOWN))
        repeat = make_claim(request="q2", rerun_unknown=True)
        self.assertIs(self.outcome(repeat), ClaimOutcome.GRANTED)

    def test_stale_journal_reads_again_before_it_says_in_progress(self):
        other = make_journal(self.time, self.store)
        self.outcome(make_claim())
        self.time.now = 1.0
        done = Settlement(make_claim(), SettleOutcome.DONE, RESPONSE)
        self.submit(done, journal=other)
        self.time.now = 2.0
        self.assertIs(self.outcome(make_claim(request="q2")), ClaimOutcome.REPLAY)

    def test_key_is_expired_once_its_object_was_used_by_a_later_bucket(self):
        rng = random.Random(1)
        layout = self.journal.layout
        old = make_claim(time_ordered_key(0.0, rng))
        self.assertIs(self.outcome(old), ClaimOutcome.GRANTED)
        ring = layout.bucket_seconds * layout.ring_size
        self.time.now = float(ring)
        while True:
            young = make_claim(time_ordered_key(ring, rng))
            if layout.locate(young).name == layout.locate(old).name:
                break
        self.assertIs(self.outcome(young), ClaimOutcome.GRANTED)
        repeat = attrs.evolve(old, request="q2")
        self.assertIs(self.outcome(repeat), ClaimOutcome.EXPIRED)
        self.assertIs(self.outcome(young), ClaimOutcome.GRANTED)

    def test_segment_stays_below_the_size_of_an_object(self):
        self.journal.layout = attrs.evolve(self.journal.layout, untimed_count=1)
        body = RecordedResponse(200, "text/plain", "x" * 5_000)
        outcomes = []
        for index in range(300):
            claim = make_claim(f"issue-{index}", f"q{index}")
            outcomes.append(self.outcome(claim))
            if outcomes[-1] is ClaimOutcome.GRANTED:
                self.submit(Settlement(claim, SettleOutcome.DONE, body))
        (writer,) = self.journal.writers.values()
        self.assertIs(outcomes[-1], ClaimOutcome.UNAVAILABLE)
        self.assertLess(writer.base.segment.size, 1_000_000)
        self.assertGreater(writer.base.segment.size, MAX_BYTES_FOR_CLAIMS)
        self.time.now = RESPONSE_RETENTION + 1
        self.assertIs(self.outcome(make_claim("new")), ClaimOutcome.GRANTED)
        answer = self.submit(make_claim("issue-0", "again"))[0]
        self.assertEqual((answer.outcome, answer.response), (ClaimOutcome.REPLAY, None))

    def test_operation_that_breaks_an_invariant_fails_alone(self):
        before = VIOLATIONS.copy()
        self.addCleanup(VIOLATIONS.update, before)
        self.addCleanup(VIOLATIONS.clear)
        self.outcome(make_claim())
        abandoned = Settlement(make_claim(), SettleOutcome.ABANDONED)
        done = Settlement(make_claim(), SettleOutcome.DONE, RESPONSE)
        again = make_claim(request="q2")
        answers = self.submit(abandoned, done, again)
        self.assertTrue(answers[0].confirmed)
        self.assertFalse(answers[1].confirmed)
        self.assertIs(answers[2].outcome, ClaimOutcome.GRANTED)

    def test_segments_held_in_memory_are_bounded(self):
        body = RecordedResponse(200, "text/plain", "x" * 100_000)
        for index in range(120):
            claim = make_claim(f"issue-{index}", f"q{index}")
            self.outcome(claim)
            self.submit(Settlement(claim, SettleOutcome.DONE, body))
        cached = sum(writer.cached_bytes for writer in self.journal.writers.values())
        self.assertLess(cached, MAX_CACHED_BYTES + 200_000)
        self.assertIs(self.outcome(make_claim("issue-0", "again")), ClaimOutcome.REPLAY)

    def test_journal_with_another_layout_grants_nothing(self):
        self.assertIs(self.outcome(make_claim()), ClaimOutcome.GRANTED)
        other = make_journal(self.time, self.store)
        other.layout = attrs.evolve(other.layout, untimed_count=7)
        answer = self.submit(make_claim(request="q2"), journal=other)[0]
        self.assertEqual(answer.failure.kind, "layout-differs")

    def test_outage_grants_nothing(self):
        self.store.outage = True
        self.assertIs(self.outcome(make_claim()), ClaimOutcome.UNAVAILABLE)
