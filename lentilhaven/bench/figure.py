"""One measured figure."""

import attrs


@attrs.frozen
class Figure:
    """
    A figure beside its target.

    Attributes
    ----------
    value : float
        What was measured.
    unit : str
        Its unit.
    target : str
        The bound, such as ``"<= 0.2"``; empty for a figure without one.
    holds : bool
        Whether the bound is met.
    """

    value: float
    unit: str
    target: str = ""
    holds: bool = True


def at_most(value: float, bound: float, unit: str) -> Figure:
    """
    Return a figure that must not exceed a bound.

    Examples
    --------
    >>> at_most(3, 2, "s").holds
    False
    """
    return Figure(value, unit, f"<= {bound:g}", value <= bound)


def at_least(value: float, bound: float, unit: str) -> Figure:
    """
    Return a figure that must reach a bound.

    Examples
    --------
    >>> at_least(0.96, 0.95, "ratio").holds
    True
    """
    return Figure(value, unit, f">= {bound:g}", value >= bound)


def observed(value: float, unit: str) -> Figure:
    """Return a figure without a bound."""
    return Figure(value, unit)
