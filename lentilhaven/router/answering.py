"""
Generates an answer, replacing stages that fail on the way.

Each attempt sends the tokens accepted so far along with the prompt, so that
the answer goes on at the next position.  Stages that still hold their KV cache
keep it; only a replaced stage rebuilds its own.
"""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import aclosing

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.ids import EndpointId
from lentilhaven.core.logs import get_logger
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.endpoints.piece import Piece
from lentilhaven.endpoints.stage_loss import StageLoss
from lentilhaven.router.answer import Answer
from lentilhaven.router.chain_choice import choose_chain, repair_chain
from lentilhaven.router.decisions import record_attempt
from lentilhaven.router.router import Router

#: Seconds of silence allowed before the first token of an attempt.
FIRST_TOKEN_TIMEOUT = 1.5

log = get_logger("router")


async def generate(router: Router, answer: Answer) -> AsyncGenerator[Piece, None]:
    """
    Yield the pieces of an answer, each exactly once and in order.

    Parameters
    ----------
    router : Router
        Knows endpoints and their load.
    answer : Answer
        The answer to generate.

    Raises
    ------
    FailureError
        If no pipeline is left, or attempts or time have run out.
    """
    chain = choose_chain(router, answer)
    while True:
        if chain is None:
            raise FailureError(no_pipeline(answer))
        answer.chain = chain
        lost: set[EndpointId] = set()
        try:
            async with aclosing(run_attempt(router, answer)) as pieces:
                async for piece in pieces:
                    yield piece
        except FailureError as error:
            log.warning(
                "attempt failed; replacing the failed range",
                request=answer.request,
                error=str(error),
            )
            lost = await find_lost(router, answer, error.failure)
        if answer.ledger.finish_reason:
            return
        check_limits(router, answer)
        router.counters["attempts_replaced"] += 1
        chain = repair_chain(router, answer, lost)


async def run_attempt(router: Router, answer: Answer) -> AsyncGenerator[Piece, None]:
    """
    Yield the accepted pieces of one attempt.

    Raises
    ------
    FailureError
        If the attempt fails before the answer is complete.
    """
    order = answer.next_order(router.clock.monotonic())
    record_attempt(router, answer)
    used = [stage.endpoint for stage in order.chain]
    router.own_load.update(used)
    silence = FIRST_TOKEN_TIMEOUT
    try:
        async with router.engines.open_stream(order) as events:
            while True:
                event = await next_event(events, silence, order.chain[0].endpoint)
                if isinstance(event, StageLoss):
                    raise FailureError(stage_lost(event))
                reason = answer.ledger.accept(event)
                if reason is not None:
                    router.counters[f"dropped_{reason.value}"] += 1
                    continue
                silence = answer.route.token_timeout
                yield event
                if event.finish_reason:
                    return
    finally:
        router.own_load.subtract(used)


async def next_event(
    events: AsyncIterator[Piece | StageLoss], silence: float, head: EndpointId
) -> Piece | StageLoss:
    """Return the next event, or fail when the stream ends or stays silent."""
    try:
        async with asyncio.timeout(silence):
            return await anext(events)
    except TimeoutError as error:
        detail = f"no token for {silence} s"
        failure = Failure(Step.STREAM, head, "silent-stream", detail, Ran.UNKNOWN)
        raise FailureError(failure) from error
    except StopAsyncIteration as error:
        detail = "the stream ended before the answer"
        failure = Failure(Step.STREAM, head, "engine-lost", detail, Ran.UNKNOWN)
        raise FailureError(failure) from error


async def find_lost(
    router: Router, answer: Answer, failure: Failure
) -> set[EndpointId]:
    """
    Return the stages that must be replaced.

    A silent stream may have lost only its connection, so every stage is asked
    on a new one; when all of them answer, the same chain is used again.

    Parameters
    ----------
    router : Router
        Has the engines' client.
    answer : Answer
        The answer whose attempt failed.
    failure : Failure
        How it failed.
    """
    if failure.kind in ("stage-lost", "engine-refused", "engine-lost"):
        return {EndpointId(failure.peer)}
    probes = [router.engines.probe(stage, answer.request) for stage in answer.chain]
    alive = await asyncio.gather(*probes)
    stages = zip(answer.chain, alive, strict=True)
    return {stage.endpoint for stage, answered in stages if not answered}


def check_limits(router: Router, answer: Answer) -> None:
    """Raise `FailureError` if the answer may not be tried again."""
    position = len(answer.ledger.tokens)
    if router.clock.monotonic() >= answer.deadline:
        detail = f"the deadline passed at position {position}"
        raise FailureError(Failure(Step.STREAM, "", "deadline", detail, Ran.YES))
    if answer.ledger.attempt >= answer.route.retry.max_attempts + position:
        detail = f"{answer.ledger.attempt} attempts failed at position {position}"
        failure = Failure(Step.STREAM, "", "attempts-exhausted", detail, Ran.UNKNOWN)
        raise FailureError(failure)


def stage_lost(loss: StageLoss) -> Failure:
    """Return the failure that an engine's notice stands for."""
    return Failure(Step.STREAM, loss.endpoint, "stage-lost", loss.detail, Ran.UNKNOWN)


def no_pipeline(answer: Answer) -> Failure:
    """Return the failure of an answer that no pipeline is left for."""
    position = len(answer.ledger.tokens)
    detail = f"no pipeline of {answer.pool.name!r} is left at position {position}"
    ran = Ran.YES if position else Ran.NO
    return Failure(Step.CHOOSE, "", "no-pipeline", detail, ran, retry_after=1.0)
