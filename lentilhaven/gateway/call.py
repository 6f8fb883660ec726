"""One request of a caller, with what was found out about it."""

import attrs

from lentilhaven.fleet.route_rule import RouteRule
from lentilhaven.platform.request_head import RequestHead


@attrs.define(eq=False)
class Call:
    """
    A request while it is served.

    Attributes
    ----------
    method, target : str
        As the caller sent them.
    head : RequestHead
        Its head.
    body : bytes
        Its whole body.
    route : RouteRule
        The route that answers it.
    service : str
        The service that answers it.
    tenant : str
        Name of the caller's workspace; empty if the route needs none.
    priority : int
        Rank; 0 is the most urgent.
    arrived : float
        Time of the event loop at which its head was there.
    deadline : float
        Time at which it needs a final answer.
    manifest_version : int
        Version of the manifest by which it was routed.
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
        """Return the id of this attempt of the caller."""
        return self.head.request_id
