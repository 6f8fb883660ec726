"""Load corrections that each router derives from load reports on its own."""

from collections import defaultdict

from lentilhaven.core.ids import EndpointId
from lentilhaven.pipelines.path_plan import PathPlan
from lentilhaven.pipelines.range_group import GroupMember
from lentilhaven.tables.layer_range import LayerRange

#: Fraction of an imbalance that all routers together correct per report; below
#: one because reports are out of date, so that the next one may show the same
#: imbalance again.
CORRECTION_GAIN = 0.5


def compute_corrections(
    plan: PathPlan, reported: dict[EndpointId, float], routers: int
) -> dict[EndpointId, float]:
    """
    Return the number of requests to add to the load of each endpoint.

    The excess of an endpoint is its load above its fair share of the load of all
    endpoints that hold the same layers.  Each router applies only its own share
    of the correction, so that many routers do not move to the same endpoint at
    once.

    Parameters
    ----------
    plan : PathPlan
        Shares of the flow by member.
    reported : dict
        Reported requests by endpoint.
    routers : int
        Number of routers that receive the same reports.

    Examples
    --------
    >>> members = [GroupMember(name, LayerRange(0, 4), "a", 1.0) for name in ("x", "y")]
    >>> plan = PathPlan(4, 2.0, {(0, "a"): members}, {})
    >>> compute_corrections(plan, {"x": 12.0, "y": 4.0}, 2)
    {'x': 1.0, 'y': -1.0}
    """
    ranges: dict[LayerRange, list[GroupMember]] = defaultdict(list)
    for member in plan.all_members():
        if member.endpoint in reported:
            ranges[member.layers].append(member)
    corrections = {}
    for members in ranges.values():
        total = sum(reported[member.endpoint] for member in members)
        rate = sum(member.rate for member in members)
        for member in members:
            excess = reported[member.endpoint] - total * member.rate / rate
            corrections[member.endpoint] = CORRECTION_GAIN * excess / routers
    return corrections
