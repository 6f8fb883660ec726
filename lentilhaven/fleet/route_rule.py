"""Routes of a manifest."""

import enum

import attrs

#: Callers leave a stream after a pause of this many seconds, of `PATIENCE_IN_TARGETS`
#: target latencies or of `PATIENCE_IN_GAPS` target gaps, whichever is longest.
MIN_PATIENCE = 2.0
PATIENCE_IN_TARGETS = 4.0
PATIENCE_IN_GAPS = 8.0


class RouteKind(enum.Enum):
    """
    Whether and how a route's requests may be repeated.

    A safe request may run more than once, an unsafe one must not.  A streaming request
    is a generation request with a stream of events as its response; its route states
    whether another endpoint may continue the stream.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@attrs.frozen
class RouteRule:
    """
    One route of the manifest.

    Attributes
    ----------
    name : str
        Name of the route.
    host, path_prefix : str
        Host and path prefix of the requests that the route matches.  The prefix begins
        and ends with a slash.
    kind : RouteKind
        Whether and how requests may be repeated.
    services : tuple of (str, float)
        Services that handle the requests, each with its weight.
    timeout : float
        Maximum time from a request to the end of its response, in seconds.
    target_latency : float
        Target for the response time, in seconds.
    attempts : int
        Maximum number of endpoints to which one request may be sent.
    priority : int
        Priority of requests; 0 is the most urgent.
    anonymous : bool
        Whether requests need no API key.
    resumable : bool
        Whether another endpoint may continue a stream after its last event.
    gap_target : float
        Target for the longest pause between events, in seconds; 0 for none.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[tuple[str, float], ...]
    timeout: float
    target_latency: float
    attempts: int = 1
    priority: int = 5
    anonymous: bool = False
    resumable: bool = False
    gap_target: float = 0.0

    @property
    def stream_patience(self) -> float:
        """Return the pause between two events after which callers leave, in seconds."""
        return max(
            MIN_PATIENCE,
            PATIENCE_IN_TARGETS * self.target_latency,
            PATIENCE_IN_GAPS * self.gap_target,
        )

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.SAFE
