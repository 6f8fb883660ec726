"""What one router knows of the load on its paths."""

from collections import Counter, defaultdict

import attrs

from lentilhaven.core.ids import DataCentre, EndpointId
from lentilhaven.core.invariants import ensure
from lentilhaven.pipelines.range_group import Member


@attrs.frozen
class PathRequest:
    """
    What the choice of a path depends on.

    Attributes
    ----------
    tokens : float
        Most tokens that the answer's KV cache will hold, prompt included.
    prefix : str
        Names the prompt's prefix; empty for none.
    """

    tokens: float = 0.0
    prefix: str = ""


@attrs.define
class PathLoads:
    """
    Load by endpoint, as one router sees it.

    Attributes
    ----------
    routers : int
        Routers that share the endpoints.
    own : Counter
        This router's requests in flight, by endpoint.
    reported : dict
        Requests at each endpoint by its last report, which is old.
    corrections : dict
        Requests by which the router treats an endpoint as busier, or less
        busy, than its own requests say.
    kv_reserved : dict
        Layers times tokens that this router's requests may come to hold.
    link_uses : dict
        Choices of each next data centre, by boundary and data centre.
    turn : int
        Number of choices made, for policies that take turns.
    """

    routers: int = 1
    own: Counter[EndpointId] = attrs.field(factory=Counter)
    reported: dict[EndpointId, float] = attrs.field(factory=dict)
    corrections: dict[EndpointId, float] = attrs.field(factory=dict)
    kv_reserved: dict[EndpointId, float] = attrs.field(
        factory=lambda: defaultdict(float)
    )
    link_uses: dict[tuple[int, DataCentre], Counter[DataCentre]] = attrs.field(
        factory=lambda: defaultdict(Counter)
    )
    turn: int = 0

    def kv_share(self, member: Member) -> float:
        """
        Return the KV memory that this router may fill.

        Routers decide alone on old reports, so that only fixed shares rule out
        that together they promise more than an endpoint has.

        Examples
        --------
        >>> from lentilhaven.tables.layer_range import LayerRange
        >>> member = Member("e", LayerRange(0, 4), "a", 1.0, kv_capacity=900.0)
        >>> PathLoads(routers=9).kv_share(member)
        100.0
        """
        return member.kv_capacity / self.routers

    def fits(self, member: Member, request: PathRequest) -> bool:
        """Return whether a request fits into this router's share of KV memory."""
        need = request.tokens * member.layers.size
        return self.kv_reserved[member.endpoint] + need <= self.kv_share(member)

    def begin(self, path: list[Member], request: PathRequest) -> None:
        """Count a request in on its path and reserve its KV memory."""
        self.own.update(member.endpoint for member in path)
        self.reserve(path, request)

    def finish(self, path: list[Member], request: PathRequest) -> None:
        """Count a request out of its path and release its KV memory."""
        self.own.subtract(member.endpoint for member in path)
        self.release(path, request)

    def reserve(self, path: list[Member], request: PathRequest) -> None:
        """
        Reserve the KV memory of a request.

        Raises
        ------
        InvariantError
            If its KV cache does not fit.
        """
        for member in path:
            ensure(self.fits(member, request), "kv-over-committed", member)
            self.kv_reserved[member.endpoint] += request.tokens * member.layers.size

    def release(self, path: list[Member], request: PathRequest) -> None:
        """Release the KV memory of a request."""
        for member in path:
            self.kv_reserved[member.endpoint] -= request.tokens * member.layers.size
