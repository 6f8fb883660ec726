"""Operations on the journal and their answers."""

import attrs

from lentilhaven.control.claim import (
    ClaimAnswer,
    ClaimOutcome,
    ClaimRequest,
    Settlement,
)

#: Outcomes of a claim that no later write can invalidate.
FINAL_OUTCOMES = frozenset(
    {ClaimOutcome.REPLAY, ClaimOutcome.MISMATCH, ClaimOutcome.EXPIRED}
)


@attrs.frozen
class Operation:
    """
    A claim or a settlement, with the bucket of its key.

    Attributes
    ----------
    message : ClaimRequest or Settlement
        The claim or settlement.
    bucket : int
        The bucket of the call's key.
    """

    message: ClaimRequest | Settlement
    bucket: int


@attrs.frozen
class SettlementAnswer:
    """
    The answer to a settlement.

    Attributes
    ----------
    confirmed : bool
        Whether the store contains the settlement or no longer needs it.
    """

    confirmed: bool


Answer = ClaimAnswer | SettlementAnswer


def is_final(answer: Answer) -> bool:
    """
    Return whether an answer stays valid regardless of later writes.

    Parameters
    ----------
    answer : ClaimAnswer or SettlementAnswer
        An answer that required no write.
    """
    return isinstance(answer, ClaimAnswer) and answer.outcome in FINAL_OUTCOMES
