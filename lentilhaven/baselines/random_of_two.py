"""Path policy that chooses the better of two random endpoints by reported load."""

import random

from lentilhaven.baselines.members_by_start import members_by_start
from lentilhaven.pipelines.path_loads import PathLoads, PathRequest
from lentilhaven.pipelines.path_plan import PathPlan
from lentilhaven.pipelines.range_group import GroupMember


def choose_random_of_two(
    plan: PathPlan, loads: PathLoads, request: PathRequest, rng: random.Random
) -> list[GroupMember] | None:
    """
    Return a path that takes the less loaded of two random endpoints at each hop.

    The two are drawn with replacement, so they can be the same endpoint.  The
    result is None if no endpoint starts where a path has to continue.

    Parameters
    ----------
    plan : PathPlan
        Lists the endpoints to choose from; their shares of the flow are ignored.
    loads : PathLoads
        Reported load by endpoint; an endpoint without a report counts as idle.
    request : PathRequest
        Ignored.
    rng : random.Random
        Source of randomness that draws the two endpoints.

    References
    ----------
    M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
    2001.
    """
    by_start = members_by_start(plan)
    path: list[GroupMember] = []
    position = 0
    while position < plan.layer_count:
        if position not in by_start:
            return None
        pair = rng.choices(by_start[position], k=2)
        member = min(
            pair, key=lambda candidate: loads.reported.get(candidate.endpoint, 0.0)
        )
        path.append(member)
        position = member.layers.stop
    return path
