"""
Stand-ins for the users' platform: its store, its replicas and its callers.

They implement the published protocol over connections of the event loop, so that
complete gateways run against them in virtual time.  Tests set attributes to inject
faults.  The stand-ins do not simulate the rate limits and prices of the store,
batching and memory of engines, the bandwidth of links, or the load balancer.
"""

from lentilhaven.standins.platform.fake_fleet import FakeFleet
from lentilhaven.standins.platform.fake_replica import FakeReplica
from lentilhaven.standins.platform.fake_store import FakeStore
from lentilhaven.standins.platform.store_app import store_app

__all__ = ["FakeFleet", "FakeReplica", "FakeStore", "store_app"]
