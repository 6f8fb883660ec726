"""The least loaded endpoint by the last reports."""

import random

from lentilhaven.baselines.members_by_start import members_by_start
from lentilhaven.pipelines.path_loads import PathLoads, PathRequest
from lentilhaven.pipelines.path_plan import PathPlan
from lentilhaven.pipelines.range_group import Member


def choose_least_loaded(
    plan: PathPlan, loads: PathLoads, request: PathRequest, random: random.Random
) -> list[Member] | None:
    """
    Return the chain of endpoints that reported the least load.

    Every router that sees the same report makes the same choice until the next.

    Parameters
    ----------
    plan : PathPlan
        Endpoints in use.
    loads : PathLoads
        Reports.
    request : PathRequest
        Ignored.
    random : random.Random
        Breaks ties.
    """
    starts = members_by_start(plan)
    path: list[Member] = []
    position = 0
    while position < plan.layer_count:
        if position not in starts:
            return None
        member = min(
            starts[position],
            key=lambda it: (loads.reported.get(it.endpoint, 0.0), random.random()),
        )
        path.append(member)
        position = member.layers.stop
    return path
