"""What it means that a run does not go on."""

import asyncio

from lentilhaven.chains.chain import Chain
from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import get_logger
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.gateway.endpoint_board import REFUSAL, SUSPICION
from lentilhaven.gateway.service_relay import REFUSALS, Answer
from lentilhaven.gateway.stream_state import StreamRelay, StreamRun
from lentilhaven.platform.answer_head import AnswerHead
from lentilhaven.upstream.exchange import Exchange

log = get_logger("gateway")


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
    """
    Keep requests away from the part of a chain that refused one.

    The first part answers for another one that is dead, leaves, has lost its layers
    or is full.  Only a full one is heard of soon, which ends the suspicion; all
    gateways need not learn of the others one by one.
    """
    address = head.at_fault or chain.first.address
    for endpoint in chain.endpoints:
        if endpoint.address != address:
            continue
        state = relay.gateway.board.of(endpoint)
        state.refused_until = now + REFUSAL
        relay.excluded.add(endpoint.id)
        if endpoint is chain.first:
            continue
        if state.note_suspicion(now, now + SUSPICION, own=True):
            relay.gateway.urgent.notify()
            log.warning(
                "endpoint suspected after a refusal",
                request=relay.call.id,
                endpoint=endpoint.id,
                status=head.status,
                view=relay.gateway.view.endpoints_revision,
            )


def fall_silent(relay: StreamRelay, run: StreamRun) -> Failure:
    """Return the failure of a run that has been silent for too long."""
    silence = asyncio.get_running_loop().time() - run.heard
    detail = f"no event for {silence:.3f} s"
    return Failure(Step.STREAM, run.chain.first.id, "silent", detail, Ran.UNKNOWN)
