"""What became of a conditional update."""

import attrs

from lentilhaven.core.failure import Failure


@attrs.frozen
class Written:
    """
    The write took effect.

    Attributes
    ----------
    version : int
        The object's new version.
    """

    version: int


@attrs.frozen
class Conflict:
    """The object had another version than the writer expected."""


@attrs.frozen
class Refused:
    """
    The write did not take effect.

    Attributes
    ----------
    failure : Failure
        Why.
    """

    failure: Failure


@attrs.frozen
class Ambiguous:
    """
    The write may or may not have taken effect, now or later.

    Attributes
    ----------
    failure : Failure
        How its answer was lost.
    """

    failure: Failure


WriteOutcome = Written | Conflict | Refused | Ambiguous
