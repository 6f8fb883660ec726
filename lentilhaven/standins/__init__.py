"""
Small stand-ins of the outside systems, with faults that can be injected.

`ObjectStore` and `object_api_app` stand in for the platform, `EngineState` and
`engine_app` for a model engine, and `service_app` for a plain service.  Each
speaks the published protocol of what it replaces and nothing more; what it
leaves out is listed in its module's docstring.
"""

from lentilhaven.standins.object_api import object_api_app
from lentilhaven.standins.object_store import ObjectStore, StoreFaults

__all__ = ["ObjectStore", "StoreFaults", "object_api_app"]
