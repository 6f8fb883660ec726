"""Sums of the load that gateways put on endpoints and on links between data centres."""

from collections import defaultdict

import attrs

from lentilhaven.peering.messages import PeerMessage
from lentilhaven.peering.queue_sums import QueueSums


@attrs.define
class LoadSums:
    """
    Combined load of several gateways.

    A pipe is the link between two data centres.  A request's token-layers at an
    endpoint are the tokens in its KV cache there, times the number of layers.

    Attributes
    ----------
    requests : dict
        Requests in flight, by endpoint.
    token_layers : dict
        Token-layers of these requests, by endpoint.
    pipes : dict
        Tokens per second, by pipe.
    attempts : dict
        Requests per second that the gateways try to send, by service.
    untold : int
        Number of gateways that do not tell their attempts.
    sent : dict
        Requests that they have lately sent to endpoints that name limits, by endpoint.
    queues : QueueSums
        What they have waiting and have started, by service, and prompts not yet read.

    Examples
    --------
    >>> sums = LoadSums()
    >>> message = PeerMessage("vm-2", "r", "10.0.0.2:7000", 1, loads={"e": (2, 8.0)})
    >>> sums.add(message); sums.load_of("e")
    (2, 8.0)
    >>> sums.add(message, sign=-1); sums.load_of("e")
    (0, 0.0)
    """

    requests: dict[str, int] = attrs.field(factory=lambda: defaultdict(int))
    token_layers: dict[str, float] = attrs.field(factory=lambda: defaultdict(float))
    pipes: dict[str, float] = attrs.field(factory=lambda: defaultdict(float))
    attempts: dict[str, float] = attrs.field(factory=lambda: defaultdict(float))
    untold: int = 0
    sent: dict[str, int] = attrs.field(factory=lambda: defaultdict(int))
    queues: QueueSums = attrs.field(factory=QueueSums)

    def add(self, message: PeerMessage, sign: int = 1) -> None:
        """Add the load that a datagram reports, or subtract it if `sign` is -1."""
        self.queues.add(message.queues, message.unread, sign)
        for pipe, rate in message.pipes.items():
            self.pipes[pipe] += sign * rate
        if message.attempts is None:
            self.untold += sign * message.gateways
        for service, rate in (message.attempts or {}).items():
            self.attempts[service] += sign * rate
        for endpoint, count in message.sent.items():
            self.sent[endpoint] += sign * count
            if not self.sent[endpoint]:
                del self.sent[endpoint]
        for endpoint, (requests, token_layers) in message.loads.items():
            self.requests[endpoint] += sign * requests
            self.token_layers[endpoint] += sign * token_layers
            if not self.requests[endpoint]:
                del self.requests[endpoint]
                del self.token_layers[endpoint]

    def merge(self, other: "LoadSums") -> None:
        """Add another sum to this one."""
        for endpoint, requests in other.requests.items():
            self.requests[endpoint] += requests
            self.token_layers[endpoint] += other.token_layers[endpoint]
        for pipe, rate in other.pipes.items():
            self.pipes[pipe] += rate
        for service, rate in other.attempts.items():
            self.attempts[service] += rate
        for endpoint, count in other.sent.items():
            self.sent[endpoint] += count
        self.untold += other.untold
        self.queues.merge(other.queues)

    def load_of(self, endpoint: str) -> tuple[int, float]:
        """Return the requests in flight at an endpoint and their token-layers."""
        return self.requests.get(endpoint, 0), self.token_layers.get(endpoint, 0.0)
