"""
What a gateway knows of the deployment that it serves.

A `Manifest` says which route answers which kind of request.  An `Endpoint` is
one replica of a service; a replica of a model holds a range of layers, and an
`EngineSpec` says how much it can hold and how fast it is.  `FleetView` joins
them: it takes newer versions from wherever they come, and never goes back.
"""

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.engine_spec import CardKind, EngineSpec
from lentilhaven.fleet.fleet_view import FleetView
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.fleet.manifest import Manifest
from lentilhaven.fleet.route_rule import RouteKind, RouteRule
from lentilhaven.fleet.service_spec import ServiceSpec

__all__ = [
    "CardKind",
    "Endpoint",
    "EngineSpec",
    "FleetView",
    "LayerSpan",
    "Manifest",
    "RouteKind",
    "RouteRule",
    "ServiceSpec",
]
