"""Members of a plan by their first layer."""

from lentilhaven.pipelines.path_plan import PathPlan
from lentilhaven.pipelines.range_group import Member


def members_by_start(plan: PathPlan) -> dict[int, list[Member]]:
    """
    Return the members that start at each boundary, whatever their data centre.

    Parameters
    ----------
    plan : PathPlan
        The plan; its shares of the flow are ignored.
    """
    found: dict[int, list[Member]] = {}
    for (boundary, _), members in sorted(plan.members.items()):
        found.setdefault(boundary, []).extend(members)
    return found
