"""
Assertions that are also checked in production.

Unlike Python's ``assert`` statement, they are not removed by ``-O``.  Each
violation is also counted, so that a randomised run can require a count of zero
even where a caller catches the exception.
"""

from collections import Counter

#: Number of violations in this process, by invariant name.
VIOLATIONS: Counter[str] = Counter()


class InvariantError(AssertionError):
    """
    Raised when an invariant of the program is violated.

    Parameters
    ----------
    name : str
        Stable name of the invariant.
    detail : str
        The values that violate it.
    """

    def __init__(self, name: str, detail: str) -> None:
        super().__init__(f"{name}: {detail}")
        self.name = name


def ensure(condition: bool, name: str, detail: object = "") -> None:
    """
    Raise `InvariantError` unless `condition` holds.

    Parameters
    ----------
    condition : bool
        The condition that must hold.
    name : str
        Stable name of the invariant.
    detail : object
        Shown in the error message if the invariant is violated.

    Raises
    ------
    InvariantError
        If `condition` is false.

    Examples
    --------
    >>> ensure(1 < 2, "ordered")
    >>> ensure(2 < 1, "ordered", "2 is not below 1")
    Traceback (most recent call last):
        ...
    lentilhaven.core.invariants.InvariantError: ordered: 2 is not below 1
    """
    if condition:
        return
    VIOLATIONS[name] += 1
    raise InvariantError(name, str(detail))
