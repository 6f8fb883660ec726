"""Path policy that prefers endpoints likely to have a prompt's prefix cached."""

import random

import xxhash

from lentilhaven.balancing.flow_choice import build_path
from lentilhaven.pipelines.path_loads import PathLoads, PathRequest
from lentilhaven.pipelines.path_plan import PathPlan
from lentilhaven.pipelines.range_group import GroupMember

#: Load up to which a preferred member is used, as a multiple of its fair share.
LOAD_BOUND = 1.25

#: Additional requests allowed at a preferred member, beyond `LOAD_BOUND`.
LOAD_SLACK = 1.0


def choose_by_affinity(
    plan: PathPlan, loads: PathLoads, request: PathRequest, rng: random.Random
) -> list[GroupMember] | None:
    """
    Return a path through the preferred members of a prefix, or None.

    A preferred member is used only while its load is at most `LOAD_BOUND` times its
    fair share plus `LOAD_SLACK` requests.  All routers rank
    members by the same hash of prefix and endpoint, so that requests with the same
    prefix reach the same endpoints.  No router needs to know what is cached, so
    that late or lost cache events do no harm.  The result is None if no path has
    enough KV memory left.

    Parameters
    ----------
    plan : PathPlan
        Shares of the flow by member and link.
    loads : PathLoads
        Requests of this router, corrections and KV memory.
    request : PathRequest
        Size and prefix of the request.
    rng : random.Random
        Source of randomness.

    References
    ----------
    V. Mirrokni, M. Thorup, M. Zadimoghaddam, "Consistent Hashing with Bounded
    Loads", 2018.
    """
    total_load = sum(loads.own_requests.values())
    total_rate = sum(member.rate for member in plan.all_members())

    def score(member: GroupMember) -> float:
        load = loads.own_requests[member.endpoint] + loads.corrections.get(
            member.endpoint, 0.0
        )
        fair_share = total_load * member.rate / total_rate
        if request.prefix and load <= LOAD_BOUND * fair_share + LOAD_SLACK:
            # Negative, so that each of these members ranks before all others.
            return -rendezvous_weight(request.prefix, member)
        return (max(0.0, load) + rng.expovariate(1.0)) / member.rate

    return build_path(plan, loads, request, rng, score)


def rendezvous_weight(prefix: str, member: GroupMember) -> float:
    """
    Return the weight of a member for a prefix, above 0; the highest is preferred.

    Examples
    --------
    >>> from lentilhaven.tables.layer_range import LayerRange
    >>> member = GroupMember("e", LayerRange(0, 4), "a", 1.0)
    >>> rendezvous_weight("p", member) == rendezvous_weight("p", member) > 0
    True
    """
    return 1.0 + xxhash.xxh3_64_intdigest(f"{prefix}\x00{member.endpoint}".encode())
