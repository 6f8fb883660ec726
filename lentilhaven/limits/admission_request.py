"""A request that is subject to admission control."""

import attrs

from lentilhaven.core.ids import RequestId, WorkspaceId

#: Factor by which a workspace's weight is multiplied, by priority class.
CLASS_FACTORS = {"high": 4.0, "normal": 1.0, "low": 0.25}


@attrs.frozen(eq=False)
class AdmissionRequest:
    """
    The properties of a request that admission control uses.

    Attributes
    ----------
    request : str
        Unique id of the request.
    workspace : str
        Workspace that sends the request.
    weight : float
        Weight of the workspace, times the factor of its priority class.
    priority : str
        Priority class, a key of `CLASS_FACTORS`.
    tokens : float
        Cost of the request: number of tokens of the prompt plus the maximum length of
        the answer.
    arrived : float
        Monotonic time of arrival, in seconds.
    start_by : float
        Monotonic time by which the request has to start so that its first token is
        expected in time, in seconds.
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
    Return a workspace's weight, scaled by its priority class.

    Examples
    --------
    >>> class_weight(2.0, "low")
    0.5
    """
    return weight * CLASS_FACTORS.get(priority, 1.0)
