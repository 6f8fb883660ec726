"""
What a process may start beside the work that waits and runs at the others.

The processes report their queues to each other several times a second.  All weights
below fall from 1 to 0 with the age of a report, without a step, so that neither the
loss of a peer nor its return changes a decision at once in all processes.
"""

import math
from collections.abc import Collection, Iterable

import attrs

from lentilhaven.limits.start_rates import TIME_CONSTANT
from lentilhaven.peering.peer_table import LOAD_EXPIRY
from lentilhaven.peering.queue_state import QueueReport

#: Age in seconds up to which a report counts in full.  Reports come every 0.1 to
#: 0.15 s; three in a row are lost only if something has failed.
FULL_WEIGHT_AGE = 0.5

#: Starts of like requests, within the time constant of the rates, from which on the
#: rate predicts a wait: one start says nothing of the next.
MIN_STARTS = 1.5


@attrs.frozen
class PeerCharge:
    """
    Service that other processes have given to a workspace.

    Attributes
    ----------
    workspace : str
        Name of the workspace.
    priority : int
        Priority of the requests served.
    cost : float
        Their cost, in tokens.
    """

    workspace: str
    priority: int
    cost: float


def report_weight(age: float) -> float:
    """
    Return the weight of a report.

    Parameters
    ----------
    age : float
        Seconds since the report arrived.

    Examples
    --------
    >>> [report_weight(age) for age in (0.1, 0.5, 1.0, 1.5, 9.0)]
    [1.0, 1.0, 0.5, 0.0, 0.0]
    """
    left = (LOAD_EXPIRY - age) / (LOAD_EXPIRY - FULL_WEIGHT_AGE)
    return min(1.0, max(0.0, left))


def urgent_waiting_elsewhere(reports: Iterable[QueueReport], priority: int) -> float:
    """
    Return the tokens of more urgent work that waits at other processes.

    Parameters
    ----------
    reports : iterable of QueueReport
        What the others report of the service.
    priority : int
        Priority of the work that might start here.

    Examples
    --------
    >>> from lentilhaven.peering.queue_state import QueueState
    >>> report = QueueReport(QueueState({0: (1, 800.0), 2: (4, 900.0)}), age=0.1)
    >>> urgent_waiting_elsewhere([report], 1), urgent_waiting_elsewhere([report], 0)
    (800.0, 0.0)
    """
    return math.fsum(
        report_weight(report.age) * tokens
        for report in reports
        if report.state is not None
        for key, (_, tokens) in report.state.waiting.items()
        if key < priority
    )


def shared_start_rate(
    reports: Iterable[QueueReport],
    own_rate: float,
    ahead: float,
    cost: float,
    priority: int,
) -> float | None:
    """
    Return the rate at which work before a request starts here, in tokens per second.

    What all processes start is shared by all that waits: a process with few requests
    starts little itself, but its head takes room that appears anywhere.

    Parameters
    ----------
    reports : iterable of QueueReport
        What the others report of the service.
    own_rate : float
        Tokens per second of what has lately started here.
    ahead : float
        Tokens that wait here before the request.
    cost : float
        Tokens of the request itself.
    priority : int
        Its priority.

    Returns
    -------
    float or None
        None if too little has started lately to know it.

    Examples
    --------
    >>> shared_start_rate([], 500.0, 100.0, 100.0, 1)
    500.0
    >>> from lentilhaven.peering.queue_state import QueueState
    >>> state = QueueState({0: (2, 600.0)}, {0: 7500.0})
    >>> shared_start_rate([QueueReport(state, 0.1)], 500.0, 100.0, 100.0, 1)
    2000.0
    """
    rate, elsewhere = own_rate, 0.0
    for report in reports:
        if report.state is not None:
            weight = report_weight(report.age)
            rate += weight * math.fsum(report.state.started.values())
            elsewhere += weight * math.fsum(
                tokens
                for key, (_, tokens) in report.state.waiting.items()
                if key <= priority
            )
    if rate * TIME_CONSTANT < MIN_STARTS * cost:
        return None
    return rate * (ahead + cost) / (ahead + elsewhere + cost)


def own_room(room: float, reports: Iterable[QueueReport], known: int) -> float:
    """
    Return the part of the room that this process may use.

    Those that report show in the room what they use of it.  Those that do not may each
    use an equal part of it unseen, which is left to them; if none reports, the own
    part is left.

    Parameters
    ----------
    room : float
        Tokens that could start now, by what this process knows.
    reports : iterable of QueueReport
        What the others report of the service.
    known : int
        Number of processes that are known to serve callers, this one included.

    Examples
    --------
    >>> own_room(900.0, [], known=3)
    300.0
    >>> from lentilhaven.peering.queue_state import QueueState
    >>> own_room(900.0, [QueueReport(QueueState(), 0.1, gateways=2)], known=3)
    900.0
    """
    heard = 1.0 + sum(
        report_weight(report.age) * report.gateways
        for report in reports
        if report.state is not None
    )
    return room * min(1.0, heard / max(1, known))


def charges_from_peers(
    reports: Iterable[QueueReport], elapsed: float, waiting: Collection[int]
) -> list[PeerCharge]:
    """
    Return the service that other processes gave to workspaces since the last call.

    Only priorities of which something waits here are charged.  While nothing waits,
    there is nothing to order, and charges from such a time would put a workspace back
    for long after it has stopped asking.

    Parameters
    ----------
    reports : iterable of QueueReport
        What the others report of the service.
    elapsed : float
        Seconds since the last call; of more than `LOAD_EXPIRY` the rest does not
        count, as the reports do not tell of it.
    waiting : collection of int
        Priorities of which something waits here.

    Examples
    --------
    >>> from lentilhaven.peering.queue_state import QueueState
    >>> state = QueueState(heavy=(("depot", 1, 400.0), ("quay", 2, 90.0)))
    >>> charges_from_peers([QueueReport(state, 0.2)], elapsed=0.25, waiting={1})
    [PeerCharge(workspace='depot', priority=1, cost=100.0)]
    """
    seconds = min(max(0.0, elapsed), LOAD_EXPIRY)
    costs: dict[tuple[str, int], float] = {}
    for report in reports:
        weighted = seconds * report_weight(report.age)
        heavy = report.state.heavy if report.state is not None else ()
        for workspace, priority, rate in heavy:
            if weighted and priority in waiting:
                key = (workspace, priority)
                costs[key] = costs.get(key, 0.0) + rate * weighted
    return [PeerCharge(name, key, cost) for (name, key), cost in costs.items()]
