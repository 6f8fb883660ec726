"""
Pipelines: chains of endpoints that cover a model's layers once and in order.

Endpoints form a directed graph.  Its vertices are the boundaries
``0, 1, ..., L`` between layers; an endpoint that holds ``[a, b)`` is an edge
from ``a`` to ``b``.  A pipeline is a path from ``0`` to ``L``.
"""

from lentilhaven.pipelines.chain import Candidate, draw_chain

__all__ = ["Candidate", "draw_chain"]
