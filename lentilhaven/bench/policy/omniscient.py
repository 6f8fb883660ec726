"""Reference path policy that knows the current queue of every engine."""

import random

from lentilhaven.balancing.flow_choice import build_path
from lentilhaven.balancing.path_policies import PathPolicy
from lentilhaven.pipelines.path_loads import PathLoads, PathRequest
from lentilhaven.pipelines.path_plan import PathPlan
from lentilhaven.pipelines.range_group import GroupMember
from lentilhaven.standins.service_model import Cluster


def omniscient(cluster: Cluster) -> PathPolicy:
    """
    Return a path policy that reads the load directly from the engines.

    Parameters
    ----------
    cluster : Cluster
        Engines whose load is read.
    """

    def choose(
        plan: PathPlan, loads: PathLoads, request: PathRequest, rng: random.Random
    ) -> list[GroupMember] | None:
        def score(member: GroupMember) -> float:
            # Includes streams that were sent but have not arrived at the engine yet.
            return cluster.stream_counts[member.endpoint] / member.rate

        return build_path(plan, loads, request, rng, score)

    return choose
