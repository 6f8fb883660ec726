"""Endpoints that failed recently, avoided with exponential backoff."""

from collections.abc import Iterable

import attrs

from lentilhaven.core.ids import EndpointId

#: Time for which an endpoint is avoided after its first failure, in seconds.
INITIAL_AVOID_TIME = 2.0

#: Longest time for which an endpoint is avoided, in seconds.
MAX_AVOID_TIME = 60.0


@attrs.frozen
class Suspicion:
    """
    Period for which one endpoint is avoided.

    Attributes
    ----------
    until : float
        Monotonic time from which the endpoint is used again, in seconds.
    duration : float
        Length of the period, in seconds; each new failure doubles it, up to
        `MAX_AVOID_TIME`.
    """

    until: float
    duration: float


@attrs.define
class Suspects:
    """
    Endpoints that this router saw fail, known before the agents report them.

    Attributes
    ----------
    by_endpoint : dict
        `Suspicion` by endpoint.

    Examples
    --------
    >>> suspects = Suspects()
    >>> suspects.add(["e"], now=0.0)
    >>> sorted(suspects.current(1.0)), sorted(suspects.current(3.0))
    (['e'], [])
    >>> suspects.add(["e"], now=3.0)
    >>> sorted(suspects.current(6.0))
    ['e']
    """

    by_endpoint: dict[EndpointId, Suspicion] = attrs.field(factory=dict)

    def add(self, endpoints: Iterable[EndpointId], now: float) -> None:
        """Record failures of endpoints that are not already avoided."""
        for endpoint in endpoints:
            previous = self.by_endpoint.get(endpoint)
            if previous is not None and previous.until > now:
                continue
            duration = min(
                MAX_AVOID_TIME,
                2 * previous.duration if previous else INITIAL_AVOID_TIME,
            )
            self.by_endpoint[endpoint] = Suspicion(now + duration, duration)

    def current(self, now: float) -> frozenset[EndpointId]:
        """Return the endpoints to avoid now, and forget expired suspicions."""
        if not self.by_endpoint:
            return frozenset()
        # A suspicion is kept for a while after it ends, so that a failure in that
        # time doubles the duration.
        self.by_endpoint = {
            endpoint: suspicion
            for endpoint, suspicion in self.by_endpoint.items()
            if suspicion.until + suspicion.duration + INITIAL_AVOID_TIME > now
        }
        avoided = (
            endpoint
            for endpoint, suspicion in self.by_endpoint.items()
            if suspicion.until > now
        )
        return frozenset(avoided)
