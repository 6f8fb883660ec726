"""Sums of the load that gateways put on endpoints and pipes."""

from collections import defaultdict

import attrs

from lentilhaven.peering.news import PeerNews


@attrs.define
class LoadSums:
    """
    Load of several gateways together.

    Attributes
    ----------
    requests : dict
        Requests under way, by endpoint.
    tokens : dict
        Tokens times layers that these need, by endpoint.
    pipes : dict
        Tokens per second by pipe.

    Examples
    --------
    >>> sums = LoadSums()
    >>> news = PeerNews("vm-2", "r", "10.0.0.2:7000", 1, loads={"e": (2, 8.0)})
    >>> sums.add(news); sums.of("e")
    (2, 8.0)
    >>> sums.add(news, sign=-1); sums.of("e")
    (0, 0.0)
    """

    requests: dict[str, int] = attrs.field(factory=lambda: defaultdict(int))
    tokens: dict[str, float] = attrs.field(factory=lambda: defaultdict(float))
    pipes: dict[str, float] = attrs.field(factory=lambda: defaultdict(float))

    def add(self, news: PeerNews, sign: int = 1) -> None:
        """Add what a datagram says, or take it out."""
        for pipe, rate in news.pipes.items():
            self.pipes[pipe] += sign * rate
        for endpoint, (requests, tokens) in news.loads.items():
            self.requests[endpoint] += sign * requests
            self.tokens[endpoint] += sign * tokens
            if not self.requests[endpoint]:
                del self.requests[endpoint]
                del self.tokens[endpoint]

    def merge(self, other: "LoadSums") -> None:
        """Add another sum."""
        for endpoint, requests in other.requests.items():
            self.requests[endpoint] += requests
            self.tokens[endpoint] += other.tokens[endpoint]
        for pipe, rate in other.pipes.items():
            self.pipes[pipe] += rate

    def of(self, endpoint: str) -> tuple[int, float]:
        """Return the requests and the tokens times layers of an endpoint."""
        return self.requests.get(endpoint, 0), self.tokens.get(endpoint, 0.0)
