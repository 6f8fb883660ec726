"""Members of a path plan by their first layer."""

from lentilhaven.pipelines.path_plan import PathPlan
from lentilhaven.pipelines.range_group import GroupMember


def members_by_start(plan: PathPlan) -> dict[int, list[GroupMember]]:
    """
    Return the members that start at each layer boundary, in all data centres.

    Parameters
    ----------
    plan : PathPlan
        Plan of the pool; only its members are used.
    """
    by_start: dict[int, list[GroupMember]] = {}
    for (boundary, _), members in sorted(plan.members.items()):
        by_start.setdefault(boundary, []).extend(members)
    return by_start
