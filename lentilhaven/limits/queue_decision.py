"""Decisions whether a request starts, waits or is refused."""

import attrs

from lentilhaven.limits.priority_brown_out import PriorityBrownOut
from lentilhaven.limits.waiting_queue import QueueEntry, WaitingQueue

#: Largest predicted wait of a request that will be late, as a share of the time until
#: its caller leaves.  A late answer is better than none, but callers who wait for long
#: hold room that others need in time.
LATE_WAIT_SHARE = 0.1


@attrs.frozen
class Start:
    """The request starts now."""


@attrs.frozen
class Wait:
    """
    The request waits for room.

    Attributes
    ----------
    predicted : float
        Predicted seconds until it starts.
    """

    predicted: float


@attrs.frozen
class Refuse:
    """
    The request is refused, and has not run.

    Attributes
    ----------
    cause : str
        Why: ``"wait-too-long"`` or ``"brown-out"``.
    wait : float
        Predicted seconds until room for it is likely.
    """

    cause: str
    wait: float


Decision = Start | Wait | Refuse


def decide_arrival(
    queue: WaitingQueue,
    entry: QueueEntry,
    *,
    has_room: bool,
    rate: float,
    now: float,
    deadline: float,
    brown_out: PriorityBrownOut,
) -> Decision:
    """
    Decide on a request that has just arrived.

    A request for which there is room starts unless one that goes before it waits, so
    that nothing is refused or waits while it could run.

    Parameters
    ----------
    queue : WaitingQueue
        The requests that wait; `entry` is not among them.
    entry : QueueEntry
        The request.
    has_room : bool
        Whether it could run now.
    rate : float
        Rate at which waiting work starts, in tokens per second; 0 if unknown or if
        nothing can start.
    now : float
        Current time, in seconds.
    deadline : float
        Time at which the caller leaves, in seconds.
    brown_out : PriorityBrownOut
        Degradation steps of the service.

    Returns
    -------
    Start, Wait or Refuse
        The decision; the caller changes the queue accordingly.
    """
    ahead = queue.cost_ahead(entry)
    if has_room and ahead <= 0.0:
        return Start()
    predicted = predict_wait(ahead, entry, rate, now, deadline)
    allowed = allowed_wait(entry, now, deadline)
    if predicted > allowed:
        return Refuse("wait-too-long", predicted)
    if not entry.continues:
        reduced = allowed * brown_out.wait_factor(entry.priority)
        if predicted > reduced:
            return Refuse("brown-out", predicted)
    return Wait(predicted)


def predict_wait(
    ahead: float, entry: QueueEntry, rate: float, now: float, deadline: float
) -> float:
    """
    Return the predicted seconds until a request starts.

    If nothing has started lately, the rate is unknown.  A request with nothing before
    it may then wait for as long as its caller's target allows.
    """
    if rate > 0.0:
        return (ahead + entry.cost) / rate
    return allowed_wait(entry, now, deadline) if ahead <= 0.0 else deadline - now


def allowed_wait(entry: QueueEntry, now: float, deadline: float) -> float:
    """
    Return the longest wait that still serves the caller of a request, in seconds.

    Parameters
    ----------
    entry : QueueEntry
        The request.
    now, deadline : float
        Current time, and time at which the caller leaves, in seconds.

    Examples
    --------
    >>> entry = QueueEntry("r1", 0, "depot", 800.0, arrived=0.0, due=0.5)
    >>> allowed_wait(entry, 0.0, 20.0), allowed_wait(entry, 0.0, 1.5)
    (2.0, 0.5)
    """
    return max(0.0, entry.due - now, LATE_WAIT_SHARE * (deadline - now))


def may_start(cost: float, *, room: float, urgent_waiting: float) -> bool:
    """
    Return whether work may start beside more urgent work that waits elsewhere.

    Parameters
    ----------
    cost : float
        Cost of the work, in tokens.
    room : float
        Tokens that could start now.
    urgent_waiting : float
        Tokens of more urgent work that waits at other processes.
    """
    return urgent_waiting <= 0.0 or room - urgent_waiting >= cost
