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

    The first choice starts at a random path.

    Parameters
    ----------
    plan : PathPlan
        Lists the endpoints to choose from; their shares of the flow are ignored.
    loads : PathLoads
        Holds the number of choices made, which this function advances.
    request : PathRequest
        Ignored.
    rng : random.Random
        Source of randomness for the first choice.
    """
    paths = build_fixed_paths(plan)
    if not paths:
        return None
    if loads.choice_count == 0:
        loads.choice_count = rng.randrange(len(paths))
    loads.choice_count += 1
    return paths[loads.choice_count % len(paths)]


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
