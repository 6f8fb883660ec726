"""Checks of numbers in the tables."""

import math
from collections.abc import Iterator


def find_bad_number(
    path: str, value: float, *, above: float | None = None, least: float | None = None
) -> Iterator[str]:
    """
    Yield a problem if a number is not finite or not in its range.

    Parameters
    ----------
    path : str
        Path of the number.
    value : float
        The number.
    above : float or None
        Bound that it must exceed.
    least : float or None
        Bound that it must reach.

    Examples
    --------
    >>> list(find_bad_number("$.deadline", 0.0, above=0))
    ['$.deadline: must be above 0, not 0.0']
    >>> list(find_bad_number("$.weight", float("nan"), least=0))
    ['$.weight: must be a finite number, not nan']
    """
    if not math.isfinite(value):
        yield f"{path}: must be a finite number, not {value}"
    elif above is not None and value <= above:
        yield f"{path}: must be above {above}, not {value}"
    elif least is not None and value < least:
        yield f"{path}: must be at least {least}, not {value}"
