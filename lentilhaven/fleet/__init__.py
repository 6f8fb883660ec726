"""
A gateway's model of the deployment that it serves.

A `Manifest` maps requests to routes and routes to services.  An `Endpoint` is
one replica of a service; a replica of a model holds a range of layers, and an
`EngineSpec` describes its capacity and speed.  `FleetView` combines them: it
accepts newer versions from any source and never returns to an older one.
"""

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.engine_spec import AcceleratorType, EngineSpec
from lentilhaven.fleet.fleet_view import FleetView
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.fleet.manifest import Manifest
from lentilhaven.fleet.route_rule import RouteKind, RouteRule
from lentilhaven.fleet.service_spec import ServiceSpec

__all__ = [
    "AcceleratorType",
    "Endpoint",
    "EngineSpec",
    "FleetView",
    "LayerSpan",
    "Manifest",
    "RouteKind",
    "RouteRule",
    "ServiceSpec",
]
