"""Path policy that draws paths in proportion to the flow, corrected by load."""

import random
from collections.abc import Callable

from lentilhaven.core.ids import DataCentre
from lentilhaven.pipelines.path_loads import PathLoads, PathRequest
from lentilhaven.pipelines.path_plan import CLIENT_SIDE, PathPlan
from lentilhaven.pipelines.range_group import GroupMember

#: Maximum number of members of a group that one choice compares.
SAMPLE_SIZE = 16

#: Returns the relative load of a member; the member with the lowest is chosen.
Score = Callable[[GroupMember], float]


def choose_by_flow(
    plan: PathPlan, loads: PathLoads, request: PathRequest, rng: random.Random
) -> list[GroupMember] | None:
    """
    Return a path drawn by flow and load; None if no path has KV memory left.

    The score of a member is its load plus an exponential random variable, divided
    by its share of the flow.  While the router has no requests in flight, its
    draws follow the flow exactly.  The more requests it has in flight, the more
    evenly its own load matches the flow, whatever other routers do.

    Parameters
    ----------
    plan : PathPlan
        Shares of the flow by member and link.
    loads : PathLoads
        Requests of this router, corrections and KV memory.
    request : PathRequest
        Size of the request.
    rng : random.Random
        Source of randomness.
    """

    def score(member: GroupMember) -> float:
        load = loads.own_requests[member.endpoint] + loads.corrections.get(
            member.endpoint, 0.0
        )
        return (max(0.0, load) + rng.expovariate(1.0)) / member.rate

    return build_path(plan, loads, request, rng, score)


def build_path(
    plan: PathPlan,
    loads: PathLoads,
    request: PathRequest,
    rng: random.Random,
    score: Score,
) -> list[GroupMember] | None:
    """
    Return a path built greedily from the lowest-scoring member per boundary.

    The result is None if the path reaches a boundary where no member has enough KV
    memory left.  Otherwise, the links of the path are counted in `loads`.

    Parameters
    ----------
    plan, loads, request, rng
        As in `choose_by_flow`.
    score : callable
        Returns the relative load of a member.
    """
    path: list[GroupMember] = []
    vertex = (0, CLIENT_SIDE)
    while vertex[0] < plan.layer_count:
        member = select_member(plan, loads, request, rng, score, vertex)
        if member is None:
            return None
        path.append(member)
        vertex = (member.layers.stop, member.data_centre)
    record_link_uses(loads, path)
    return path


def select_member(
    plan: PathPlan,
    loads: PathLoads,
    request: PathRequest,
    rng: random.Random,
    score: Score,
    vertex: tuple,
) -> GroupMember | None:
    """
    Return the next member of a path, or None if none has enough KV memory left.

    The next data centre is drawn in proportion to the flow to it, corrected by how
    often it was chosen.  The vertex is a layer boundary and a data centre.
    """
    flows = plan.links.get(vertex, {})
    uses = loads.link_uses[vertex]

    def link_score(target: DataCentre) -> float:
        return (uses[target] + rng.expovariate(1.0)) / flows[target]

    for target in sorted(flows, key=link_score):
        members = plan.members[(vertex[0], target)]
        if len(members) > SAMPLE_SIZE:
            members = rng.sample(members, SAMPLE_SIZE)
        fitting = [member for member in members if loads.fits(member, request)]
        if fitting:
            return min(fitting, key=score)
    return None


def record_link_uses(loads: PathLoads, path: list[GroupMember]) -> None:
    """Count the links that a path uses in `PathLoads.link_uses`."""
    vertex = (0, CLIENT_SIDE)
    for member in path:
        loads.link_uses[vertex][member.data_centre] += 1
        vertex = (member.layers.stop, member.data_centre)
