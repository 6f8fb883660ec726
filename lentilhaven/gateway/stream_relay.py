"""Streams of generated events."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs
from aiohttp import web

from lentilhaven.chains.chain import Chain
from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import get_logger
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.fleet.engine_spec import EngineSpec
from lentilhaven.gateway.call import Call
from lentilhaven.gateway.chain_choice import (
    choose_chain,
    explain_absence,
    has_room_later,
)
from lentilhaven.gateway.chain_move import MOST_MOVES, move_chain
from lentilhaven.gateway.endpoint_board import REFUSAL, SUSPICION
from lentilhaven.gateway.event_splitter import EventSplitter
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.gateway_metrics import record_first_event
from lentilhaven.gateway.pipe_meter import crossings_of
from lentilhaven.gateway.refusals import refuse
from lentilhaven.gateway.service_relay import MOST_REFUSALS, REFUSALS, Answer
from lentilhaven.gateway.silence import (
    PauseWatch,
    first_event_limit,
    note_heard,
    note_silence,
)
from lentilhaven.platform.answer_head import AnswerHead
from lentilhaven.platform.request_head import encode_request, own_headers
from lentilhaven.upstream.exchange import Exchange, UpstreamError

#: Share of the target latency for which a request waits for room.  A longer wait
#: only makes the refusals of an overload later.
ROOM_PATIENCE = 0.12

#: Seconds for which a stream that must go on waits for room at least.
LEAST_WAIT = 0.05

#: Seconds between two looks for room, if no request ends here meanwhile.
ROOM_INTERVAL = 0.03

#: Seconds after which a silent run is given up although all of its parts are heard
#: of; it waits behind other work, which a second run would do too.
SLOW_LIMIT = 0.8

#: Seconds between two looks at a silent run.
RECHECK_INTERVAL = 0.04

#: Seconds beside the usual silence for the first event after a move.
MOVE_TIME = 0.2

T = TypeVar("T")

log = get_logger("gateway")


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


async def relay_stream(
    gateway: Gateway, request: web.BaseRequest, call: Call
) -> web.StreamResponse:
    """
    Serve a generation, on as many chains as are needed and allowed.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    request : aiohttp.web.BaseRequest
        The caller's request.
    call : Call
        The same, decoded.
    """
    spec = engine_of(gateway, call)
    if spec is None:
        detail = f"no engine of {call.service} is known"
        return refuse(Failure(Step.CHOOSE, "", "no-chain", detail))
    relay = StreamRelay(
        gateway, request, call, spec, last_event_id=call.head.last_event_id
    )
    gateway.budget_of(call.service).record_request(asyncio.get_running_loop().time())
    try:
        async with asyncio.timeout_at(call.deadline):
            outcome = await run_until_done(relay)
    except TimeoutError:
        detail = "no whole answer in time"
        outcome = Failure(Step.STREAM, "", "timeout", detail, Ran.UNKNOWN)
    if relay.response is not None:
        if isinstance(outcome, Failure):
            break_off(relay, outcome)
        return relay.response
    if isinstance(outcome, Failure):
        return refuse(outcome)
    assert isinstance(outcome, Answer)
    return web.Response(
        status=outcome.head.status,
        body=outcome.body,
        headers=list(outcome.head.passed_on),
    )


def break_off(relay: StreamRelay, failure: Failure) -> None:
    """Close the caller's connection, so that the answer does not look complete."""
    relay.gateway.counters["streams broken off"] += 1
    log.warning(
        "stream broken off",
        request=relay.call.id,
        kind=failure.kind,
        detail=failure.detail,
        events=relay.events,
    )
    if relay.request.transport is not None:
        relay.request.transport.abort()


async def run_until_done(relay: StreamRelay) -> Answer | Failure | None:
    """
    Run a request until it is answered or must be given up.

    Returns
    -------
    Answer, Failure or None
        None if the stream was passed on completely; an answer if an engine
        answered with something else than a stream.
    """
    loop = asyncio.get_running_loop()
    call, gateway = relay.call, relay.gateway
    outcome: Answer | Failure | None = None
    while True:
        now = loop.time()
        chain = await find_room(relay)
        if chain is None:
            if isinstance(outcome, Failure):
                return outcome
            detail = f"no chain of {call.service} covers the model"
            return Failure(Step.CHOOSE, "", "no-chain", detail)
        if relay.runs + relay.refusals > 0:
            budget = gateway.budget_of(call.service)
            if not budget.spend(now, gateway.count_gateways(now)):
                log.info("retry budget used up", request=call.id, service=call.service)
                assert isinstance(outcome, Failure)
                return outcome
        outcome = await run_on_chain(relay, chain)
        if not isinstance(outcome, Failure):
            return outcome
        if not goes_on(relay, outcome):
            return outcome


async def find_room(relay: StreamRelay) -> Chain | None:
    """
    Return a chain, and wait a little if all engines are full.

    A request that is on time even after the wait is better served late than
    sent away: room comes back with each stream that ends.
    """
    gateway, call = relay.gateway, relay.call
    loop = asyncio.get_running_loop()
    latest = call.arrived + ROOM_PATIENCE * call.route.target_latency
    until = min(call.deadline, max(latest, loop.time() + LEAST_WAIT))
    while True:
        now = loop.time()
        chain = choose_chain(gateway, call, relay.spec, relay.excluded, now)
        if chain is not None:
            return chain
        if now >= until or not has_room_later(
            gateway, call, relay.spec, relay.excluded, now
        ):
            explain_absence(gateway, call, relay.spec, relay.excluded, now)
            return None
        await gateway.room.wait_until(lambda: False, min(ROOM_INTERVAL, until - now))


def goes_on(relay: StreamRelay, failure: Failure) -> bool:
    """Return whether another chain may be tried after a failure."""
    if relay.refusals >= MOST_REFUSALS:
        return False
    if failure.ran is Ran.NO:
        return True
    return relay.may_run_again


async def run_on_chain(relay: StreamRelay, chain: Chain) -> Answer | Failure | None:
    """Run a request on one chain, and account for it meanwhile."""
    gateway, call = relay.gateway, relay.call
    loop = asyncio.get_running_loop()
    began = loop.time()
    tokens = float(call.head.prompt_tokens + (call.head.length_hint or 0))
    for endpoint, span in chain.parts:
        state = gateway.board.of(endpoint)
        state.requests += 1
        state.state_tokens += tokens * len(span)
    gateway.pipes.record(crossings_of(chain.parts), tokens, began)
    ended = "cancelled"
    try:
        outcome = await exchange_on_chain(relay, chain)
        ended = "done" if outcome is None else describe(outcome)
        return outcome
    finally:
        for endpoint, span in chain.parts:
            state = gateway.board.of(endpoint)
            state.requests -= 1
            state.state_tokens -= tokens * len(span)
        gateway.room.notify()
        log.info(
            "chain tried",
            request=call.id,
            parts=[f"{part.id}={span.start}-{span.end}" for part, span in chain.parts],
            estimate_ms=round(chain.cost),
            ms=round((loop.time() - began) * 1000),
            events=relay.events,
            view=gateway.view.endpoints_revision,
            outcome=ended,
        )


def describe(outcome: Answer | Failure) -> str:
    """Return an outcome in a few words."""
    if isinstance(outcome, Answer):
        return f"status {outcome.head.status}"
    return f"{outcome.kind} at {outcome.peer}, ran {outcome.ran.value}"


async def exchange_on_chain(
    relay: StreamRelay, chain: Chain
) -> Answer | Failure | None:
    """Send a request to the first part of a chain and pass its answer on."""
    gateway, call = relay.gateway, relay.call
    loop = asyncio.get_running_loop()
    first = chain.first
    try:
        connection = await gateway.pool.acquire(first, call.deadline - loop.time())
    except UpstreamError as error:
        failed_at = loop.time()
        gateway.board.of(first).note_suspicion(
            failed_at, failed_at + SUSPICION, own=True
        )
        relay.excluded.add(first.id)
        return Failure(Step.CONNECT, first.id, "connect", error.detail)
    try:
        own = own_headers(
            first,
            call.deadline - loop.time(),
            call.tenant,
            call.priority,
            chain.parts,
            relay.last_event_id,
            relay.weights,
        )
        head = encode_request(call.method, call.target, call.head, len(call.body), own)
        exchange = connection.begin(call.id, head, call.body)
        relay.runs += 1
        return await pass_on(relay, StreamRun(chain, exchange, loop.time()))
    except UpstreamError as error:
        if error.sent:
            gateway.board.of(first).refused_until = loop.time() + REFUSAL
        relay.excluded.add(first.id)
        ran = Ran.UNKNOWN if error.sent else Ran.NO
        return Failure(Step.STREAM, first.id, error.kind, error.detail, ran)
    finally:
        if connection.exchange is not None or not connection.usable:
            connection.abort()
        else:
            gateway.pool.release(first, connection)


async def pass_on(relay: StreamRelay, run: StreamRun) -> Answer | Failure | None:
    """Wait for the head of an answer, then pass the stream on."""
    exchange = run.exchange
    limit = first_event_limit(expected_first(relay, run.chain))
    head = await wait_or_move(relay, run, exchange.wait_for_head, limit)
    if head is None:
        return fall_silent(relay, run)
    if head.status != 200:
        return await take_failure(relay, run.chain, exchange, head)
    first = await wait_or_move(relay, run, exchange.next_chunk, limit)
    if first is None:
        return fall_silent(relay, run)
    relay.weights = relay.weights or head.weights
    if relay.response is None:
        relay.response = await start_response(relay, head)
        now = asyncio.get_running_loop().time()
        record_first_event(relay.gateway, relay.call, now - relay.call.arrived)
    return await pass_events(relay, run, first)


async def pass_events(
    relay: StreamRelay, run: StreamRun, chunk: bytes | None
) -> Failure | None:
    """Pass events on as they arrive, until the end or a silence."""
    loop = asyncio.get_running_loop()
    assert relay.response is not None
    splitter = EventSplitter()
    pauses = PauseWatch(expected_pause(relay, run.chain))
    run.heard = loop.time()
    while chunk:
        now = loop.time()
        note_heard(relay.gateway, run.chain, now)
        events = splitter.feed(chunk)
        if events.data:
            if events.ids:
                relay.last_event_id = events.ids[-1]
            relay.events += len(events.ids)
            await relay.response.write(events.data)
            pauses.record(now - run.heard)
            run.heard = now
        next_chunk = run.exchange.next_chunk
        chunk = await wait_or_move(relay, run, next_chunk, pauses.limit())
    if chunk is None:
        return fall_silent(relay, run)
    if splitter.rest:
        if relay.call.route.resumable:
            detail = "the stream ended within an event"
            peer = run.chain.first.id
            return Failure(Step.STREAM, peer, "truncated", detail, Ran.UNKNOWN)
        await relay.response.write(splitter.rest)
    await relay.response.write_eof()
    return None


async def wait_or_move(
    relay: StreamRelay,
    run: StreamRun,
    wait: Callable[[float], Awaitable[T | None]],
    limit: float,
) -> T | None:
    """
    Wait for the next part of an answer, and replace dead parts of the chain.

    Parameters
    ----------
    relay, run
        The stream.
    wait : callable
        Takes a time of the event loop and returns what arrived until then, or
        None.
    limit : float
        Seconds of silence that are taken for a fault.

    Returns
    -------
    T or None
        None if the request should be run again.
    """
    until = run.heard + limit
    while True:
        found = await wait(min(until, relay.call.deadline))
        now = asyncio.get_running_loop().time()
        if found is not None or now >= relay.call.deadline:
            return found
        suspects = note_silence(relay.gateway, run.chain, relay.call.id, run.heard, now)
        if relay.may_run_again:
            if find_replacement(relay, run, suspects, now):
                return None
            until = now + RECHECK_INTERVAL
        elif run.moves < MOST_MOVES:
            await move_run(relay, run, suspects, now)
            until = run.heard + limit
        else:
            until = relay.call.deadline


def find_replacement(
    relay: StreamRelay, run: StreamRun, suspects: list[str], now: float
) -> bool:
    """
    Return whether a silent run should be given up for another one.

    A run whose parts are all heard of elsewhere is slow and not dead, and one
    that has no successor is better waited for.
    """
    if not suspects and now - run.heard < SLOW_LIMIT:
        return False
    excluded = relay.excluded | set(suspects or [run.chain.first.id])
    gateway, call = relay.gateway, relay.call
    if choose_chain(gateway, call, relay.spec, excluded, now) is None:
        return False
    budget = gateway.budget_of(call.service)
    if budget.left(now, gateway.count_gateways(now)) < 1.0:
        return False
    relay.excluded = excluded
    return True


async def move_run(
    relay: StreamRelay, run: StreamRun, suspects: list[str], now: float
) -> None:
    """Replace the dead parts of a run's chain, and wait for its next event anew."""
    run.moves += 1
    moved = await move_chain(
        relay.gateway, relay.call, relay.spec, run.chain, suspects, now
    )
    if moved is not None:
        run.chain = moved
    # The new parts read everything so far before the next event.
    run.heard = asyncio.get_running_loop().time() + MOVE_TIME


async def start_response(relay: StreamRelay, head: AnswerHead) -> web.StreamResponse:
    """Send the head of the answer."""
    response = web.StreamResponse(status=head.status, headers=list(head.passed_on))
    response.enable_chunked_encoding()
    if relay.gateway.leaving:
        response.force_close()
    await response.prepare(relay.request)
    return response


async def take_failure(
    relay: StreamRelay, chain: Chain, exchange: Exchange, head: AnswerHead
) -> Answer | Failure:
    """Return what an answer means that is no stream."""
    loop = asyncio.get_running_loop()
    body = await exchange.read_body(relay.call.deadline)
    if head.not_executed and head.status in REFUSALS:
        blame_refusal(relay, chain, head, loop.time())
        relay.runs -= 1
        relay.refusals += 1
        detail = f"status {head.status}"
        return Failure(Step.STREAM, head.at_fault or chain.first.id, "refused", detail)
    if body is None or relay.response is not None:
        detail = f"status {head.status}"
        return Failure(Step.STREAM, chain.first.id, "failed", detail, Ran.UNKNOWN)
    return Answer(head, body)


def blame_refusal(
    relay: StreamRelay, chain: Chain, head: AnswerHead, now: float
) -> None:
    """Keep requests away from the part of a chain that refused one."""
    address = head.at_fault or chain.first.address
    for endpoint in chain.endpoints:
        if endpoint.address == address:
            relay.gateway.board.of(endpoint).refused_until = now + REFUSAL
            relay.excluded.add(endpoint.id)


def fall_silent(relay: StreamRelay, run: StreamRun) -> Failure:
    """Return the failure of a run that has been silent for too long."""
    silence = asyncio.get_running_loop().time() - run.heard
    detail = f"no event for {silence:.3f} s"
    return Failure(Step.STREAM, run.chain.first.id, "silent", detail, Ran.UNKNOWN)


def expected_first(relay: StreamRelay, chain: Chain) -> float:
    """Return the estimated time to the first event, in seconds."""
    tokens = max(1.0, float(relay.call.head.length_hint or 1))
    spec = relay.spec
    prompt = relay.call.head.prompt_tokens
    reading = sum(
        prompt
        / spec.prefill_tokens_per_s
        * (kind.prefill_factor if (kind := spec.cards.get(part.card)) else 1.0)
        * len(span)
        / spec.layers
        for part, span in chain.parts
    )
    return reading + spec.stride * chain.cost / 1000.0 / max(tokens, spec.usual_answer)


def expected_pause(relay: StreamRelay, chain: Chain) -> float:
    """Return the estimated pause between two events, in seconds."""
    spec = relay.spec
    tokens = relay.call.head.length_hint or spec.usual_answer or 1.0
    return spec.stride * chain.cost / 1000.0 / tokens


def engine_of(gateway: Gateway, call: Call) -> EngineSpec | None:
    """Return the engines of the request's service."""
    manifest = gateway.view.manifest
    service = manifest.services.get(call.service) if manifest else None
    return service.engine if service else None
