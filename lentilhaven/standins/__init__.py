"""
Stand-ins for the external systems, with faults that can be injected.

`ObjectStore` and `object_api_app` stand in for the platform, `Engine` and
`engine_app` for a model engine, and `service_app` for a plain service.  Each
implements only the published protocol of the system that it replaces.  The
docstring of its module lists what it does not simulate.
"""

from lentilhaven.standins.object_api import object_api_app
from lentilhaven.standins.object_store import ObjectStore, StoreFaults

__all__ = ["ObjectStore", "StoreFaults", "object_api_app"]
