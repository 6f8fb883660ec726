"""Replaces only the lost ranges of a path."""

import random

from lentilhaven.core.ids import EndpointId
from lentilhaven.pipelines.path_loads import PathLoads, PathRequest
from lentilhaven.pipelines.path_plan import PathPlan
from lentilhaven.pipelines.range_group import Member


def repair_path(
    plan: PathPlan,
    loads: PathLoads,
    request: PathRequest,
    path: list[Member],
    lost: set[EndpointId],
    random: random.Random,
) -> list[Member] | None:
    """
    Return the path with each lost member replaced; None if that can't be done.

    Parameters
    ----------
    plan : PathPlan
        A plan without the lost endpoints.
    loads : PathLoads
        Own requests, corrections and KV memory; the path itself is counted out.
    request : PathRequest
        Its size.
    path : list of Member
        The path so far.
    lost : set of str
        Endpoints that failed.
    random : random.Random
        Source of chance.
    """
    repaired: list[Member] = []
    for member in path:
        if member.endpoint in lost:
            replacement = replace_member(plan, loads, request, repaired, member, random)
            if replacement is None:
                return None
            member = replacement
        repaired.append(member)
    return repaired


def replace_member(
    plan: PathPlan,
    loads: PathLoads,
    request: PathRequest,
    earlier: list[Member],
    member: Member,
    random: random.Random,
) -> Member | None:
    """Return the least busy other holder of a member's range, close ones first."""
    holders = [
        it
        for (boundary, _), members in plan.members.items()
        for it in members
        if boundary == member.layers.start
        and it.layers == member.layers
        and it.endpoint != member.endpoint
        and loads.fits(it, request)
    ]
    if not holders:
        return None

    def score(holder: Member) -> float:
        load = loads.own[holder.endpoint] + random.expovariate(1.0)
        return load / holder.rate

    near = [it for it in holders if is_linked(plan, earlier, it)]
    return min(near or holders, key=score)


def is_linked(plan: PathPlan, earlier: list[Member], member: Member) -> bool:
    """Return whether the flow goes from the last of `earlier` to a member."""
    if not earlier:
        return True
    previous = earlier[-1]
    flows = plan.links.get((previous.layers.stop, previous.data_centre), {})
    return member.data_centre in flows
