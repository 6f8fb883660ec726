"""The circuit breakers of all endpoints."""

import random
from collections.abc import Iterable, Iterator
from contextlib import contextmanager

import attrs

from lentilhaven.core.ids import EndpointId
from lentilhaven.retries.circuit_breaker import CircuitBreaker


@attrs.define
class CircuitBreakers:
    """
    Circuit breakers by endpoint; an endpoint that has never failed has none.

    Attributes
    ----------
    rng : random.Random
        Random number generator.
    circuits : dict
        `CircuitBreaker` by endpoint.
    bypassing : bool
        Whether every endpoint is allowed, whatever the state of its circuit.
    """

    rng: random.Random
    circuits: dict[EndpointId, CircuitBreaker] = attrs.field(factory=dict)
    bypassing: bool = False

    @contextmanager
    def bypassed(self) -> Iterator[None]:
        """Allow every endpoint within the context, as a last resort."""
        self.bypassing = True
        try:
            yield
        finally:
            self.bypassing = False

    def allows(self, endpoint: EndpointId, now: float, in_flight: int) -> bool:
        """
        Return whether an endpoint may get a new request.

        Parameters
        ----------
        endpoint : str
            Id of the endpoint.
        now : float
            Monotonic time, in seconds.
        in_flight : int
            Requests of this process in flight at the endpoint.
        """
        circuit = self.circuits.get(endpoint)
        return self.bypassing or circuit is None or circuit.allows(now, in_flight)

    def record_success(self, endpoint: EndpointId) -> None:
        """Close the circuit of an endpoint that has answered."""
        circuit = self.circuits.get(endpoint)
        if circuit is not None:
            circuit.record_success()

    def record_successes(self, endpoints: Iterable[EndpointId]) -> None:
        """
        Close the circuits of several endpoints that served one request.

        Parameters
        ----------
        endpoints : iterable of str
            Ids of the endpoints.
        """
        if self.circuits:
            for endpoint in endpoints:
                self.record_success(endpoint)

    def record_failure(
        self, endpoint: EndpointId, now: float, unreachable: bool = False
    ) -> None:
        """
        Count a failure of an endpoint.

        Parameters
        ----------
        endpoint : str
            Id of the endpoint.
        now : float
            Monotonic time, in seconds.
        unreachable : bool
            Whether the endpoint is known to be unreachable; its circuit then opens
            at once.
        """
        circuit = self.circuits.setdefault(endpoint, CircuitBreaker())
        circuit.record_failure(now, self.rng, unreachable)
