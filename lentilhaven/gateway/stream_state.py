"""The state of a stream and of its runs."""

import asyncio
from collections.abc import Awaitable, Callable

import attrs
from aiohttp import web

from lentilhaven.chains.chain import Chain
from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import get_logger
from lentilhaven.crashes.run_log import RunRecord
from lentilhaven.fleet.engine_spec import EngineSpec
from lentilhaven.gateway.call import Call
from lentilhaven.gateway.chain_choice import possible_starts
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.limit_checks import (
    SendAttempt,
    begin_send_attempt,
    held_back,
)
from lentilhaven.gateway.service_relay import UpstreamResponse
from lentilhaven.upstream.connection import UpstreamConnection
from lentilhaven.upstream.exchange import Exchange, UpstreamError

#: Outcome of a run: None if the stream was relayed completely, or an answer that is no
#: stream.
RunOutcome = UpstreamResponse | Failure | None

#: Runs a request on a chain, beside another run if that is given.
RunOnChain = Callable[["StreamRelay", Chain, "StreamRun | None"], Awaitable[RunOutcome]]

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
    last_event_id : str
        Id of the last event that was relayed; before the first one, the id that the
        caller sent.
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
    leader : StreamRun or None
        The run whose events are relayed; None before the first run.
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
    last_event_id: str = ""
    weights: str = ""
    runs: int = 0
    refusals: int = 0
    attempt: SendAttempt | None = None
    excluded: set[str] = attrs.field(factory=set)
    refusing: dict[str, float] = attrs.field(factory=dict)
    events: int = 0
    leader: "StreamRun | None" = None
    successor: asyncio.Task[RunOutcome] | None = None

    @property
    def may_run_again(self) -> bool:
        """Return whether another run is allowed beside or after the current one."""
        return self.call.route.repeatable and self.runs < self.call.route.attempts

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

    def drop_successor(self) -> None:
        """End the second run, if there is one, since the leader has gone on."""
        if self.successor is not None:
            self.successor.cancel()
            self.successor = None


@attrs.define(eq=False)
class StreamRun:
    """
    One run of a stream.

    Attributes
    ----------
    chain : Chain
        The chain on which the request runs now.
    exchange : Exchange
        The exchange with the first engine of the chain.
    record : RunRecord
        The record of the run, by which it is found if one of its engines ends.
    silent_since : float
        Start of the current silence: event loop time of the last event, or of the
        request.  An attempt to move the run sets it to `MOVE_ALLOWANCE` seconds in the
        future.
    after : str
        Id of the event after which the run was asked to begin; empty for all events.
    events : int
        Number of events that the run has delivered.
    moves : int
        Number of attempts to move the run to other endpoints.
    predecessor : StreamRun or None
        Run beside which this one has begun; None if it has begun alone.
    ended : bool
        Whether the run has ended.
    connection : UpstreamConnection or None
        Connection to the first engine; None for a run of a test without one.
    """

    chain: Chain
    exchange: Exchange
    record: RunRecord
    silent_since: float
    after: str = ""
    events: int = 0
    moves: int = 0
    predecessor: "StreamRun | None" = None
    ended: bool = False
    connection: UpstreamConnection | None = None

    def leads(self, relay: StreamRelay) -> bool:
        """Return whether this is the leader, or has to replace one that has ended."""
        is_alone = self.predecessor is not None and self.predecessor.ended
        return relay.leader is self or is_alone

    def take_over(self, relay: StreamRelay) -> None:
        """
        Make this run the leader before it sends events to the caller.

        The run that loses the lead fails, and so does the run that begins beside this
        one.

        Raises
        ------
        SupersededError
            If this run has lost the lead.
        """
        if relay.leader is not self:
            if self.predecessor is None:
                log.info(
                    "run superseded",
                    request=relay.call.id,
                    endpoint=self.chain.first.id,
                    run_events=self.events,
                )
                raise SupersededError()
            log.info(
                "run takes over",
                request=relay.call.id,
                endpoint=self.chain.first.id,
                after=self.after,
                last_event_id=relay.last_event_id,
                events=relay.events,
            )
            self.predecessor.exchange.fail(SupersededError())
            self.predecessor = None
            relay.leader = self
        if relay.successor is not asyncio.current_task():
            relay.drop_successor()


class SupersededError(UpstreamError):
    """Error of a run whose successor has begun to answer before it went on."""

    def __init__(self) -> None:
        super().__init__("superseded", "another run has begun to answer", sent=True)
