"""The better of two random endpoints by the last reports."""

import random

from lentilhaven.baselines.members_by_start import members_by_start
from lentilhaven.pipelines.path_loads import PathLoads, PathRequest
from lentilhaven.pipelines.path_plan import PathPlan
from lentilhaven.pipelines.range_group import Member


def choose_random_of_two(
    plan: PathPlan, loads: PathLoads, request: PathRequest, random: random.Random
) -> list[Member] | None:
    """
    Return a chain of the less loaded of two random endpoints each.

    Parameters
    ----------
    plan : PathPlan
        Endpoints in use.
    loads : PathLoads
        Reports.
    request : PathRequest
        Ignored.
    random : random.Random
        Source of chance.

    References
    ----------
    M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing",
    2001.
    """
    starts = members_by_start(plan)
    path: list[Member] = []
    position = 0
    while position < plan.layer_count:
        if position not in starts:
            return None
        pair = random.choices(starts[position], k=2)
        member = min(pair, key=lambda it: loads.reported.get(it.endpoint, 0.0))
        path.append(member)
        position = member.layers.stop
    return path
