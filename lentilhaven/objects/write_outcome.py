"""Outcomes of a conditional update."""

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
    era : int
        Number of times that the store has been restored from a copy.
    """

    version: int
    era: int = 0


@attrs.frozen
class Conflict:
    """The write did not take effect: the object's version was not the expected one."""


@attrs.frozen
class Refused:
    """
    The write did not take effect, for another reason than a conflict.

    Attributes
    ----------
    failure : Failure
        Reason.
    """

    failure: Failure


@attrs.frozen
class Ambiguous:
    """
    It is unknown whether the write has taken effect or still will.

    Attributes
    ----------
    failure : Failure
        Reason why there is no valid response.
    """

    failure: Failure


WriteOutcome = Written | Conflict | Refused | Ambiguous
