"""The configuration of routes, services and workspaces."""

import attrs

from lentilhaven.fleet.route_rule import RouteRule
from lentilhaven.fleet.service_spec import ServiceSpec


@attrs.frozen
class RequestLimits:
    """
    Limits on callers' requests and connections.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Maximum size of a request head and of a body, in bytes.
    header_timeout, idle_timeout : float
        Seconds within which a request head must arrive, and for which a connection
        may be idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: float = 10.0
    idle_timeout: float = 60.0


@attrs.frozen
class Workspace:
    """
    A workspace whose API keys a manifest names.

    Attributes
    ----------
    name : str
        Name of the workspace.
    priority : int or None
        Priority of its requests; None keeps the route's priority.
    """

    name: str
    priority: int | None = None


@attrs.frozen
class Manifest:
    """
    One version of the complete configuration.

    Attributes
    ----------
    version : int
        Version number set by the operator.
    routes : dict
        `RouteRule` by host and path prefix.
    services : dict
        `ServiceSpec` by name.
    workspaces : dict or None
        `Workspace` by API key; None if requests need no key.
    limits : RequestLimits
        Limits on callers' requests and connections.
    """

    version: int
    routes: dict[tuple[str, str], RouteRule]
    services: dict[str, ServiceSpec]
    workspaces: dict[str, Workspace] | None = None
    limits: RequestLimits = attrs.field(factory=RequestLimits)

    def find_route(self, host: str, path: str) -> RouteRule | None:
        """
        Return the route with the longest prefix that matches a path.

        Parameters
        ----------
        host : str
            Host header of the request, with or without a port.
        path : str
            Path without its query string.

        Examples
        --------
        >>> from lentilhaven.fleet.route_rule import RouteKind
        >>> rule = RouteRule("r", "h", "/a/", RouteKind.SAFE, (), 1.0, 1.0)
        >>> manifest = Manifest(1, {("h", "/a/"): rule}, {})
        >>> manifest.find_route("h:80", "/a/b").name
        'r'
        >>> manifest.find_route("h", "/ab")
        """
        name = host.partition(":")[0].lower()
        end = path.rfind("/") + 1
        while end > 0:
            rule = self.routes.get((name, path[:end]))
            if rule is not None:
                return rule
            end = path.rfind("/", 0, end - 1) + 1
        return None
