"""Path policy that chooses the endpoints with the lowest reported load."""

import random

from lentilhaven.baselines.members_by_start import members_by_start
from lentilhaven.pipelines.path_loads import PathLoads, PathRequest
from lentilhaven.pipelines.path_plan import PathPlan
from lentilhaven.pipelines.range_group import GroupMember


def choose_least_loaded(
    plan: PathPlan, loads: PathLoads, request: PathRequest, rng: random.Random
) -> list[GroupMember] | None:
    """
    Return the path of the endpoints that reported the least load.

    All routers with the same reports choose the same endpoints, apart from ties,
    until the next report arrives.  The result is None if no endpoint starts where
    a path has to continue.

    Parameters
    ----------
    plan : PathPlan
        Lists the endpoints to choose from; their shares of the flow are ignored.
    loads : PathLoads
        Reported load by endpoint; an endpoint without a report counts as idle.
    request : PathRequest
        Ignored.
    rng : random.Random
        Source of randomness that breaks ties.
    """
    by_start = members_by_start(plan)
    path: list[GroupMember] = []
    position = 0
    while position < plan.layer_count:
        if position not in by_start:
            return None
        member = min(
            by_start[position],
            key=lambda candidate: (
                loads.reported.get(candidate.endpoint, 0.0),
                rng.random(),
            ),
        )
        path.append(member)
        position = member.layers.stop
    return path
