"""Admission control of one router for one pool."""

import asyncio

import attrs

from lentilhaven.core.ids import RequestId
from lentilhaven.limits.adaptive_limit import AdaptiveLimit, initial_limit
from lentilhaven.limits.admission_controller import AdmissionController
from lentilhaven.limits.admission_request import AdmissionRequest
from lentilhaven.limits.admission_state import AdmissionState
from lentilhaven.limits.drain_rate import DrainRate
from lentilhaven.pipelines.bound import bound_of
from lentilhaven.pipelines.traffic_mix import TrafficMix
from lentilhaven.tables.pool import Pool

#: Target for the time between tokens, in seconds, which 95 of 100 tokens must meet.
BETWEEN_TOKENS_TARGET = 0.049

#: Initial limit on a router's requests in flight, used if the tables do not
#: describe the pool's accelerators.
DEFAULT_INITIAL_LIMIT = 256.0


@attrs.define
class PoolAdmission:
    """
    The admission controller of a pool and the requests that it has admitted.

    Attributes
    ----------
    gate : AdmissionController
        Decides which requests are refused and in which order the others start.
    start_events : dict
        `asyncio.Event` by request, from the request's admission to its end; set
        once the request may start.
    """

    gate: AdmissionController
    start_events: dict[RequestId, asyncio.Event] = attrs.field(factory=dict)

    def offer(self, ticket: AdmissionRequest, policy: str, now: float) -> float | None:
        """
        Queue a request and return None, or return the seconds until a retry.

        Parameters
        ----------
        ticket : AdmissionRequest
            The request.
        policy : str
            Name of the route's admission policy.
        now : float
            Monotonic time, in seconds.
        """
        self.gate.policy = policy
        refused = self.gate.offer(ticket, now)
        if refused is None:
            self.start_events[ticket.request] = asyncio.Event()
        return refused

    def start_queued(self, now: float) -> None:
        """
        Start as many queued requests as the limit allows.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        while (ticket := self.gate.pick()) is not None:
            self.gate.start(ticket, now)
            self.start_events[ticket.request].set()

    def remove(self, ticket: AdmissionRequest, now: float) -> None:
        """
        Remove a started or queued request, and start others in its place.

        Parameters
        ----------
        ticket : AdmissionRequest
            The request.
        now : float
            Monotonic time, in seconds.
        """
        if self.start_events.pop(ticket.request).is_set():
            self.gate.finish(ticket, now)
        else:
            self.gate.state.dequeue(ticket)
        self.start_queued(now)


def create_pool_admission(pool: Pool, router_count: int) -> PoolAdmission:
    """
    Return the initial admission control of a pool, before any measurement.

    Parameters
    ----------
    pool : Pool
        The pool.
    router_count : int
        Number of routers that share the pool.
    """
    mix = TrafficMix()
    limit = DEFAULT_INITIAL_LIMIT
    if pool.accelerators:
        bound = bound_of(pool, mix).rate
        limit = initial_limit(bound, BETWEEN_TOKENS_TARGET, max(1, router_count))
    drain_rate = DrainRate(
        mix.total_tokens, mix.generated_tokens * BETWEEN_TOKENS_TARGET
    )
    adaptive = AdaptiveLimit(BETWEEN_TOKENS_TARGET, limit)
    return PoolAdmission(AdmissionController(AdmissionState(adaptive, drain_rate)))
