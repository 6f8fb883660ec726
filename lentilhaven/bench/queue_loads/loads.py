"""The overloads of docs/design/overload.md, as callers of the simulation."""

from collections.abc import Callable, Iterator

import attrs

from lentilhaven.core.ids import WorkspaceId

#: Seconds of virtual time of one run, and time at which the overload begins.
SECONDS, BEGIN = 24.0, 8.0

#: Requests per second of each priority: those of deployment L, scaled to 0.7 of what a
#: router of the experiment can serve.
RATES = (21.0, 32.0, 13.0)

WORKSPACES = tuple(WorkspaceId(f"w{index}") for index in range(4))

#: Workspace that floods.
FLOODER = WorkspaceId("flood")


@attrs.frozen
class Arrivals:
    """
    Poisson arrivals of one priority.

    Attributes
    ----------
    rate : float
        Requests per second.
    begin, end : float
        Time span, in seconds.
    priority : int
        Priority; 0 is the most urgent.
    workspaces : tuple of str
        Workspaces, each with the same share.
    """

    rate: float
    begin: float
    end: float
    priority: int
    workspaces: tuple[WorkspaceId, ...] = WORKSPACES


@attrs.frozen
class QueueLoad:
    """
    An overload.

    Attributes
    ----------
    arrivals : tuple of Arrivals
        Callers.
    limits : dict
        Share of the streams in flight that is left, by time in seconds.
    """

    arrivals: tuple[Arrivals, ...]
    limits: dict[float, float] = attrs.field(factory=dict)


def usual(share: float = 1.0) -> Iterator[Arrivals]:
    """Yield the usual arrivals of each priority, times a share."""
    for priority, rate in enumerate(RATES):
        yield Arrivals(share * rate, 0.0, SECONDS, priority)


def burst_load() -> QueueLoad:
    """Return bursts of the least urgent kind, then of the most urgent one."""
    least = Arrivals(1.4 * RATES[2], BEGIN, BEGIN + 6.0, 2)
    most = Arrivals(0.8 * RATES[0], BEGIN + 3.0, BEGIN + 9.0, 0)
    return QueueLoad((*usual(), least, most), {BEGIN: 0.75, BEGIN + 9.0: 1.0})


def flood_load() -> QueueLoad:
    """Return a flood of one workspace with the middle priority."""
    flood = Arrivals(4 * sum(RATES), BEGIN, BEGIN + 8.0, 1, (FLOODER,))
    return QueueLoad((*usual(), flood))


def half_load() -> QueueLoad:
    """Return a loss of half of the capacity within a second, for 8 s."""
    steps = {BEGIN + step / 8: 1.0 - step / 16 for step in range(1, 9)}
    return QueueLoad(tuple(usual(1.2)), steps | {BEGIN + 9.0: 1.0})


def return_load() -> QueueLoad:
    """Return callers of all priorities who arrive within a tenth of a second."""
    everyone = (
        Arrivals(10 * 6.0 * rate, BEGIN, BEGIN + 0.1, priority)
        for priority, rate in enumerate(RATES)
    )
    return QueueLoad((*usual(0.5), *everyone))


LOADS: dict[str, Callable[[], QueueLoad]] = {
    "burst": burst_load,
    "flood": flood_load,
    "half": half_load,
    "return": return_load,
}
