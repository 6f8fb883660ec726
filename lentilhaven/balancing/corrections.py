"""Turns old load reports into corrections that routers can make alone."""

from collections import defaultdict

from lentilhaven.core.ids import EndpointId
from lentilhaven.pipelines.path_plan import PathPlan
from lentilhaven.pipelines.range_group import Member
from lentilhaven.tables.layer_range import LayerRange

#: Part of an imbalance that all routers together correct on one report; below
#: one, since the report is old and the next may show the same imbalance.
GAIN = 0.5


def find_corrections(
    plan: PathPlan, reported: dict[EndpointId, float], routers: int
) -> dict[EndpointId, float]:
    """
    Return the requests by which to count each endpoint as busier.

    An endpoint's excess is its load above its share of the load of all that
    hold the same layers.  Each router takes only its own part of the
    correction, so that many of them do not run to the same endpoint.

    Parameters
    ----------
    plan : PathPlan
        Flow by member.
    reported : dict
        Requests by endpoint.
    routers : int
        Routers that see the same reports.

    Examples
    --------
    >>> members = [Member(it, LayerRange(0, 4), "a", 1.0) for it in ("x", "y")]
    >>> plan = PathPlan(4, 2.0, {(0, "a"): members}, {})
    >>> find_corrections(plan, {"x": 12.0, "y": 4.0}, 2)
    {'x': 1.0, 'y': -1.0}
    """
    ranges: dict[LayerRange, list[Member]] = defaultdict(list)
    for member in plan.all_members():
        if member.endpoint in reported:
            ranges[member.layers].append(member)
    found = {}
    for members in ranges.values():
        total = sum(reported[it.endpoint] for it in members)
        rate = sum(it.rate for it in members)
        for member in members:
            excess = reported[member.endpoint] - total * member.rate / rate
            found[member.endpoint] = GAIN * excess / routers
    return found
