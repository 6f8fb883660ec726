"""The state of a stream."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
from aiohttp import web

from lentilhaven.answers.event_order import EventOrder
from lentilhaven.chains.chain import Chain
from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import get_logger
from lentilhaven.fleet.engine_spec import EngineSpec
from lentilhaven.gateway.call import Call
from lentilhaven.gateway.chain_choice import possible_starts
from lentilhaven.gateway.endpoint_states import REFUTE_MARGIN
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.limit_checks import (
    SendAttempt,
    begin_send_attempt,
    held_back,
)
from lentilhaven.gateway.service_relay import UpstreamResponse
from lentilhaven.gateway.stream_lead import StreamLead, StreamRun

#: Seconds for which a stream is taken to be broken if its gateway has heard no event.
UNKNOWN_BREAK = 0.3

#: Outcome of a run: None if the stream was relayed completely, or an answer that is no
#: stream.
RunOutcome = UpstreamResponse | Failure | None

#: Runs a request on a chain.
RunOnChain = Callable[["StreamRelay", Chain], Awaitable[RunOutcome]]

log = get_logger("gateway")


@attrs.define(eq=False)
class StreamRelay:
    """
    A stream with all of its runs.

    Attributes
    ----------
    gateway : Gateway
        State of the process.
    request : aiohttp.web.BaseRequest
        The caller's request.
    call : Call
        The decoded request.
    spec : EngineSpec
        Specification of the engines that run the request.
    run_on_chain : callable
        Runs the request on a chain.
    response : aiohttp.web.StreamResponse or None
        The answer to the caller; None until its head is sent.
    order : EventOrder
        How far the stream has come.
    weights : str
        Version of the model weights of the first run, which later runs must use too;
        empty until it is known.
    runs : int
        Number of runs that may have begun.
    refusals : int
        Number of engines that refused the request.
    attempt : SendAttempt or None
        The attempt to send the request to a chain; None if none is sought.
    excluded : set of str
        Ids of endpoints that have failed this request.
    refusing : dict
        For each endpoint that has refused it, the event loop time until which it is
        not asked again, in seconds, by id.
    events : int
        Number of events that were relayed.
    heard_at : float
        Event loop time of the last of them, in seconds; 0 before the first.
    lead : StreamLead
        Decides whose events are relayed.
    successor : asyncio.Task or None
        Second run, which has begun while the leader is silent and replaces it if its
        first event is earlier; its result is an outcome of `run_on_chain`.  None if
        there is none.
    """

    gateway: Gateway
    request: web.BaseRequest
    call: Call
    spec: EngineSpec
    run_on_chain: RunOnChain
    response: web.StreamResponse | None = None
    order: EventOrder = attrs.field(factory=EventOrder)
    weights: str = ""
    runs: int = 0
    refusals: int = 0
    attempt: SendAttempt | None = None
    excluded: set[str] = attrs.field(factory=set)
    refusing: dict[str, float] = attrs.field(factory=dict)
    events: int = 0
    heard_at: float = 0.0
    lead: StreamLead = attrs.field(factory=StreamLead)
    successor: asyncio.Task[RunOutcome] | None = None

    @property
    def last_event_id(self) -> str:
        """Return the id of the event after which the stream goes on."""
        return self.order.last_event_id

    @property
    def may_run_again(self) -> bool:
        """Return whether another run is allowed beside or after the current one."""
        can_go_on = self.call.route.repeatable and not self.order.has_unnamed
        return can_go_on and self.runs < self.call.route.attempts

    @property
    def continues(self) -> bool:
        """Return whether an earlier run of this stream, at any gateway, was broken."""
        return self.runs > 0 or self.last_event_id != ""

    def broken_at(self, now: float) -> float:
        """Return the time from which an endpoint that was heard is not at fault."""
        if self.lead.leader is not None:
            return self.lead.leader.silent_since + REFUTE_MARGIN
        return (self.heard_at or now - UNKNOWN_BREAK) + REFUTE_MARGIN

    @property
    def tokens(self) -> float:
        """Return the expected number of tokens of the prompt and of the answer."""
        return float(self.call.head.prompt_tokens + (self.call.head.length_hint or 0))

    def avoided(self, now: float) -> set[str]:
        """Return the ids of endpoints that a run which begins now must not use."""
        return self.excluded | {
            it for it, until in self.refusing.items() if now < until
        }

    def held(self, now: float) -> set[str]:
        """Return the ids of endpoints that must not begin a chain, by their limits."""
        gateway, call = self.gateway, self.call
        if self.attempt is None:
            self.attempt = begin_send_attempt(gateway, call)
        starts = possible_starts(gateway, call.service, self.avoided(now), now)
        return held_back(gateway, call, starts, self.attempt, now)

    @property
    def has_successor(self) -> bool:
        """Return whether a second run is trying to begin its answer."""
        return self.successor is not None and not self.successor.done()

    def take_lead(self, run: StreamRun) -> None:
        """
        Let a run deliver events, and end the run that has begun beside it.

        Raises
        ------
        SupersededError
            If another run delivers them.
        """
        if self.lead.claim(run, self.last_event_id):
            log.info(
                "run takes over",
                request=self.call.id,
                endpoint=run.chain.first.id,
                last_event_id=self.last_event_id,
                events=self.events,
            )
        if self.successor is not asyncio.current_task():
            self.drop_successor()

    def drop_successor(self) -> None:
        """End the second run, if there is one, since the leader has gone on."""
        if self.successor is not None:
            self.successor.cancel()
            self.successor = None
