"""Path policies by their names in the route table."""

import random
from collections.abc import Callable

from lentilhaven.balancing.affinity_choice import choose_by_affinity
from lentilhaven.balancing.flow_choice import choose_by_flow
from lentilhaven.baselines import (
    choose_least_loaded,
    choose_random_of_two,
    choose_round_robin,
)
from lentilhaven.pipelines.path_loads import PathLoads, PathRequest
from lentilhaven.pipelines.path_plan import PathPlan
from lentilhaven.pipelines.range_group import GroupMember

PathPolicy = Callable[
    [PathPlan, PathLoads, PathRequest, random.Random], list[GroupMember] | None
]

PATH_POLICIES: dict[str, PathPolicy] = {
    "flow": choose_by_flow,
    "affinity": choose_by_affinity,
    "round-robin": choose_round_robin,
    "least-loaded": choose_least_loaded,
    "random-of-two": choose_random_of_two,
}
