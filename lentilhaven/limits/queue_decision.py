"""Decisions whether a request starts, waits or is refused."""

import math

import attrs

from lentilhaven.limits.priority_brown_out import PriorityBrownOut
from lentilhaven.limits.retry_time import MAX_SHARE_OF_TIME_LEFT
from lentilhaven.limits.waiting_queue import QueueEntry, WaitingQueue

#: Largest predicted wait of a request that can be on time, as a share of the time until
#: it is due.  The rest covers errors of the rate and requests that arrive later and go
#: first: without it, a rate estimated 20 % too high makes most accepted requests late.
#: A smaller share refuses more callers who could be served at their first attempt.
ON_TIME_WAIT_SHARE = 0.75

#: Largest predicted wait of a request that is late already, as a share of the time
#: until its caller leaves.  A late answer is better than none, but callers who wait for
#: long hold room that others need in time.
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
    rate: float | None,
    now: float,
    deadline: float,
    brown_out: PriorityBrownOut,
    urgent_rate: float = 0.0,
) -> Decision:
    """
    Decide on a request that has just arrived.

    A request for which there is room is not refused.  It starts unless another one goes
    before it; the caller then tries the waiting requests in order, so that neither is
    the order violated nor room left unused that those before cannot use.

    Parameters
    ----------
    queue : WaitingQueue
        The requests that wait; `entry` is not among them.
    entry : QueueEntry
        The request.
    has_room : bool
        Whether it could run now.
    rate : float or None
        Rate at which the service can start what waits here, in tokens per second; 0 if
        nothing can start, None if it is unknown.  It is not the rate of this process's
        arrivals, which may be far below what the service can do.
    now : float
        Current time, in seconds.
    deadline : float
        Time at which the caller leaves, in seconds.
    brown_out : PriorityBrownOut
        Degradation steps of the service.
    urgent_rate : float
        Rate at which more urgent work arrives, in tokens per second.  It goes before
        the request while that waits.

    Returns
    -------
    Start, Wait or Refuse
        The decision; the caller changes the queue accordingly.
    """
    if has_room and queue.goes_first(entry, now):
        return Start()
    ahead = queue.cost_ahead(entry, now)
    allowed = allowed_wait(entry, now, deadline)
    predicted = predict_wait(ahead, entry, rate, now, deadline, urgent_rate)
    if has_room:
        return Wait(min(predicted, allowed))
    if predicted > allowed:
        return Refuse("wait-too-long", min(predicted, max(0.0, deadline - now)))
    if not entry.continues:
        reduced = allowed * brown_out.wait_factor(entry.priority, now)
        if predicted > reduced:
            return Refuse("brown-out", predicted)
    return Wait(predicted)


def predict_wait(
    ahead: float,
    entry: QueueEntry,
    rate: float | None,
    now: float,
    deadline: float,
    urgent_rate: float = 0.0,
) -> float:
    """
    Return the predicted seconds until a request starts; infinite if it will not.

    With an unknown rate it is what the caller's target allows: nothing has waited
    lately, so that a long queue is not known.  If nothing can start, a request with
    nothing before it may wait for the same time, since an endpoint may return.

    Parameters
    ----------
    ahead : float
        Tokens that go before the request.
    entry : QueueEntry
        The request.
    rate : float or None
        Rate at which work starts, in tokens per second; None if it is unknown.
    now, deadline : float
        Current time, and time at which the caller leaves, in seconds.
    urgent_rate : float
        Rate at which more urgent work arrives, in tokens per second.

    Examples
    --------
    >>> entry = QueueEntry("r1", 1, "depot", 100.0, arrived=0.0, due=0.5)
    >>> predict_wait(300.0, entry, 800.0, 0.0, 20.0)
    0.5
    >>> predict_wait(300.0, entry, 800.0, 0.0, 20.0, urgent_rate=600.0)
    2.0
    """
    if rate is None or (rate <= 0.0 and ahead <= 0.0):
        return allowed_wait(entry, now, deadline)
    spare = rate - urgent_rate
    return (ahead + entry.cost) / spare if spare > 0.0 else math.inf


def allowed_wait(entry: QueueEntry, now: float, deadline: float) -> float:
    """
    Return the longest wait that still serves the caller of a request, in seconds.

    A request that can be on time does not wait until it is late: a queue of requests
    that start late would delay all that follow, whereas a refused caller returns to a
    short one.  A stream that continues may wait as long as its caller would after a
    refusal, since a refusal would also discard what the caller has of the answer.

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
    (0.375, 0.375)
    """
    time_left = max(0.0, deadline - now)
    until_due = entry.due - now
    if entry.continues:
        return min(time_left, max(until_due, MAX_SHARE_OF_TIME_LEFT * time_left))
    if until_due > 0.0:
        return min(time_left, ON_TIME_WAIT_SHARE * until_due)
    return LATE_WAIT_SHARE * time_left


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
