"""Disturbs the pieces that an engine sends."""

import random
from collections import deque
from collections.abc import Callable

import attrs

from lentilhaven.core.ids import ModelVersion
from lentilhaven.endpoints.piece import Piece

#: Pieces of other streams and attempts that are kept for sending again.
KEPT = 64

#: Token of a piece that must not reach a caller.
WRONG_TOKEN = "WRONG "


#: Version that no route names.
OTHER_VERSION = ModelVersion("other")

Disturbance = Callable[[Piece], list[Piece]]


@attrs.define
class PieceNoise:
    """
    Adds, repeats, drops and reorders pieces.

    Attributes
    ----------
    random : random.Random
        Source of chance.
    rate : float
        Share of the pieces that are disturbed.
    kept : deque of Piece
        Pieces sent before, of any stream and attempt.
    held : Piece or None
        A piece that is sent after the one that follows it.
    injected : int
        Number of disturbances.
    """

    random: random.Random
    rate: float
    kept: deque[Piece] = attrs.field(factory=lambda: deque(maxlen=KEPT))
    held: Piece | None = None
    injected: int = 0

    @property
    def kinds(self) -> list[Disturbance]:
        """Return the ways to disturb a piece."""
        adding = [self.repeat, self.replay, self.age, self.skip]
        spoiling = [self.spoil_trail, self.change_version]
        return [*adding, *spoiling, self.drop, self.hold]

    def disturb(self, piece: Piece) -> list[Piece]:
        """
        Return the pieces to send in place of one.

        Parameters
        ----------
        piece : Piece
            The right piece.
        """
        held, self.held = self.held, None
        sent = [piece, held] if held is not None else [piece]
        if self.random.random() < self.rate:
            self.injected += 1
            sent = [*self.random.choice(self.kinds)(piece), *sent[1:]]
        self.kept.append(piece)
        return sent

    def repeat(self, piece: Piece) -> list[Piece]:
        """Send a piece twice."""
        return [piece, piece]

    def replay(self, piece: Piece) -> list[Piece]:
        """Send a piece of another position, attempt or request as well."""
        return [*self.random.choices([*self.kept, piece]), piece]

    def spoil_trail(self, piece: Piece) -> list[Piece]:
        """Send a piece whose layers did not all run once and in order as well."""
        trails = [piece.trail[1:], piece.trail[:1] + piece.trail]
        if len(piece.trail) > 1:
            trails.append(piece.trail[::-1])
        trail = self.random.choice(trails)
        return [attrs.evolve(piece, trail=trail, token=WRONG_TOKEN), piece]

    def drop(self, piece: Piece) -> list[Piece]:
        """Send nothing."""
        return []

    def age(self, piece: Piece) -> list[Piece]:
        """Send a piece of an older attempt as well."""
        attempt = piece.attempt - 1
        return [attrs.evolve(piece, attempt=attempt, token=WRONG_TOKEN), piece]

    def change_version(self, piece: Piece) -> list[Piece]:
        """Send a piece of another version as well."""
        return [attrs.evolve(piece, version=OTHER_VERSION, token=WRONG_TOKEN), piece]

    def skip(self, piece: Piece) -> list[Piece]:
        """Send a piece of a later position as well."""
        position = piece.position + 1
        return [attrs.evolve(piece, position=position, token=WRONG_TOKEN), piece]

    def hold(self, piece: Piece) -> list[Piece]:
        """Send a piece after the one that follows it."""
        self.held = piece
        return []
