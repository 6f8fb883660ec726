"""
Request rates that endpoints name as their limits, kept by all gateways together.

An endpoint in need states in its answers how many requests per second it takes from all
gateways together.  No gateway decides alone what the others may send, and none knows at
once what they do, so that each decides for its own requests from three things: the
limit (`NamedLimit`), how often all gateways ask for the service (`ServiceDemand`), and
how many requests the endpoint has got lately.

- Of the requests for a service, every gateway lets the same fraction go to a limited
  endpoint: its limit divided by the requests of all gateways (`permitted_endpoints`).
  The sum is the limit however unevenly the requests come and however many gateways
  there are, and the requests that one limited endpoint does not take are those that
  the next one does.
- The requests that the endpoint got from all gateways within a window bound the rest:
  chance, a burst, or gateways that know too little (`is_below_limit`).
- If the limits leave too little for all, each workspace gets an equal part of it, and
  what a workspace does not need goes to the others (`fair_fraction`).

Examples
--------
Two endpoints take 30 of the 40 requests per second together, and a quarter of the
requests must go elsewhere:

>>> limits = {"e-1": 20.0, "e-2": 10.0}
>>> [sorted(permitted_endpoints(limits, 40.0, it)) for it in (0.4, 0.6, 0.8)]
[['e-1'], ['e-2'], []]
"""

from lentilhaven.rate_limits.decisions import (
    fair_fraction,
    is_below_limit,
    permitted_endpoints,
    time_to_return,
)
from lentilhaven.rate_limits.named_limit import NamedLimit
from lentilhaven.rate_limits.service_demand import ServiceDemand

__all__ = [
    "NamedLimit",
    "ServiceDemand",
    "fair_fraction",
    "is_below_limit",
    "permitted_endpoints",
    "time_to_return",
]
