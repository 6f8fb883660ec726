"""The state of a stream and of its runs."""

import attrs
from aiohttp import web

from lentilhaven.chains.chain import Chain
from lentilhaven.fleet.engine_spec import EngineSpec
from lentilhaven.gateway.call import Call
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.upstream.exchange import Exchange


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
    excluded : set of str
        Ids of endpoints that have failed or refused this request.
    events : int
        Number of events that were relayed.
    """

    gateway: Gateway
    request: web.BaseRequest
    call: Call
    spec: EngineSpec
    response: web.StreamResponse | None = None
    last_event_id: str = ""
    weights: str = ""
    runs: int = 0
    refusals: int = 0
    excluded: set[str] = attrs.field(factory=set)
    events: int = 0

    @property
    def may_run_again(self) -> bool:
        """Return whether another run is allowed after the current one."""
        return self.call.route.repeatable and self.runs < self.call.route.attempts


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
    silent_since : float
        Start of the current silence: event loop time of the last event, or of the
        request.  An attempt to move the run sets it to `MOVE_ALLOWANCE` seconds in the
        future.
    moves : int
        Number of attempts to move the run to other endpoints.
    """

    chain: Chain
    exchange: Exchange
    silent_since: float
    moves: int = 0
