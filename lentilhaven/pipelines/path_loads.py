"""Load of endpoints and links as known to one router."""

from collections import Counter, defaultdict

import attrs

from lentilhaven.core.ids import DataCentre, EndpointId
from lentilhaven.core.invariants import ensure
from lentilhaven.pipelines.range_group import GroupMember


@attrs.frozen
class PathRequest:
    """
    Properties of a request that the choice of a path depends on.

    Attributes
    ----------
    tokens : float
        Maximum number of tokens in the KV cache, prompt and answer together.
    prefix : str
        Identifies the prefix of the prompt; empty if there is none.
    """

    tokens: float = 0.0
    prefix: str = ""


@attrs.define
class PathLoads:
    """
    Load of endpoints and links as known to one router.

    Attributes
    ----------
    routers : int
        Number of routers that share the endpoints.
    own_requests : Counter
        Requests of this router in flight, by endpoint.
    reported : dict
        Requests by endpoint according to its last load report, which is out of date
        when it arrives.
    corrections : dict
        Requests to add to `own_requests` when endpoints are compared, by endpoint;
        negative for an endpoint that is less loaded than its share.
    kv_reserved : dict
        KV memory reserved for requests of this router, in layers times tokens,
        by endpoint.
    link_uses : dict
        Number of times that each next data centre was chosen, by the layer boundary
        and data centre from which a path continues.
    round_robin_position : int
        Position of the round-robin policy in its repeated list of paths; 0 before its
        first choice.
    """

    routers: int = 1
    own_requests: Counter[EndpointId] = attrs.field(factory=Counter)
    reported: dict[EndpointId, float] = attrs.field(factory=dict)
    corrections: dict[EndpointId, float] = attrs.field(factory=dict)
    kv_reserved: dict[EndpointId, float] = attrs.field(
        factory=lambda: defaultdict(float)
    )
    link_uses: dict[tuple[int, DataCentre], Counter[DataCentre]] = attrs.field(
        factory=lambda: defaultdict(Counter)
    )
    round_robin_position: int = 0

    def kv_share(self, member: GroupMember) -> float:
        """
        Return the KV memory that this router may reserve at an endpoint.

        Each router decides on its own, from load reports that are out of date.
        Only fixed shares guarantee that all routers together never reserve more
        KV memory than the endpoint has.

        Examples
        --------
        >>> from lentilhaven.tables.layer_range import LayerRange
        >>> member = GroupMember("e", LayerRange(0, 4), "a", 1.0, kv_capacity=900.0)
        >>> PathLoads(routers=9).kv_share(member)
        100.0
        """
        return member.kv_capacity / self.routers

    def fits(self, member: GroupMember, request: PathRequest) -> bool:
        """Return whether a request fits into this router's share of KV memory."""
        required = request.tokens * member.layers.size
        return self.kv_reserved[member.endpoint] + required <= self.kv_share(member)

    def begin(self, path: list[GroupMember], request: PathRequest) -> None:
        """Add a request to the load of its path, and reserve its KV memory there."""
        self.own_requests.update(member.endpoint for member in path)
        self.reserve(path, request)

    def finish(self, path: list[GroupMember], request: PathRequest) -> None:
        """Remove a request from the load of its path and release its KV memory."""
        self.own_requests.subtract(member.endpoint for member in path)
        self.release(path, request)

    def reserve(self, path: list[GroupMember], request: PathRequest) -> None:
        """
        Reserve the KV memory of a request at every member of a path.

        Raises
        ------
        InvariantError
            If the request does not fit into this router's share of a member.
        """
        for member in path:
            ensure(self.fits(member, request), "kv-over-committed", member)
            self.kv_reserved[member.endpoint] += request.tokens * member.layers.size

    def release(self, path: list[GroupMember], request: PathRequest) -> None:
        """Release the KV memory of a request at every member of a path."""
        for member in path:
            self.kv_reserved[member.endpoint] -= request.tokens * member.layers.size
