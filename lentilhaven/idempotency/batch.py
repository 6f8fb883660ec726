"""
The commit protocol of one journal object, as pure functions.

A writer holds a `Base`: a version of the object that the store has confirmed,
and its content.  It plans a batch of operations on the base, writes the result
on condition that the object still has the version of the base, and returns its
answers only after that write is confirmed.  After a conflict or a lost response
there is no base: the object is read again and the same operations are planned
anew.

A write whose response was lost may take effect after the object was read back.
Since it is conditional on the version that it was planned on, it can take effect
only until the next write on that version, by any writer, is confirmed; and no
answer is given before then.  The only grant that is answered without a write is
to a request that is already the holder in the store.
"""

from collections.abc import Sequence

import attrs

from lentilhaven.control.claim import ClaimRequest
from lentilhaven.core.failure import Failure
from lentilhaven.idempotency.claiming import apply_claim
from lentilhaven.idempotency.operation import (
    Answer,
    Operation,
    SettlementAnswer,
    is_final,
)
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
        Version number; 0 if the object does not exist.
    segment : Segment
        Content of the object.
    """

    version: int
    segment: Segment


@attrs.frozen
class Plan:
    """
    The result of applying a batch of operations to a base.

    Attributes
    ----------
    segment : Segment
        Content after the batch.
    answers : list of ClaimAnswer or SettlementAnswer
        One answer per operation; each is valid once the content is confirmed.
    changed : bool
        Whether the content differs from the base and must be written.
    """

    segment: Segment
    answers: list[Answer]
    changed: bool

    @property
    def needs_fresh_base(self) -> bool:
        """Return whether the answers are valid only if the base is the newest."""
        if self.changed:
            # The conditional write fails unless the base is the newest version.
            return False
        return not all(is_final(answer) for answer in self.answers)


@attrs.frozen
class WriteResult:
    """
    How a writer proceeds after a write.

    Attributes
    ----------
    base : Base or None
        The new base; None if the object must be read again.
    confirmed : bool
        Whether the answers of the plan may be returned.
    failure : Failure or None
        Why the batch is abandoned; None if it is not.
    """

    base: Base | None
    confirmed: bool = False
    failure: Failure | None = None


def decode_base(stored: StoredObject | None) -> Base:
    """
    Return the base that corresponds to a stored object.

    Parameters
    ----------
    stored : StoredObject or None
        The object as read; None if it does not exist.
    """
    if stored is None:
        return Base(0, Segment())
    return Base(stored.version, decode_segment(stored.value))


def plan_batch(base: Base, operations: Sequence[Operation], wall_time: float) -> Plan:
    """
    Apply operations to a base, in order.

    Parameters
    ----------
    base : Base
        A confirmed version.
    operations : sequence of Operation
        The operations to apply.
    wall_time : float
        Wall-clock time, in seconds since 1970.
    """
    segment, answers = base.segment, []
    for operation in operations:
        segment, answer = apply_operation(segment, operation, wall_time)
        answers.append(answer)
    return Plan(segment, answers, segment is not base.segment)


def apply_operation(
    segment: Segment, operation: Operation, wall_time: float
) -> tuple[Segment, Answer]:
    """Apply one operation and return the resulting segment and the answer."""
    message, bucket = operation.message, operation.bucket
    if isinstance(message, ClaimRequest):
        return apply_claim(segment, bucket, message, wall_time)
    return apply_settlement(segment, bucket, message), SettlementAnswer(True)


def conclude(base: Base, plan: Plan, outcome: WriteOutcome) -> WriteResult:
    """
    Return how a writer proceeds after writing a plan.

    Parameters
    ----------
    base : Base
        The version on which the write was conditional.
    plan : Plan
        The plan that was written.
    outcome : WriteOutcome
        Outcome that the store client reported.
    """
    if isinstance(outcome, Written):
        return WriteResult(Base(outcome.version, plan.segment), confirmed=True)
    if isinstance(outcome, Refused):
        return WriteResult(base, failure=outcome.failure)
    return WriteResult(None)
