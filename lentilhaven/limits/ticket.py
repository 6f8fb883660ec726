"""A request that asks to be admitted."""

import attrs

from lentilhaven.core.ids import RequestId, WorkspaceId

#: Factor on a workspace's weight by priority class.
CLASS_FACTORS = {"high": 4.0, "normal": 1.0, "low": 0.25}


@attrs.frozen(eq=False)
class Ticket:
    """
    What admission knows of a request.

    Attributes
    ----------
    request : str
        Unique id.
    workspace : str
        Who asks.
    weight : float
        The workspace's weight, times the factor of its priority class.
    priority : str
        Priority class.
    tokens : float
        Prompt and longest answer together; what the request costs.
    arrived : float
        Monotonic time of arrival, in seconds.
    start_by : float
        Monotonic time at which it has to start, to be in time.
    """

    request: RequestId
    workspace: WorkspaceId
    weight: float
    priority: str
    tokens: float
    arrived: float
    start_by: float


def class_weight(weight: float, priority: str) -> float:
    """
    Return a workspace's weight for a priority class.

    Examples
    --------
    >>> class_weight(2.0, "low")
    0.5
    """
    return weight * CLASS_FACTORS.get(priority, 1.0)
