"""
Load reports of endpoints, and their way to all routers.

Each endpoint is polled by two agents of its data centre.  What they see spreads
within the data centre as facts; other data centres get a summary per pool.  The
age of every figure travels with it: a late report grows old instead of reading
as idle, and an endpoint that nobody has heard has no report at all.
"""

from lentilhaven.load.endpoint_load import EndpointLoad
from lentilhaven.load.load_digest import merge_loads, summarise_pools, view_endpoints
from lentilhaven.load.load_poller import LoadPoller

__all__ = [
    "EndpointLoad",
    "LoadPoller",
    "merge_loads",
    "summarise_pools",
    "view_endpoints",
]
