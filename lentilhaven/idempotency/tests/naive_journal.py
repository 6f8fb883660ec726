"""A reference implementation of the journal that uses a single dictionary."""

import attrs

from lentilhaven.control.claim import ClaimOutcome, SettleOutcome


@attrs.define
class NaiveCall:
    fingerprint: str
    holder: str
    state: str
    claimed_at: float
    response: object = None
    withdrawn: set = attrs.field(factory=set)


@attrs.define
class NaiveJournal:
    calls: dict = attrs.field(factory=dict)

    def claim(self, claim, now):
        call = self.calls.get(claim.key)
        if call is None:
            self.calls[claim.key] = NaiveCall(
                claim.fingerprint, claim.request, "claimed", now
            )
            return ClaimOutcome.GRANTED
        if call.fingerprint != claim.fingerprint:
            return ClaimOutcome.MISMATCH
        if claim.request in call.withdrawn:
            return ClaimOutcome.UNAVAILABLE
        if call.state == "done":
            return ClaimOutcome.REPLAY
        if call.state == "abandoned":
            call.holder, call.state, call.claimed_at = claim.request, "claimed", now
            return ClaimOutcome.GRANTED
        if call.state == "claimed" and call.holder == claim.request:
            return ClaimOutcome.GRANTED
        overdue = now - call.claimed_at > claim.in_progress_limit
        if call.state == "unknown" or overdue:
            return ClaimOutcome.UNKNOWN
        return ClaimOutcome.IN_PROGRESS

    def settle(self, claim, outcome, response):
        call = self.calls[claim.key]
        if call.holder != claim.request:
            if outcome is SettleOutcome.ABANDONED:
                call.withdrawn.add(claim.request)
            return
        if call.state == "done":
            return
        call.state = outcome.value
        if outcome is SettleOutcome.DONE:
            call.response = response
        if outcome is SettleOutcome.ABANDONED:
            call.withdrawn.add(claim.request)
