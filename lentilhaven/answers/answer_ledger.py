"""Validation of the pieces of one answer."""

import enum
from collections import Counter

import attrs

from lentilhaven.core.ids import EndpointId, ModelVersion, RequestId
from lentilhaven.core.invariants import ensure
from lentilhaven.endpoints.piece import Piece, TrailEntry
from lentilhaven.tables.layer_range import covers_layers_once


class DropReason(enum.Enum):
    """
    Why a piece is not forwarded.

    ``STALE_ATTEMPT`` is a piece of any attempt but the current one, ``GAP`` a piece
    before which another one is missing, ``BROKEN_TRAIL`` a piece that was not
    computed by the complete chain of the current attempt, and ``AFTER_END`` a piece
    that follows the last one.
    """

    FOREIGN_REQUEST = "foreign-request"
    STALE_ATTEMPT = "stale-attempt"
    OTHER_VERSION = "other-version"
    REPEATED = "repeated"
    GAP = "gap"
    BROKEN_TRAIL = "broken-trail"
    AFTER_END = "after-end"


@attrs.define
class AnswerLedger:
    """
    The accepted tokens of one answer and the attempt that generates it.

    Attributes
    ----------
    request : str
        Id of the request.
    version : str
        Model version, which is the same for the whole answer.
    layer_count : int
        Number of layers of the model.
    attempt : int
        Number of the attempt whose pieces are accepted.
    chain : list of str
        Endpoints of that attempt, in the order of the layers.
    tokens : list of str
        Tokens accepted so far.
    finish_reason : str
        Finish reason of the last piece; empty until that piece is accepted.
    dropped : Counter
        Number of dropped pieces by `DropReason`.
    received_end : int
        One past the highest position received in the current attempt.
    verified_trail : list of TrailEntry or None
        The last valid trail of the current attempt.  The trail of a piece is
        compared with it by identity, so the caller of a method must not modify a
        trail that it has passed in.
    """

    request: RequestId
    version: ModelVersion
    layer_count: int
    attempt: int = 0
    chain: list[EndpointId] = attrs.field(factory=list)
    tokens: list[str] = attrs.field(factory=list)
    finish_reason: str = ""
    dropped: Counter[DropReason] = attrs.field(factory=Counter)
    received_end: int = 0
    verified_trail: list[TrailEntry] | None = None

    @property
    def has_gap(self) -> bool:
        """Return whether a piece that was dropped for a gap is still missing."""
        return self.received_end > len(self.tokens)

    def begin_attempt(self, chain: list[EndpointId], step: int = 1) -> int:
        """
        Start another attempt and return its number.

        Parameters
        ----------
        chain : list of str
            Endpoints of the attempt, in order.
        step : int
            Increment of the attempt number.
        """
        ensure(step > 0, "attempt-rises", step)
        ensure(not self.finish_reason, "attempt-after-end", self.request)
        self.attempt += step
        self.chain = chain
        self.received_end = len(self.tokens)
        self.verified_trail = None
        return self.attempt

    def adopt_attempt(
        self, attempt: int, chain: list[EndpointId], tokens: list[str]
    ) -> None:
        """
        Continue an attempt that another ledger started.

        Parameters
        ----------
        attempt : int
            Number of the attempt.
        chain : list of str
            Endpoints of the attempt, in order.
        tokens : list of str
            Tokens that the other ledger accepted before the attempt started.
        """
        ensure(self.attempt == 0, "adopt-once", self.request)
        self.attempt = attempt
        self.chain = chain
        self.tokens = tokens
        self.received_end = len(tokens)

    def find_drop_reason(self, piece: Piece) -> DropReason | None:
        """
        Return why `piece` must be dropped, or None if it may be forwarded.

        Parameters
        ----------
        piece : Piece
            A piece that has arrived.
        """
        if piece.request != self.request:
            return DropReason.FOREIGN_REQUEST
        if piece.attempt != self.attempt:
            return DropReason.STALE_ATTEMPT
        if piece.version != self.version:
            return DropReason.OTHER_VERSION
        if self.finish_reason:
            return DropReason.AFTER_END
        if piece.position < len(self.tokens):
            return DropReason.REPEATED
        if piece.position > len(self.tokens):
            return DropReason.GAP
        return None if self.trail_is_valid(piece) else DropReason.BROKEN_TRAIL

    def trail_is_valid(self, piece: Piece) -> bool:
        """
        Return whether a piece was computed by the current attempt's complete chain.

        Parameters
        ----------
        piece : Piece
            A piece of the current attempt.
        """
        trail = piece.trail
        if trail is self.verified_trail:
            return True
        if [entry.endpoint for entry in trail] != self.chain:
            return False
        if any(entry.attempt != self.attempt for entry in trail):
            return False
        if not covers_layers_once([entry.layers for entry in trail], self.layer_count):
            return False
        self.verified_trail = trail
        return True

    def accept(self, piece: Piece) -> DropReason | None:
        """
        Validate a piece, and add its token if it may be forwarded.

        Parameters
        ----------
        piece : Piece
            A piece that has arrived.

        Returns
        -------
        DropReason or None
            Why the piece is dropped; None if the caller must forward it now.
        """
        reason = self.find_drop_reason(piece)
        if reason is not None:
            if reason is DropReason.GAP:
                self.received_end = max(self.received_end, piece.position + 1)
            self.dropped[reason] += 1
            return reason
        ensure(piece.position == len(self.tokens), "position-follows", piece)
        self.tokens.append(piece.token)
        self.received_end = max(self.received_end, len(self.tokens))
        self.finish_reason = piece.finish_reason
        return None
