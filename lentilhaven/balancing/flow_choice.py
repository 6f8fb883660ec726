"""Draws a path in proportion to the flow, corrected by load."""

import random
from collections.abc import Callable

from lentilhaven.core.ids import DataCentre
from lentilhaven.pipelines.path_loads import PathLoads, PathRequest
from lentilhaven.pipelines.path_plan import OUTSIDE, PathPlan
from lentilhaven.pipelines.range_group import Member

#: Most members of a group that one choice looks at.
SAMPLE_SIZE = 16

#: Gives the relative busyness of a member; the lowest is chosen.
Score = Callable[[Member], float]


def choose_by_flow(
    plan: PathPlan, loads: PathLoads, request: PathRequest, random: random.Random
) -> list[Member] | None:
    """
    Return a path, or None while no path has KV memory left.

    Each score is a load plus an exponential variable, over the flow.  While a
    router has nothing in flight its draws follow the flow exactly; the more it
    has, the more evenly it fills the flow, whatever other routers do.

    Parameters
    ----------
    plan : PathPlan
        Flow by member and link.
    loads : PathLoads
        Own requests, corrections and KV memory.
    request : PathRequest
        Its size.
    random : random.Random
        Source of chance.
    """

    def score(member: Member) -> float:
        load = loads.own[member.endpoint] + loads.corrections.get(member.endpoint, 0.0)
        return (max(0.0, load) + random.expovariate(1.0)) / member.rate

    return walk(plan, loads, request, random, score)


def walk(
    plan: PathPlan,
    loads: PathLoads,
    request: PathRequest,
    random: random.Random,
    score: Score,
) -> list[Member] | None:
    """
    Return a path that takes the member with the lowest score at each boundary.

    Parameters
    ----------
    plan, loads, request, random
        As in `choose_by_flow`.
    score : callable
        Relative busyness of a member.
    """
    path: list[Member] = []
    place = (0, OUTSIDE)
    while place[0] < plan.layer_count:
        member = next_member(plan, loads, request, random, score, place)
        if member is None:
            return None
        path.append(member)
        place = (member.layers.stop, member.data_centre)
    count_links(loads, path)
    return path


def next_member(
    plan: PathPlan,
    loads: PathLoads,
    request: PathRequest,
    random: random.Random,
    score: Score,
    place: tuple,
) -> Member | None:
    """Return the member to go to from a boundary in a data centre."""
    flows = plan.links.get(place, {})
    uses = loads.link_uses[place]

    def link_score(target: DataCentre) -> float:
        return (uses[target] + random.expovariate(1.0)) / flows[target]

    for target in sorted(flows, key=link_score):
        members = plan.members[(place[0], target)]
        if len(members) > SAMPLE_SIZE:
            members = random.sample(members, SAMPLE_SIZE)
        fitting = [it for it in members if loads.fits(it, request)]
        if fitting:
            return min(fitting, key=score)
    return None


def count_links(loads: PathLoads, path: list[Member]) -> None:
    """Remember which links a path takes."""
    place = (0, OUTSIDE)
    for member in path:
        loads.link_uses[place][member.data_centre] += 1
        place = (member.layers.stop, member.data_centre)
