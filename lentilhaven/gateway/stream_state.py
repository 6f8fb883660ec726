"""The state of one stream."""

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
    One stream, over all of its runs.

    Attributes
    ----------
    gateway : Gateway
        State of the process.
    request : aiohttp.web.BaseRequest
        The caller's request.
    call : Call
        The same, decoded.
    spec : EngineSpec
        The engines of its service.
    response : aiohttp.web.StreamResponse or None
        The answer, once its head is sent.
    last_event_id : str
        Last event that was passed on.
    weights : str
        Version of the weights of the first run.
    runs : int
        Runs that may have begun.
    refusals : int
        Engines that turned the request away.
    excluded : set of str
        Ids of endpoints that have failed this request.
    events : int
        Events passed on.
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
        """Return whether another run would be allowed after the present one."""
        return self.call.route.repeatable and self.runs < self.call.route.attempts


@attrs.define(eq=False)
class StreamRun:
    """
    One run of a stream.

    Attributes
    ----------
    chain : Chain
        On which it runs now.
    exchange : Exchange
        With the first engine of the chain.
    heard : float
        Time of the last event, or of the request.
    moves : int
        How often it was tried to move the stream to other parts.
    """

    chain: Chain
    exchange: Exchange
    heard: float
    moves: int = 0
