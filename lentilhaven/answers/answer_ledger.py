"""Judges the pieces of one answer."""

import enum
from collections import Counter

import attrs

from lentilhaven.core.ids import EndpointId, ModelVersion, RequestId
from lentilhaven.core.invariants import ensure
from lentilhaven.endpoints.piece import Piece, TrailEntry
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
    furthest : int
        One past the highest position that the current attempt has shown.
    checked_trail : list of TrailEntry or None
        The newest trail of the current attempt that held; whoever hands in a
        trail does not change it afterwards.
    """

    request: RequestId
    version: ModelVersion
    layer_count: int
    attempt: int = 0
    chain: list[EndpointId] = attrs.field(factory=list)
    tokens: list[str] = attrs.field(factory=list)
    finish_reason: str = ""
    dropped: Counter[DropReason] = attrs.field(factory=Counter)
    furthest: int = 0
    checked_trail: list[TrailEntry] | None = None

    @property
    def has_gap(self) -> bool:
        """Return whether a later piece has come before the next one."""
        return self.furthest > len(self.tokens)

    def begin_attempt(self, chain: list[EndpointId], step: int = 1) -> int:
        """
        Start another attempt and return its number.

        Parameters
        ----------
        chain : list of str
            Endpoints of the attempt, in order.
        step : int
            By how much the number rises.
        """
        ensure(step > 0, "attempt-rises", step)
        ensure(not self.finish_reason, "attempt-after-end", self.request)
        self.attempt += step
        self.chain = chain
        self.furthest = len(self.tokens)
        self.checked_trail = None
        return self.attempt

    def adopt_attempt(
        self, attempt: int, chain: list[EndpointId], tokens: list[str]
    ) -> None:
        """
        Go on with an attempt that another ledger has begun.

        Parameters
        ----------
        attempt : int
            Its number.
        chain : list of str
            Its endpoints, in order.
        tokens : list of str
            The tokens with which it began, which that ledger had accepted.
        """
        ensure(self.attempt == 0, "adopt-once", self.request)
        self.attempt = attempt
        self.chain = chain
        self.tokens = tokens
        self.furthest = len(tokens)

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
        trail = piece.trail
        if trail is self.checked_trail:
            return True
        if [entry.endpoint for entry in trail] != self.chain:
            return False
        if any(entry.attempt != self.attempt for entry in trail):
            return False
        if not covers_once([entry.layers for entry in trail], self.layer_count):
            return False
        self.checked_trail = trail
        return True

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
            if reason is DropReason.GAP:
                self.furthest = max(self.furthest, piece.position + 1)
            self.dropped[reason] += 1
            return reason
        ensure(piece.position == len(self.tokens), "position-follows", piece)
        self.tokens.append(piece.token)
        self.furthest = max(self.furthest, len(self.tokens))
        self.finish_reason = piece.finish_reason
        return None
