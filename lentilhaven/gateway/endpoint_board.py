"""What a gateway has seen of each endpoint."""

import attrs

from lentilhaven.fleet.endpoint import Endpoint

#: Weight of the newest observation in a running mean.
NEWEST = 0.15

#: Seconds for which a suspicion holds unless an answer refutes it.  An endpoint
#: that restarts is empty, and one that is gone leaves the store's list, within
#: three heartbeats.
SUSPICION = 4.0

#: Seconds after a suspicion from which events refute it: what was on its way when
#: an endpoint failed arrives a little later.
REFUTE_MARGIN = 0.05

#: Seconds for which a refusal keeps other requests away.
REFUSAL = 0.3


@attrs.define(eq=False)
class EndpointState:
    """
    Own observations of one incarnation of an endpoint.

    Attributes
    ----------
    requests : int
        Own requests under way there.
    state_tokens : float
        Tokens times layers that these requests need.
    latency : float
        Running mean of the time to an answer, in seconds; 0 if none is known.
    failures : float
        Running mean of failures, 0 to 1.
    slowdown : float
        How many times as long as its kind it takes.
    heard_at : float
        Time at which something last arrived from it or through it.
    own_heard_at : float
        The same, counting only what arrived at this gateway.
    suspected_until : float
        Time until which it gets no requests.
    suspected_since : float
        Time at which the suspicion arose.
    own_suspicion : bool
        Whether this gateway has noticed the fault, not another one.
    refused_until : float
        Time until which it gets none since it has refused one.
    """

    requests: int = 0
    state_tokens: float = 0.0
    latency: float = 0.0
    failures: float = 0.0
    slowdown: float = 1.0
    heard_at: float = 0.0
    own_heard_at: float = 0.0
    suspected_until: float = 0.0
    suspected_since: float = 0.0
    own_suspicion: bool = False
    refused_until: float = 0.0

    def record(self, seconds: float, failed: bool) -> None:
        """Count an answer, or its absence after a time."""
        self.failures += NEWEST * (float(failed) - self.failures)
        known = self.latency or seconds
        self.latency = known + NEWEST * (seconds - known)

    def note_heard(self, at: float, own: bool = True) -> None:
        """
        Note that something came from the endpoint or through it.

        Parameters
        ----------
        at : float
            When it came, in seconds of the event loop.
        own : bool
            Whether it came to this gateway.
        """
        self.heard_at = max(self.heard_at, at)
        if own:
            self.own_heard_at = max(self.own_heard_at, at)
        if at > self.suspected_since + REFUTE_MARGIN:
            self.suspected_until = 0.0

    def note_suspicion(self, since: float, until: float, own: bool) -> bool:
        """
        Take the endpoint for dead until a time, unless it is heard of.

        Returns whether it was not suspected before.

        Parameters
        ----------
        since : float
            When the suspicion arose.
        until : float
            When it ends.
        own : bool
            Whether this gateway has noticed the fault, not another one.
        """
        fresh = self.suspected_until <= since
        if until > self.suspected_until:
            self.suspected_since = since
            self.suspected_until = until
            self.own_suspicion = own
        return fresh

    def available(self, now: float) -> bool:
        """Return whether it may get a request."""
        return now >= self.suspected_until and now >= self.refused_until


@attrs.define
class EndpointBoard:
    """
    The states of all endpoints.

    Attributes
    ----------
    states : dict
        `EndpointState` by incarnation.
    """

    states: dict[tuple[str, int], EndpointState] = attrs.field(factory=dict)

    def of(self, endpoint: Endpoint) -> EndpointState:
        """Return the state of an endpoint."""
        state = self.states.get(endpoint.incarnation)
        if state is None:
            state = self.states[endpoint.incarnation] = EndpointState()
        return state

    def sweep(self, live: set[tuple[str, int]]) -> None:
        """Forget endpoints that are gone and have no requests."""
        for incarnation in self.states.keys() - live:
            if not self.states[incarnation].requests:
                del self.states[incarnation]
