"""Range checks of numbers in the tables."""

import math
from collections.abc import Iterator


def find_number_problems(
    path: str,
    value: float,
    *,
    above: float | None = None,
    at_least: float | None = None,
) -> Iterator[str]:
    """
    Yield a problem if a number is not finite or out of range.

    Parameters
    ----------
    path : str
        Path of the number.
    value : float
        Number to check.
    above : float or None
        Exclusive lower bound.
    at_least : float or None
        Inclusive lower bound.

    Examples
    --------
    >>> list(find_number_problems("$.deadline", 0.0, above=0))
    ['$.deadline: must be above 0, not 0.0']
    >>> list(find_number_problems("$.weight", float("nan"), at_least=0))
    ['$.weight: must be a finite number, not nan']
    """
    if not math.isfinite(value):
        yield f"{path}: must be a finite number, not {value}"
    elif above is not None and value <= above:
        yield f"{path}: must be above {above}, not {value}"
    elif at_least is not None and value < at_least:
        yield f"{path}: must be at least {at_least}, not {value}"
