"""Failures of a run, and their effects on the endpoints of its chain."""

import asyncio

from lentilhaven.chains.chain import Chain
from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import get_logger
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.gateway.endpoint_states import REFUSAL_BACKOFF, SUSPICION_TIME
from lentilhaven.gateway.service_relay import REFUSAL_STATUSES, UpstreamResponse
from lentilhaven.gateway.stream_lead import StreamRun
from lentilhaven.gateway.stream_state import StreamRelay
from lentilhaven.platform.response_head import ResponseHead
from lentilhaven.upstream.exchange import Exchange

#: Seconds for which a stream does not ask an endpoint again that has refused it.
REFUSED_RUN_BACKOFF = 1.0

#: Seconds for which an answer that nobody gets is read to its end, so that its
#: connection can carry another request.
UNUSED_BODY_TIME = 0.1

log = get_logger("gateway")


async def interpret_error_answer(
    relay: StreamRelay, chain: Chain, exchange: Exchange, head: ResponseHead
) -> UpstreamResponse | Failure:
    """
    Return the outcome of a run whose answer is not a stream.

    A refusal is counted in `StreamRelay.refusals` and no longer as a run.

    Returns
    -------
    UpstreamResponse or Failure
        A failure if the engine refused the request, if the answer is incomplete at the
        deadline, or if the caller's stream has already started.
    """
    loop = asyncio.get_running_loop()
    is_refusal = head.not_executed and head.status in REFUSAL_STATUSES
    deadline = relay.call.deadline
    if is_refusal or relay.response is not None:
        deadline = min(deadline, loop.time() + UNUSED_BODY_TIME)
    body = await exchange.read_body(deadline)
    if is_refusal:
        record_refusal(relay, chain, head, loop.time())
        relay.runs -= 1
        relay.refusals += 1
        detail = f"status {head.status}"
        return Failure(
            Step.STREAM, head.failed_address or chain.first.id, "refused", detail
        )
    if body is None or relay.response is not None:
        detail = f"status {head.status}"
        return Failure(Step.STREAM, chain.first.id, "failed", detail, Ran.UNKNOWN)
    return UpstreamResponse(head, body)


def record_refusal(
    relay: StreamRelay, chain: Chain, head: ResponseHead, now: float
) -> None:
    """
    Keep requests away from the part of a chain that refused one.

    The first part also refuses on behalf of a later part that has failed, is leaving,
    has lost its layers or is full.  Such a part is suspected, and the suspicion is sent
    to all gateways, so that they need not be refused one by one.  Only a full part soon
    shows activity, which ends the suspicion.
    """
    address = head.failed_address or chain.first.address
    for endpoint in chain.endpoints:
        if endpoint.address != address:
            continue
        state = relay.gateway.endpoint_states.of(endpoint)
        state.refused_until = now + REFUSAL_BACKOFF
        state.paused_until = max(state.paused_until, now + head.refusal_pause)
        relay.refusing[endpoint.id] = now + REFUSED_RUN_BACKOFF
        if endpoint is chain.first:
            continue
        if state.note_suspicion(now, now + SUSPICION_TIME):
            relay.gateway.urgent_signal.notify()
            log.warning(
                "endpoint suspected after a refusal",
                request=relay.call.id,
                endpoint=endpoint.id,
                status=head.status,
                view=str(relay.gateway.view.endpoints_position),
            )


def silence_failure(relay: StreamRelay, run: StreamRun) -> Failure:
    """Return the failure of a run that is given up while no event arrives."""
    silence = asyncio.get_running_loop().time() - run.silent_since
    detail = f"no event for {silence:.3f} s"
    return Failure(Step.STREAM, run.chain.first.id, "silent", detail, Ran.UNKNOWN)
