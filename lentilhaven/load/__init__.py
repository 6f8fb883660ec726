"""
Collection of load reports from endpoints and their distribution to routers.

Each endpoint is polled by two agents in its data centre.  Their results are
gossiped as facts, values that a VM publishes under a topic, within the data centre;
other data centres receive a summary per pool.  The age of a report is sent with it,
so that a delayed report counts as old and not as an idle endpoint.  An endpoint that
no agent has reached has no report at all.
"""

from lentilhaven.load.endpoint_load import EndpointLoad
from lentilhaven.load.load_merge import merge_loads, summarise_pools, view_endpoints
from lentilhaven.load.load_poller import LoadPoller

__all__ = [
    "EndpointLoad",
    "LoadPoller",
    "merge_loads",
    "summarise_pools",
    "view_endpoints",
]
