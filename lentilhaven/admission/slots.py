"""Free slots of replicas of plain services."""

import attrs

#: Seconds for which the load that a replica has stated in an answer is newer than what
#: the datagrams of other gateways say.
REPORT_EXPIRY = 0.25


@attrs.frozen
class StatedLoad:
    """
    The load that a replica stated in an answer.

    Attributes
    ----------
    requests : int
        Requests that it ran or had queued.
    own : int
        Requests of this process among them, the answered one included.
    at : float
        Time of the answer, in seconds.
    """

    requests: int
    own: int
    at: float


def free_slots(
    slots: int, own: int, others: int, stated: StatedLoad | None, now: float
) -> int:
    """
    Return how many requests a replica can begin at once; negative if some wait there.

    Parameters
    ----------
    slots : int
        Requests that the replica runs at the same time.
    own : int
        Requests of this process in flight there.
    others : int
        Those of other processes, as they have reported.
    stated : StatedLoad or None
        What the replica has stated last.
    now : float
        Current time, in seconds.

    Examples
    --------
    >>> free_slots(6, 2, 1, None, 0.0)
    3
    >>> free_slots(6, 2, 1, StatedLoad(5, 2, 0.0), 0.1)
    1
    """
    if stated is not None and now - stated.at < REPORT_EXPIRY:
        others = max(0, stated.requests - stated.own)
    return slots - own - others
