"""A caller's request with its routing decision."""

import hashlib
from functools import cached_property

import attrs

from lentilhaven.fleet.route_rule import RouteRule
from lentilhaven.platform.request_head import RequestHead

#: Bytes of the digest of a request: too many for two requests to share one by chance,
#: or for a caller to find a body whose digest is that of another request.
DIGEST_BYTES = 12


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
    workspace : str
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
    workspace: str
    priority: int
    arrived: float
    deadline: float
    manifest_version: int

    @cached_property
    def digest(self) -> str:
        """
        Return a digest that is the same whenever a request comes again.

        It covers the caller's workspace, the method, host and target, and the body.
        Attempts of a caller differ in their id, and the headers do not count.
        """
        found = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for text in (self.workspace, self.method, self.route.host, self.target):
            encoded = text.encode("utf-8", "surrogateescape")
            found.update(b"%d:%b" % (len(encoded), encoded))
        found.update(self.body)
        return found.hexdigest()

    @property
    def id(self) -> str:
        """Return the id that the caller gave this attempt."""
        return self.head.request_id
