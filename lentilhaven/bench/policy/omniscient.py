"""A chooser that knows every queue as it is now, to compare with."""

import random

from lentilhaven.balancing.flow_choice import walk
from lentilhaven.balancing.path_policies import PathPolicy
from lentilhaven.pipelines.path_loads import PathLoads, PathRequest
from lentilhaven.pipelines.path_plan import PathPlan
from lentilhaven.pipelines.range_group import Member
from lentilhaven.standins.service_model import Cluster


def omniscient(cluster: Cluster) -> PathPolicy:
    """
    Return the policy that looks into the engines themselves.

    Parameters
    ----------
    cluster : Cluster
        The engines.
    """

    def choose(
        plan: PathPlan, loads: PathLoads, request: PathRequest, random: random.Random
    ) -> list[Member] | None:
        def score(member: Member) -> float:
            # Streams that were sent but have not arrived count as well.
            return cluster.assigned[member.endpoint] / member.rate

        return walk(plan, loads, request, random, score)

    return choose
