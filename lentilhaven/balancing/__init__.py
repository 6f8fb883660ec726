"""
Selection of a path for each request.

`choose_by_flow` draws paths in proportion to the flow of the pool's plan.  It
corrects the draw by the requests that this router has in flight, and by this
router's share of the imbalance in past load reports.  `PathChooser` keeps the
state of one router for one pool: current plans, loads and link timing.  Nothing
in this package does I/O; clock readings and random sources are arguments.
"""

from lentilhaven.balancing.path_chooser import PathChooser
from lentilhaven.balancing.path_policies import PATH_POLICIES, PathPolicy

__all__ = ["PATH_POLICIES", "PathChooser", "PathPolicy"]
