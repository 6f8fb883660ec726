"""Prefers the endpoints that are likely to hold a prompt's prefix."""

import random

import xxhash

from lentilhaven.balancing.flow_choice import walk
from lentilhaven.pipelines.path_loads import PathLoads, PathRequest
from lentilhaven.pipelines.path_plan import PathPlan
from lentilhaven.pipelines.range_group import Member

#: A preferred member may have this many times its even share of own requests.
LOAD_BOUND = 1.25

#: Own requests allowed at a preferred member besides.
LOAD_SLACK = 1.0


def choose_by_affinity(
    plan: PathPlan, loads: PathLoads, request: PathRequest, random: random.Random
) -> list[Member] | None:
    """
    Return a path through the prefix's own members while their load is bounded.

    All routers rank members by the same hash of prefix and endpoint, so that
    requests with one prefix meet without any word of what is cached: events
    that come late or not at all do no harm.

    Parameters
    ----------
    plan : PathPlan
        Flow by member and link.
    loads : PathLoads
        Own requests, corrections and KV memory.
    request : PathRequest
        Its size and prefix.
    random : random.Random
        Source of chance.

    References
    ----------
    V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent Hashing with Bounded
    Loads", 2018.
    """
    total_load = sum(loads.own.values())
    total_rate = sum(it.rate for it in plan.all_members())

    def score(member: Member) -> float:
        load = loads.own[member.endpoint] + loads.corrections.get(member.endpoint, 0.0)
        even = total_load * member.rate / total_rate
        if request.prefix and load <= LOAD_BOUND * even + LOAD_SLACK:
            return -prefix_rank(request.prefix, member)
        return (max(0.0, load) + random.expovariate(1.0)) / member.rate

    return walk(plan, loads, request, random, score)


def prefix_rank(prefix: str, member: Member) -> float:
    """
    Return a number above 0 by which members are ranked for a prefix.

    Examples
    --------
    >>> from lentilhaven.tables.layer_range import LayerRange
    >>> member = Member("e", LayerRange(0, 4), "a", 1.0)
    >>> prefix_rank("p", member) == prefix_rank("p", member) > 0
    True
    """
    return 1.0 + xxhash.xxh3_64_intdigest(f"{prefix}\x00{member.endpoint}".encode())
