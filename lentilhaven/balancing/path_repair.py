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
    for index, member in enumerate(path):
        if member.endpoint in lost:
            later = path[index + 1] if index + 1 < len(path) else None
            holders = find_holders(plan, loads, request, member)
            near = [it for it in holders if is_joined(plan, repaired, it, later)]
            replacement = least_busy(loads, near or holders, random)
            if replacement is None:
                return None
            member = replacement
        repaired.append(member)
    return repaired


def find_holders(
    plan: PathPlan, loads: PathLoads, request: PathRequest, member: Member
) -> list[Member]:
    """Return the other members that hold a member's range and have KV memory."""
    return [
        it
        for (boundary, _), members in plan.members.items()
        for it in members
        if boundary == member.layers.start
        and it.layers == member.layers
        and it.endpoint != member.endpoint
        and loads.fits(it, request)
    ]


def least_busy(
    loads: PathLoads, holders: list[Member], random: random.Random
) -> Member | None:
    """Return the holder with the least load for its flow; None if there is none."""

    def score(holder: Member) -> float:
        load = loads.own[holder.endpoint] + random.expovariate(1.0)
        return load / holder.rate

    return min(holders, key=score, default=None)


def is_joined(
    plan: PathPlan, earlier: list[Member], member: Member, later: Member | None
) -> bool:
    """Return whether the flow joins a member to both its neighbours."""
    before = not earlier or is_linked(plan, earlier[-1], member)
    return before and (later is None or is_linked(plan, member, later))


def is_linked(plan: PathPlan, member: Member, later: Member) -> bool:
    """Return whether the flow goes from one member's data centre to another's."""
    flows = plan.links.get((member.layers.stop, member.data_centre), {})
    return later.data_centre in flows
