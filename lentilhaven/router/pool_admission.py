"""A router's admission to one pool."""

import asyncio

import attrs

from lentilhaven.core.ids import RequestId
from lentilhaven.limits.adaptive_limit import AdaptiveLimit, first_limit
from lentilhaven.limits.admission_state import AdmissionState
from lentilhaven.limits.drain_rate import DrainRate
from lentilhaven.limits.gate import Gate
from lentilhaven.limits.ticket import Ticket
from lentilhaven.pipelines.bound import bound_of
from lentilhaven.pipelines.traffic_mix import TrafficMix
from lentilhaven.tables.pool import Pool

#: Seconds between tokens that 95 of 100 tokens must keep.
BETWEEN_TOKENS_TARGET = 0.049

#: Requests in flight with which a router begins where the pool table says
#: nothing of its accelerators.
UNKNOWN_POOL_LIMIT = 256.0


@attrs.define
class PoolAdmission:
    """
    The gate of a pool and the requests that wait before it.

    Attributes
    ----------
    gate : Gate
        Decides on refusal and order.
    waiting : dict
        Set when a waiting request may start, by request.
    """

    gate: Gate
    waiting: dict[RequestId, asyncio.Event] = attrs.field(factory=dict)

    def offer(self, ticket: Ticket, policy: str, now: float) -> float | None:
        """
        Queue a request; or return the seconds after which to try again.

        Parameters
        ----------
        ticket : Ticket
            The request.
        policy : str
            Name of the route's admission policy.
        now : float
            Monotonic time, in seconds.
        """
        self.gate.policy = policy
        refused = self.gate.offer(ticket, now)
        if refused is None:
            self.waiting[ticket.request] = asyncio.Event()
        return refused

    def start_waiting(self, now: float) -> None:
        """
        Start as many waiting requests as the limit allows.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        while (ticket := self.gate.pick()) is not None:
            self.gate.start(ticket, now)
            self.waiting[ticket.request].set()

    def leave(self, ticket: Ticket, now: float) -> None:
        """
        Count a request out, whether it has started or not.

        Parameters
        ----------
        ticket : Ticket
            The request.
        now : float
            Monotonic time, in seconds.
        """
        if self.waiting.pop(ticket.request).is_set():
            self.gate.finish(ticket, now)
        else:
            self.gate.state.dequeue(ticket)
        self.start_waiting(now)


def open_pool_admission(pool: Pool, router_count: int) -> PoolAdmission:
    """
    Return the admission to a pool of which nothing has been measured yet.

    Parameters
    ----------
    pool : Pool
        The pool.
    router_count : int
        Routers that share it.
    """
    mix = TrafficMix()
    limit = UNKNOWN_POOL_LIMIT
    if pool.accelerators:
        bound = bound_of(pool, mix).rate
        limit = first_limit(bound, BETWEEN_TOKENS_TARGET, max(1, router_count))
    drain = DrainRate(mix.total_tokens, mix.generated_tokens * BETWEEN_TOKENS_TARGET)
    adaptive = AdaptiveLimit(BETWEEN_TOKENS_TARGET, limit)
    return PoolAdmission(Gate(AdmissionState(adaptive, drain)))
