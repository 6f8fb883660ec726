"""
Pipelines: chains of endpoints that cover a model's layers once and in order.

Endpoints form a directed graph.  Its vertices are the boundaries
``0, 1, ..., L`` between layers in each data centre; endpoints that hold
``[a, b)`` are an edge from ``a`` to ``b``, and links between data centres join
equal boundaries.  A pipeline is a path from ``0`` to ``L``; the most tokens per
second that a pool can generate is the maximum flow.

References
----------
L. R. Ford and D. R. Fulkerson, "Maximal flow through a network", 1956.
"""

from lentilhaven.pipelines.bound import Bound, bound_of
from lentilhaven.pipelines.path_plan import PathPlan, plan_paths
from lentilhaven.pipelines.traffic_mix import TrafficMix

__all__ = ["Bound", "PathPlan", "TrafficMix", "bound_of", "plan_paths"]
