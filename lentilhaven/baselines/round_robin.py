"""Round robin over fixed chains."""

import random
from collections import Counter

from lentilhaven.baselines.members_by_start import members_by_start
from lentilhaven.pipelines.path_loads import PathLoads, PathRequest
from lentilhaven.pipelines.path_plan import PathPlan
from lentilhaven.pipelines.range_group import Member


def choose_round_robin(
    plan: PathPlan, loads: PathLoads, request: PathRequest, random: random.Random
) -> list[Member] | None:
    """
    Return the next of a fixed list of chains.

    Parameters
    ----------
    plan : PathPlan
        Endpoints in use.
    loads : PathLoads
        Counts the turns.
    request : PathRequest
        Ignored.
    random : random.Random
        Chooses the first turn.
    """
    chains = fixed_chains(plan)
    if not chains:
        return None
    if loads.turn == 0:
        loads.turn = random.randrange(len(chains))
    loads.turn += 1
    return chains[loads.turn % len(chains)]


def fixed_chains(plan: PathPlan) -> list[list[Member]]:
    """Return chains that together use every endpoint at least once."""
    starts = members_by_start(plan)
    unused = {it.endpoint for members in starts.values() for it in members}
    uses: Counter = Counter()
    chains = []
    while unused:
        chain: list[Member] = []
        while (position := chain[-1].layers.stop if chain else 0) < plan.layer_count:
            member = min(starts[position], key=lambda it: uses[it.endpoint])
            uses[member.endpoint] += 1
            unused.discard(member.endpoint)
            chain.append(member)
        chains.append(chain)
    return chains
