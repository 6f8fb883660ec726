"""One thing that the journal is asked to do."""

import attrs

from lentilhaven.control.claim import (
    ClaimAnswer,
    ClaimOutcome,
    ClaimRequest,
    Settlement,
)

#: Outcomes of a claim that no later write can change.
FINAL = frozenset({ClaimOutcome.REPLAY, ClaimOutcome.MISMATCH, ClaimOutcome.EXPIRED})


@attrs.frozen
class Operation:
    """
    A claim or a settlement, with the bucket of its key.

    Attributes
    ----------
    message : ClaimRequest or Settlement
        What is asked.
    bucket : int
        The bucket of the call's key.
    """

    message: ClaimRequest | Settlement
    bucket: int


@attrs.frozen
class Settled:
    """
    The answer to a settlement.

    Attributes
    ----------
    confirmed : bool
        Whether the store holds it, or has no more use for it.
    """

    confirmed: bool


Answer = ClaimAnswer | Settled


def is_final(answer: Answer) -> bool:
    """
    Return whether an answer holds whatever has been written since.

    Parameters
    ----------
    answer : ClaimAnswer or Settled
        An answer that needed no write.
    """
    return isinstance(answer, ClaimAnswer) and answer.outcome in FINAL
