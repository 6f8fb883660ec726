"""
Chains of endpoints that together run all layers of a model in order.

An endpoint holds a range of layers and may run any subrange of it.  A chain is a
sequence of endpoints that run consecutive parts of ``[0, L)``; its cost is the
estimated time that one request spends on it.  `find_chain` solves a shortest-path
problem over the layer boundaries.  It has one vertex for each boundary and data
centre, because a hop to another data centre costs more than one within it.

The cost of a layer depends on the endpoint's accelerator and load.  `ChainCosts`
estimates it from the specification that the engines publish and from the requests
that this gateway and the others have sent them.
"""

from lentilhaven.chains.chain import Chain
from lentilhaven.chains.chain_costs import ChainCosts
from lentilhaven.chains.chain_search import Candidate, find_chain

__all__ = ["Candidate", "Chain", "ChainCosts", "find_chain"]
