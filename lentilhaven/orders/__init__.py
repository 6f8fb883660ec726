"""
Orders to model engines: which version to load, which adapters, which role.

The tables say what each endpoint should hold.  The holder of a lease compares
that with what the endpoints report, and sends orders in *waves*: a wave takes
one replica of each range of layers out, so that a whole pipeline of the new
version appears, and never more than the pool can spare.  An order states the
whole desired state of its endpoint with the lease's fencing number, so that
repeating it is harmless and an old one can be told from a new one.

See Also
--------
lentilhaven.leases : The lease and its fencing number.
"""

from lentilhaven.orders.endpoint_order import EndpointOrder, EndpointReport
from lentilhaven.orders.order_holder import OrderHolder
from lentilhaven.orders.waves import WaveRules, next_wave

__all__ = [
    "EndpointOrder",
    "EndpointReport",
    "OrderHolder",
    "WaveRules",
    "next_wave",
]
