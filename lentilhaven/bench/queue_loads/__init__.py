"""
Plays overloads with the waiting queue, and with polling at random order.

`LoadRouter` is one router of the policy simulation in which requests wait for a fixed
number of streams in flight.  `LOADS` are the overloads of docs/design/overload.md.
"""

from lentilhaven.bench.queue_loads.load_router import LoadRouter
from lentilhaven.bench.queue_loads.loads import LOADS

__all__ = ["LOADS", "LoadRouter"]
