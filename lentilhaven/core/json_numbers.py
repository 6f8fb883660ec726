"""Numbers that other processes have written as JSON."""

import math
from typing import Any

#: Largest integer on which all readers of JSON agree (RFC 8259, section 6).
MAX_INTEGER = 2**53 - 1


def is_count(value: Any, limit: int = MAX_INTEGER) -> bool:
    """
    Return whether a value is an integer from 0 to a limit.

    Examples
    --------
    >>> is_count(7), is_count(-1), is_count(True), is_count(2**70), is_count(7.0)
    (True, False, False, False, False)
    """
    return (
        isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= limit
    )


def to_integer(value: Any) -> int:
    """
    Convert a value to an integer.

    Raises
    ------
    TypeError, ValueError, OverflowError
        If it is no number, or larger than `MAX_INTEGER`.

    Examples
    --------
    >>> to_integer(7.0)
    7
    """
    number = int(value)
    if abs(number) > MAX_INTEGER:
        raise ValueError("the integer is too large")
    return number


def to_number(value: Any) -> float:
    """
    Convert a value to a finite number.

    Raises
    ------
    TypeError, ValueError, OverflowError
        If it is none.

    Examples
    --------
    >>> to_number(7)
    7.0
    """
    number = float(value)
    if not math.isfinite(number):
        raise ValueError("the number is not finite")
    return number
