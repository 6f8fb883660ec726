"""
The protocol of one object of the journal, as pure functions.

A writer holds a `Base`: a version of the object that the store has confirmed,
and its content.  It plans a batch of operations on the base, writes the result
on condition that the object still has the base's version, and gives its answers
only when that write is confirmed.  A conflict or a lost answer leaves no base:
the object is read again and the same operations are planned anew.

A write whose answer was lost may take effect after the object was read back.
It names the version that it was planned on, so it can only do so until the
next write on that version, by whichever writer, is confirmed; and no answer is
given before.  The one grant that is answered without a write is to a request
that the store already shows as the holder.
"""

from collections.abc import Sequence

import attrs

from lentilhaven.control.claim import ClaimRequest
from lentilhaven.core.failure import Failure
from lentilhaven.idempotency.claiming import apply_claim
from lentilhaven.idempotency.operation import Answer, Operation, Settled, is_final
from lentilhaven.idempotency.segment import Segment, decode_segment
from lentilhaven.idempotency.settling import apply_settlement
from lentilhaven.objects.stored_object import StoredObject
from lentilhaven.objects.write_outcome import Refused, WriteOutcome, Written


@attrs.frozen
class Base:
    """
    A confirmed version of an object.

    Attributes
    ----------
    version : int
        Its version; 0 if it does not exist.
    segment : Segment
        Its content.
    """

    version: int
    segment: Segment


@attrs.frozen
class Plan:
    """
    What a batch comes to.

    Attributes
    ----------
    segment : Segment
        Content after the batch.
    answers : list of ClaimAnswer or Settled
        One answer an operation; each holds once the content is confirmed.
    changed : bool
        Whether anything must be written.
    """

    segment: Segment
    answers: list[Answer]
    changed: bool

    @property
    def needs_fresh_base(self) -> bool:
        """Return whether the answers depend on the base being the newest."""
        if self.changed:
            return False
        return not all(is_final(answer) for answer in self.answers)


@attrs.frozen
class Conclusion:
    """
    What follows from the outcome of a write.

    Attributes
    ----------
    base : Base or None
        The new base; None if the object must be read again.
    confirmed : bool
        Whether the plan's answers may be given.
    failure : Failure or None
        Set if the batch is to be given up.
    """

    base: Base | None
    confirmed: bool = False
    failure: Failure | None = None


def base_of(stored: StoredObject | None) -> Base:
    """
    Return the base that a read gives.

    Parameters
    ----------
    stored : StoredObject or None
        What was read.
    """
    if stored is None:
        return Base(0, Segment())
    return Base(stored.version, decode_segment(stored.value))


def plan_batch(base: Base, operations: Sequence[Operation], wall: float) -> Plan:
    """
    Apply operations to a base, in order.

    Parameters
    ----------
    base : Base
        A confirmed version.
    operations : sequence of Operation
        What is asked.
    wall : float
        Time of day, in seconds since 1970.
    """
    segment, answers = base.segment, []
    for operation in operations:
        segment, answer = apply_operation(segment, operation, wall)
        answers.append(answer)
    return Plan(segment, answers, segment is not base.segment)


def apply_operation(
    segment: Segment, operation: Operation, wall: float
) -> tuple[Segment, Answer]:
    """Apply one operation and return the segment after and the answer."""
    message, bucket = operation.message, operation.bucket
    if isinstance(message, ClaimRequest):
        return apply_claim(segment, bucket, message, wall)
    return apply_settlement(segment, bucket, message), Settled(True)


def conclude(base: Base, plan: Plan, outcome: WriteOutcome) -> Conclusion:
    """
    Return what follows from the outcome of writing a plan.

    Parameters
    ----------
    base : Base
        The version on which the write was conditional.
    plan : Plan
        What was written.
    outcome : WriteOutcome
        What the store answered.
    """
    if isinstance(outcome, Written):
        return Conclusion(Base(outcome.version, plan.segment), confirmed=True)
    if isinstance(outcome, Refused):
        return Conclusion(base, failure=outcome.failure)
    return Conclusion(None)
