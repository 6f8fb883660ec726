"""Streams of generated events, relayed over one or more chains."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import attrs
from aiohttp import web

from lentilhaven.admission import Refusal
from lentilhaven.answers.error_responses import make_error_response
from lentilhaven.answers.event_order import EventOrder
from lentilhaven.chains.chain import Chain
from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import get_logger
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.draining.failures import cut_off_failure, leaving_failure
from lentilhaven.fleet.engine_spec import EngineSpec
from lentilhaven.gateway.call import Call
from lentilhaven.gateway.crash_checks import HARMFUL_KINDS, forbids_repeat_now
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.service_relay import (
    MAX_REFUSALS,
    UpstreamResponse,
    log_cut_off,
)
from lentilhaven.gateway.stream_admission import no_chain_failure, wait_for_chain
from lentilhaven.gateway.stream_run import run_on_chain
from lentilhaven.gateway.stream_state import RunOutcome, StreamRelay
from lentilhaven.upstream.held_response import HeldResponse

log = get_logger("gateway")


async def relay_stream(
    gateway: Gateway, request: web.BaseRequest, call: Call
) -> web.StreamResponse:
    """
    Serve a generation request on as many chains as it needs and its route allows.

    If a stream fails after its response has started, also by a defect, the caller's
    connection is aborted.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    request : aiohttp.web.BaseRequest
        The caller's request.
    call : Call
        The decoded request.
    """
    spec = find_engine_spec(gateway, call)
    if spec is None:
        detail = f"no engine of {call.service} is known"
        return make_error_response(Failure(Step.CHOOSE, "", "no-chain", detail))
    relay = StreamRelay(
        gateway,
        request,
        call,
        spec,
        run_on_chain,
        order=EventOrder(call.head.last_event_id),
    )
    gateway.budget_of(call.service).record_request(asyncio.get_running_loop().time())
    try:
        with ending_runs(relay):
            async with (
                gateway.work_limits.limited() as stop_scope,
                asyncio.timeout_at(call.deadline),
            ):
                outcome = await run_until_done(relay)
    except TimeoutError:
        outcome = limit_failure(relay, stop_scope.expired())
    if relay.response is not None:
        if isinstance(outcome, Failure):
            abort_stream(relay, outcome)
        return relay.response
    if isinstance(outcome, Failure):
        if relay.runs > 0 and outcome.ran is Ran.NO:
            # Only the last chain has refused; an earlier run may have begun.
            outcome = attrs.evolve(outcome, ran=Ran.UNKNOWN)
        return make_error_response(outcome)
    assert isinstance(outcome, UpstreamResponse)
    return HeldResponse(gateway.pool.memory, outcome.head, outcome.body)


def limit_failure(relay: StreamRelay, is_stop: bool) -> Failure:
    """
    Return the failure of a stream that has reached a limit of time.

    Parameters
    ----------
    relay : StreamRelay
        The stream.
    is_stop : bool
        Whether it is the limit of a gateway that stops; otherwise the call's deadline.
    """
    if not is_stop:
        detail = "no whole answer in time"
        return Failure(Step.STREAM, "", "timeout", detail, Ran.UNKNOWN)
    log_cut_off(relay.gateway, relay.call, relay.runs > 0)
    return cut_off_failure(relay.runs > 0)


@contextmanager
def ending_runs(relay: StreamRelay) -> Iterator[None]:
    """End the second run with the context, and the answer too after a defect."""
    try:
        yield
    except TimeoutError:
        raise
    except Exception as error:
        if relay.response is not None:
            detail = f"{type(error).__name__}: {error}"
            abort_stream(relay, Failure(Step.INTERNAL, "", "defect", detail))
        raise
    finally:
        relay.drop_successor()


def abort_stream(relay: StreamRelay, failure: Failure) -> None:
    """Abort the caller's connection, so that the answer does not look complete."""
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


async def run_until_done(relay: StreamRelay) -> RunOutcome:
    """
    Run a request until it is answered or can't be retried.

    Returns
    -------
    UpstreamResponse, Failure or None
        None if the stream was relayed completely; an answer if an engine sent one
        that is no stream.
    """
    loop = asyncio.get_running_loop()
    call, gateway = relay.call, relay.gateway
    outcome: RunOutcome = None
    while True:
        now = loop.time()
        chain = await wait_for_chain(relay)
        if isinstance(chain, Refusal):
            return no_chain_failure(relay, chain, outcome)
        if not leaves_time(relay, chain, now):
            return leaving_failure()
        if relay.runs + relay.refusals > 0:
            budget = gateway.budget_of(call.service)
            if not budget.try_spend(now, gateway.count_gateways(now)):
                log.info("retry budget used up", request=call.id, service=call.service)
                assert isinstance(outcome, Failure)
                return outcome
        outcome = await run_with_successors(relay, chain)
        if not isinstance(outcome, Failure):
            return outcome
        if not await may_retry(relay, outcome):
            return outcome


def leaves_time(relay: StreamRelay, chain: Chain, now: float) -> bool:
    """
    Return whether a stream may begin on a chain at a gateway that may be stopping.

    Another gateway serves one that would be cut off here without a break.  One that has
    begun goes on until the process ends, and its caller may go on from there.
    """
    stop = relay.gateway.stop
    if stop is None or relay.response is not None or relay.runs > 0:
        return True
    seconds = chain.cost / 1000.0
    if stop.leaves_time_for(seconds, now):
        return True
    log.info(
        "stream is too long for a gateway that stops",
        request=relay.call.id,
        estimate_ms=round(chain.cost),
        left_ms=round((stop.answer_at - now) * 1000),
    )
    return False


async def run_with_successors(relay: StreamRelay, chain: Chain) -> RunOutcome:
    """
    Run a request on a chain, and follow the runs that begin beside it if it fails.

    Returns
    -------
    UpstreamResponse, Failure or None
        As in `run_on_chain`, of the last run; an engine's error answer if the runs
        after it have failed too.
    """
    outcome = await run_on_chain(relay, chain)
    error_answer = None
    while needs_successor(relay, outcome) and relay.successor is not None:
        if isinstance(outcome, UpstreamResponse):
            error_answer = outcome
        successor, relay.successor = relay.successor, None
        outcome = await successor
    if isinstance(outcome, Failure) and error_answer is not None:
        outcome = error_answer
    if isinstance(outcome, UpstreamResponse) and relay.response is not None:
        detail = f"status {outcome.head.status} within a stream"
        return Failure(Step.STREAM, "", "failed", detail, Ran.UNKNOWN)
    return outcome


def needs_successor(relay: StreamRelay, outcome: RunOutcome) -> bool:
    """Return whether a run has failed, or has ended after it was superseded."""
    if isinstance(outcome, UpstreamResponse):
        return outcome.failed or relay.response is not None
    return outcome is not None


async def may_retry(relay: StreamRelay, failure: Failure) -> bool:
    """Return whether the request may be sent to another chain after a failure."""
    has_begun = relay.response is not None
    if relay.refusals >= MAX_REFUSALS and not has_begun:
        return False
    if failure.kind in HARMFUL_KINDS.values():
        return False
    if failure.ran is not Ran.NO and not relay.may_run_again:
        return False
    if relay.runs > 0 and await forbids_repeat_now(relay.gateway, relay.call):
        log.info("request not repeated since it ends endpoints", request=relay.call.id)
        return False
    return True


def find_engine_spec(gateway: Gateway, call: Call) -> EngineSpec | None:
    """Return the engine specification of the request's service, if it is known."""
    manifest = gateway.view.manifest
    service = manifest.services.get(call.service) if manifest else None
    return service.engine if service else None
