"""
Assertions that stay in force in production.

Python's ``assert`` statement vanishes under ``-O``; these do not.  Each broken
invariant is also counted, so that a randomised run can require zero even where
a caller caught the exception.
"""

from collections import Counter

#: Number of violations in this process, by name of the invariant.
VIOLATIONS: Counter[str] = Counter()


class InvariantError(AssertionError):
    """
    An invariant of the program does not hold.

    Parameters
    ----------
    name : str
        Stable name of the invariant.
    detail : str
        The values that break it.
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
        What must be true.
    name : str
        Stable name of the invariant.
    detail : object
        Shown in the message when the invariant is broken.

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
