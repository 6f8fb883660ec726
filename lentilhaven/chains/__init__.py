"""
Chains of endpoints that run a model's layers, each once and in order.

An endpoint holds a range of layers and may run any part of it.  A chain is a
sequence of endpoints with consecutive parts of ``[0, L)``; its cost is the time
that one request spends on it.  `find_chain` is a shortest path over the
boundaries between layers, one vertex for each boundary and data centre, since
a step to another data centre costs more than one within it.

What an endpoint's layer costs depends on its card and on its load, which
`ChainCosts` estimates from what the engines publish of themselves and from
what this and the other gateways have sent them.
"""

from lentilhaven.chains.chain import Chain
from lentilhaven.chains.chain_costs import ChainCosts
from lentilhaven.chains.chain_search import Candidate, find_chain

__all__ = ["Candidate", "Chain", "ChainCosts", "find_chain"]
