"""A request that waits for a service."""

import math

import attrs


def require_cost(instance: object, attribute: object, value: float) -> None:
    """Raise `ValueError` unless a cost is finite and not negative."""
    if not 0.0 <= value < math.inf:
        raise ValueError(f"cost must be finite and not negative: {value!r}")


@attrs.frozen(eq=False)
class QueueEntry:
    """
    A request that waits, or would wait.

    Attributes
    ----------
    request : str
        Id of the request.
    priority : int
        Priority; 0 is the most urgent.
    workspace : str
        Workspace of the caller; empty for an anonymous one.
    cost : float
        Cost of the request in tokens; finite and not negative.
    arrived : float
        Time of its arrival, in seconds.
    due : float
        Latest time at which a start still meets the caller's target, in seconds.
    continues : bool
        Whether it continues a stream of which the caller has events.
    weight : float
        Weight of the workspace; positive.
    """

    request: str
    priority: int
    workspace: str
    cost: float = attrs.field(validator=require_cost)
    arrived: float
    due: float
    continues: bool = False
    weight: float = attrs.field(default=1.0, validator=attrs.validators.gt(0.0))


def due_order(entry: QueueEntry) -> tuple[float, float, str]:
    """Return the sort key of entries that compete by due time."""
    return entry.due, entry.arrived, entry.request
