"""Measured figures and their targets."""

import attrs


@attrs.frozen
class Figure:
    """
    A measured figure and its target.

    Attributes
    ----------
    value : float
        Measured value.
    unit : str
        Unit of the value.
    target : str
        Target, such as ``"<= 0.2"``; empty for a figure without a target.
    holds : bool
        Whether the value meets the target; True without a target.
    """

    value: float
    unit: str
    target: str = ""
    holds: bool = True


def at_most(value: float, bound: float, unit: str) -> Figure:
    """
    Return a figure with an upper bound as its target.

    Examples
    --------
    >>> at_most(3, 2, "s").holds
    False
    """
    return Figure(value, unit, f"<= {bound:g}", value <= bound)


def at_least(value: float, bound: float, unit: str) -> Figure:
    """
    Return a figure with a lower bound as its target.

    Examples
    --------
    >>> at_least(0.96, 0.95, "ratio").holds
    True
    """
    return Figure(value, unit, f">= {bound:g}", value >= bound)


def observed(value: float, unit: str) -> Figure:
    """Return a figure without a target."""
    return Figure(value, unit)
