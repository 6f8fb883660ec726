"""Endpoints that failed lately."""

from collections.abc import Iterable

import attrs

from lentilhaven.core.ids import EndpointId

#: Seconds for which an endpoint is avoided after its first failure.
FIRST_TIME = 2.0

#: Most seconds for which it is avoided.
LONGEST_TIME = 60.0


@attrs.frozen
class Suspicion:
    """
    One endpoint's failure.

    Attributes
    ----------
    until : float
        Monotonic time at which it is tried again, in seconds.
    period : float
        Seconds for which it is avoided; doubles with each new failure.
    """

    until: float
    period: float


@attrs.define
class Suspects:
    """
    What this router saw fail, before the agents say so.

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
        """Avoid endpoints for a time."""
        for endpoint in endpoints:
            known = self.by_endpoint.get(endpoint)
            if known is not None and known.until > now:
                continue
            period = min(LONGEST_TIME, 2 * known.period if known else FIRST_TIME)
            self.by_endpoint[endpoint] = Suspicion(now + period, period)

    def current(self, now: float) -> frozenset[EndpointId]:
        """Return the endpoints to avoid."""
        if not self.by_endpoint:
            return frozenset()
        # A suspicion is forgotten a while after it ended without a failure.
        self.by_endpoint = {
            endpoint: it
            for endpoint, it in self.by_endpoint.items()
            if it.until + it.period + FIRST_TIME > now
        }
        found = (e for e, it in self.by_endpoint.items() if it.until > now)
        return frozenset(found)
