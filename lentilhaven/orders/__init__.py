"""
Orders to model engines: which version, adapters and role to take.

The tables define the desired state of each endpoint.  The holder of a lease
compares this state with the state that the endpoints report, and sends orders in
*waves*.  A wave takes replicas out of service, from each range of layers in turn,
so that a complete pipeline of the new version becomes available early, and never
takes more replicas than the pool can lose.  An order contains the complete desired
state of its endpoint and the lease's fencing number, so that repeating the order is
harmless and a stale order can be distinguished from a new one.

See Also
--------
lentilhaven.leases : The lease and its fencing number.
"""

from lentilhaven.orders.endpoint_order import EndpointOrder, EndpointReport
from lentilhaven.orders.endpoint_reconciler import EndpointReconciler
from lentilhaven.orders.waves import WaveRules, next_wave

__all__ = [
    "EndpointOrder",
    "EndpointReport",
    "EndpointReconciler",
    "WaveRules",
    "next_wave",
]
