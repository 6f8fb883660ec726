"""
Choice of a path for each request.

`choose_by_flow` draws a path in proportion to the pool's maximum flow and
corrects it by this router's own requests in flight and by its share of what old
load reports show.  `PathChooser` keeps the state of one router: the plan in
force, loads and the timing of links.  All of it is pure: clock readings and
random sources are arguments.
"""

from lentilhaven.balancing.path_chooser import PathChooser
from lentilhaven.balancing.path_policies import PATH_POLICIES, PathPolicy

__all__ = ["PATH_POLICIES", "PathChooser", "PathPolicy"]
