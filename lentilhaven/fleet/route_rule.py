"""Routes of a manifest."""

import enum

import attrs


class RouteKind(enum.Enum):
    """What may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAMING = "streaming"


@attrs.frozen
class RouteRule:
    """
    One route.

    Attributes
    ----------
    name : str
        Its name.
    host, path_prefix : str
        What it answers.  The prefix begins and ends with a slash.
    kind : RouteKind
        What may be repeated.
    services : tuple of (str, float)
        Services that answer, each with its weight.
    timeout : float
        Longest time to a final answer, in seconds.
    target_latency : float
        Time within which an answer is on time, in seconds.
    attempts : int
        Most endpoints to which one request may be sent.
    priority : int
        Rank; 0 is the most urgent.
    anonymous : bool
        Whether requests need no key.
    resumable : bool
        Whether a stream may go on at another endpoint after its last event.
    gap_target : float
        Longest pause between events that is on time, in seconds; 0 for none.
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
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.SAFE
