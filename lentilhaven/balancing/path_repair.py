"""Repair of a path by replacing only its lost members."""

import random

from lentilhaven.core.ids import EndpointId
from lentilhaven.pipelines.path_loads import PathLoads, PathRequest
from lentilhaven.pipelines.path_plan import PathPlan
from lentilhaven.pipelines.range_group import GroupMember


def repair_path(
    plan: PathPlan,
    loads: PathLoads,
    request: PathRequest,
    path: list[GroupMember],
    lost: set[EndpointId],
    rng: random.Random,
) -> list[GroupMember] | None:
    """
    Return a path with each lost member replaced, or None if one has no replacement.

    A replacement is preferred if the plan has flow on its links to both neighbours.

    Parameters
    ----------
    plan : PathPlan
        Plan whose members may be used.
    loads : PathLoads
        Requests of this router, corrections and KV memory; the path itself is
        already removed.
    request : PathRequest
        Size of the request.
    path : list of GroupMember
        Current path.
    lost : set of str
        Endpoints to replace: they failed, or are reached over a slow link.
    rng : random.Random
        Source of randomness.
    """
    repaired: list[GroupMember] = []
    for index, member in enumerate(path):
        if member.endpoint in lost:
            successor = path[index + 1] if index + 1 < len(path) else None
            candidates = find_replacements(plan, loads, request, member)
            connected = [
                candidate
                for candidate in candidates
                if is_connected(plan, repaired, candidate, successor)
            ]
            replacement = least_loaded(loads, connected or candidates, rng)
            if replacement is None:
                return None
            member = replacement
        repaired.append(member)
    return repaired


def find_replacements(
    plan: PathPlan, loads: PathLoads, request: PathRequest, member: GroupMember
) -> list[GroupMember]:
    """Return other members with the same layer range and enough KV memory left."""
    return [
        candidate
        for (boundary, _), members in plan.members.items()
        for candidate in members
        if boundary == member.layers.start
        and candidate.layers == member.layers
        and candidate.endpoint != member.endpoint
        and loads.fits(candidate, request)
    ]


def least_loaded(
    loads: PathLoads, candidates: list[GroupMember], rng: random.Random
) -> GroupMember | None:
    """Return the candidate with the lowest load relative to its flow, if any."""

    def score(candidate: GroupMember) -> float:
        load = loads.own_requests[candidate.endpoint] + rng.expovariate(1.0)
        return load / candidate.rate

    return min(candidates, key=score, default=None)


def is_connected(
    plan: PathPlan,
    predecessors: list[GroupMember],
    member: GroupMember,
    successor: GroupMember | None,
) -> bool:
    """Return whether the plan has flow between a member and both its neighbours."""
    reachable = not predecessors or has_flow_between(plan, predecessors[-1], member)
    return reachable and (
        successor is None or has_flow_between(plan, member, successor)
    )


def has_flow_between(
    plan: PathPlan, member: GroupMember, successor: GroupMember
) -> bool:
    """Return whether the plan has flow from a member to a successor's data centre."""
    flows = plan.links.get((member.layers.stop, member.data_centre), {})
    return successor.data_centre in flows
