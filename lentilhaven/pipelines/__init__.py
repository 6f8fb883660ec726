"""
Pipelines: chains of endpoints that cover a model's layers once and in order.

The endpoints of a pool form a directed graph.  Its vertices are the layer
boundaries ``0, 1, ..., L`` in each data centre.  Endpoints that hold the layers
``[a, b)`` are an edge from ``a`` to ``b``; links between data centres connect
vertices of the same boundary.  A pipeline is a path from ``0`` to ``L``, and
the highest token rate that the pool can sustain is the maximum flow.

References
----------
L. R. Ford and D. R. Fulkerson, "Maximal flow through a network", 1956.
"""

from lentilhaven.pipelines.bound import Bound, bound_of
from lentilhaven.pipelines.path_plan import PathPlan, plan_paths
from lentilhaven.pipelines.traffic_mix import TrafficMix

__all__ = ["Bound", "PathPlan", "TrafficMix", "bound_of", "plan_paths"]
