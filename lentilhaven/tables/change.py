"""Changes between two versions of the tables."""

import enum
from typing import Any

import attrs


class Absent(enum.Enum):
    """Marker for a value that one of the compared versions does not have."""

    ABSENT = "absent"


ABSENT = Absent.ABSENT


@attrs.frozen
class Change:
    """
    One difference between two versions of the tables.

    Attributes
    ----------
    path : str
        Path of the value, such as ``"$.routes[chat].deadline"``.
    before, after : Any
        JSON values, or `ABSENT`.

    Examples
    --------
    >>> print(Change("$.routes[chat].deadline", 60.0, 30.0))
    $.routes[chat].deadline: 60.0 -> 30.0
    """

    path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        """Return a description in one line."""
        if self.before is ABSENT:
            return f"{self.path}: added {self.after!r}"
        if self.after is ABSENT:
            return f"{self.path}: removed {self.before!r}"
        return f"{self.path}: {self.before!r} -> {self.after!r}"
