"""Judges the pieces of one answer."""

import enum
from collections import Counter

import attrs

from lentilhaven.core.ids import EndpointId, ModelVersion, RequestId
from lentilhaven.core.invariants import ensure
from lentilhaven.endpoints.piece import Piece
from lentilhaven.tables.layer_range import covers_once


class DropReason(enum.Enum):
    """Why a piece is not forwarded."""

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
    The state of one answer.

    Attributes
    ----------
    request : str
        The request that is answered.
    version : str
        Model version, fixed for the whole answer.
    layer_count : int
        Number of the model's layers.
    attempt : int
        The attempt whose pieces are accepted.
    chain : list of str
        Endpoints of that attempt, in order.
    tokens : list of str
        Tokens accepted so far.
    finish_reason : str
        Empty until the last piece has been accepted.
    dropped : Counter
        Number of dropped pieces by `DropReason`.
    """

    request: RequestId
    version: ModelVersion
    layer_count: int
    attempt: int = 0
    chain: list[EndpointId] = attrs.field(factory=list)
    tokens: list[str] = attrs.field(factory=list)
    finish_reason: str = ""
    dropped: Counter[DropReason] = attrs.field(factory=Counter)

    def begin_attempt(self, chain: list[EndpointId]) -> int:
        """
        Start another attempt and return its number.

        Parameters
        ----------
        chain : list of str
            Endpoints of the attempt, in order.
        """
        ensure(not self.finish_reason, "attempt-after-end", self.request)
        self.attempt += 1
        self.chain = chain
        return self.attempt

    def judge(self, piece: Piece) -> DropReason | None:
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
        return None if self.trail_holds(piece) else DropReason.BROKEN_TRAIL

    def trail_holds(self, piece: Piece) -> bool:
        """
        Return whether the trail is the whole chain of the current attempt.

        Parameters
        ----------
        piece : Piece
            A piece of the current attempt.
        """
        if [entry.endpoint for entry in piece.trail] != self.chain:
            return False
        if any(entry.attempt != self.attempt for entry in piece.trail):
            return False
        return covers_once([entry.layers for entry in piece.trail], self.layer_count)

    def accept(self, piece: Piece) -> DropReason | None:
        """
        Judge a piece and record it if it may be forwarded.

        Parameters
        ----------
        piece : Piece
            A piece that has arrived.

        Returns
        -------
        DropReason or None
            None if the piece must be forwarded now.
        """
        reason = self.judge(piece)
        if reason is not None:
            self.dropped[reason] += 1
            return reason
        ensure(piece.position == len(self.tokens), "position-follows", piece)
        self.tokens.append(piece.token)
        self.finish_reason = piece.finish_reason
        return None
