"""
Placement of model layers on engines.

A model has more layers than one accelerator can hold.  `plan_layers` decides which
range of layers each engine loads, so that every layer has as many copies as the
accelerators allow and, as far as possible, copies within each data centre.
`Placer` carries out a plan.  Only the holder of a lease sends orders to engines.
Each order carries the fencing token of the lease and the number of orders that the
engine has accepted, so that an engine rejects a late order of a former holder of the
lease.
"""

from lentilhaven.placement.placer import Placer
from lentilhaven.placement.plan import plan_layers

__all__ = ["Placer", "plan_layers"]
