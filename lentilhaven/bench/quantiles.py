"""Quantiles of small samples."""

import math
from collections.abc import Sequence


def quantile(values: Sequence[float], share: float) -> float:
    """
    Return the smallest value that at least `share` of the sample does not exceed.

    Parameters
    ----------
    values : sequence of float
        Sample.
    share : float
        Share of the sample, from 0 to 1.

    Raises
    ------
    ValueError
        If the sample is empty or the share is out of range.

    Examples
    --------
    >>> quantile([3, 1, 2], 0.5), quantile([3, 1, 2], 1.0)
    (2, 3)
    """
    if not values or not 0 <= share <= 1:
        raise ValueError(
            f"no quantile {share} of {len(values)} values: the share must be from 0 "
            "to 1 and the sample must not be empty"
        )
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]
