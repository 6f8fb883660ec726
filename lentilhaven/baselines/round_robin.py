"""Path policy that takes a fixed list of paths in turn."""

import random
from collections import Counter

from lentilhaven.baselines.members_by_start import members_by_start
from lentilhaven.pipelines.path_loads import PathLoads, PathRequest
from lentilhaven.pipelines.path_plan import PathPlan
from lentilhaven.pipelines.range_group import GroupMember


def choose_round_robin(
    plan: PathPlan, loads: PathLoads, request: PathRequest, rng: random.Random
) -> list[GroupMember] | None:
    """
    Return the next path of a fixed list, or None if the plan has no endpoints.

    The list is repeated without end, starting at a random path.

    Parameters
    ----------
    plan : PathPlan
        Lists the endpoints to choose from; their shares of the flow are ignored.
    loads : PathLoads
        Holds `round_robin_position`, which this function advances: the position in the
        repeated list, or 0 before the first choice.
    request : PathRequest
        Ignored.
    rng : random.Random
        Source of randomness for the first choice.
    """
    paths = build_fixed_paths(plan)
    if not paths:
        return None
    if loads.round_robin_position == 0:
        loads.round_robin_position = rng.randrange(len(paths))
    loads.round_robin_position += 1
    return paths[loads.round_robin_position % len(paths)]


def build_fixed_paths(plan: PathPlan) -> list[list[GroupMember]]:
    """Return paths that together use every endpoint at least once."""
    by_start = members_by_start(plan)
    unused = {member.endpoint for members in by_start.values() for member in members}
    use_counts: Counter = Counter()
    paths = []
    while unused:
        path: list[GroupMember] = []
        while (position := path[-1].layers.stop if path else 0) < plan.layer_count:
            member = min(
                by_start[position], key=lambda candidate: use_counts[candidate.endpoint]
            )
            use_counts[member.endpoint] += 1
            unused.discard(member.endpoint)
            path.append(member)
        paths.append(path)
    return paths
