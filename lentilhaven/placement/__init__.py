"""
Placement: which layers each engine holds.

A model has more layers than one accelerator holds.  `plan_layers` decides which
range each engine is to load, so that every layer is held as often as the
accelerators allow and, as far as possible, as often within each data centre.
`Placer` carries a plan out.  Only the holder of a lease orders engines; each
order carries the lease's fencing number and the count of orders that the engine
has accepted, so that a late order of a former holder changes nothing.
"""

from lentilhaven.placement.placer import Placer
from lentilhaven.placement.plan import plan_layers

__all__ = ["Placer", "plan_layers"]
