"""A caller's request with its routing decision."""

import attrs

from lentilhaven.fleet.route_rule import RouteRule
from lentilhaven.platform.request_head import RequestHead


@attrs.define(eq=False)
class Call:
    """
    A request that is being served.

    Attributes
    ----------
    method, target : str
        Method and target as the caller sent them.
    head : RequestHead
        The decoded head.
    body : bytes
        The whole body.
    route : RouteRule
        The route that the request matches.
    service : str
        Name of the service that handles the request.
    tenant : str
        Name of the caller's workspace; empty if the request was accepted without a
        known API key.
    priority : int
        Scheduling priority; 0 is the most urgent.
    arrived : float
        Event loop time at which the head had arrived, in seconds.
    deadline : float
        Event loop time by which the caller needs a final answer, in seconds.
    manifest_version : int
        Version of the manifest by which the request was routed.
    """

    method: str
    target: str
    head: RequestHead
    body: bytes
    route: RouteRule
    service: str
    tenant: str
    priority: int
    arrived: float
    deadline: float
    manifest_version: int

    @property
    def id(self) -> str:
        """Return the id that the caller gave this attempt."""
        return self.head.request_id
