"""Streams of generated events."""

import asyncio

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
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.refusals import refuse
from lentilhaven.gateway.service_relay import MOST_REFUSALS, Answer
from lentilhaven.gateway.stream_run import run_on_chain
from lentilhaven.gateway.stream_state import StreamRelay

#: Share of the target latency for which a request waits for room.  A longer wait
#: only makes the refusals of an overload later.
ROOM_PATIENCE = 0.12

#: Seconds for which a stream that must go on waits for room at least.
LEAST_WAIT = 0.05

#: Seconds between two looks for room, and at least: what is left of a wait may be
#: too short for a clock to show.
ROOM_INTERVAL = 0.03
LEAST_PAUSE = 0.001

log = get_logger("gateway")


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
        await asyncio.sleep(min(ROOM_INTERVAL, max(LEAST_PAUSE, until - now)))


def goes_on(relay: StreamRelay, failure: Failure) -> bool:
    """Return whether another chain may be tried after a failure."""
    if relay.refusals >= MOST_REFUSALS:
        return False
    if failure.ran is Ran.NO:
        return True
    return relay.may_run_again


def engine_of(gateway: Gateway, call: Call) -> EngineSpec | None:
    """Return the engines of the request's service."""
    manifest = gateway.view.manifest
    service = manifest.services.get(call.service) if manifest else None
    return service.engine if service else None
