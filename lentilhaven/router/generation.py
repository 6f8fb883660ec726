"""
Generates an answer and replaces pipeline stages that fail during generation.

Each attempt sends the tokens accepted so far together with the prompt, so that
generation continues at the next position.  Stages that still hold the KV cache of
the request keep it; only a replacement stage rebuilds or imports its cache.
"""

from collections.abc import AsyncGenerator
from contextlib import AbstractAsyncContextManager, aclosing

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.endpoints.piece import Piece
from lentilhaven.endpoints.piece_codec import StreamEvent
from lentilhaven.endpoints.stage_loss import StageLoss
from lentilhaven.endpoints.stream_feed import StreamFeed
from lentilhaven.router.answer import Answer
from lentilhaven.router.chain_choice import choose_chain
from lentilhaven.router.decisions import record_attempt
from lentilhaven.router.recovery import no_pipeline_failure, plan_next_attempt
from lentilhaven.router.router import Router
from lentilhaven.router.silence_diagnosis import diagnose_silence
from lentilhaven.router.silence_wait import deadline_failure
from lentilhaven.router.silence_watch import SilenceDetector

#: Maximum number of times in a row, without a new token in between, that the stream
#: of an attempt is reopened and read again from the next position.
MAX_REREADS = 3

PieceBatches = AsyncGenerator[list[Piece], None]


async def generate(router: Router, answer: Answer) -> PieceBatches:
    """
    Yield the pieces of an answer, each exactly once and in order.

    Pieces that arrive together are yielded as one batch.

    Parameters
    ----------
    router : Router
        Provides endpoints and their load.
    answer : Answer
        The answer to generate.  If it already has a chain, its running stream is
        read from the next position.

    Raises
    ------
    FailureError
        If no pipeline is available, the attempts, the retry budget or the time are
        used up, or another router has taken over the answer.
    """
    resuming = bool(answer.chain)
    if not resuming:
        answer.chain = choose_chain(router, answer) or []
    if not answer.chain:
        raise FailureError(no_pipeline_failure(answer))
    while not answer.ledger.finish_reason:
        try:
            async with aclosing(run_attempt(router, answer, resuming)) as batches:
                async for batch in batches:
                    answer.consecutive_failures = 0
                    yield batch
        except FailureError as error:
            if error.failure.kind == "deadline":
                raise
            answer.chain = await plan_next_attempt(router, answer, error.failure)
        resuming = False
    router.crash_watch.note_answered(answer.subject, router.clock.monotonic())


async def run_attempt(router: Router, answer: Answer, resuming: bool) -> PieceBatches:
    """
    Yield the accepted pieces of one attempt.

    Parameters
    ----------
    router : Router
        Provides the engine client.
    answer : Answer
        The answer.
    resuming : bool
        Whether the attempt is already running, so that its stream is reopened
        instead of a new attempt being started.

    Raises
    ------
    FailureError
        If the attempt fails before the answer is complete.
    """
    endpoints = [stage.endpoint for stage in answer.chain]
    with router.counted_chain(answer.chain):
        source = (
            resume_attempt(router, answer)
            if resuming
            else start_attempt(router, answer)
        )
        rereads = 0
        while True:
            position = len(answer.ledger.tokens)
            try:
                async with (
                    source as feed,
                    aclosing(read_pieces(router, answer, feed)) as batches,
                ):
                    async for batch in batches:
                        router.circuit_breakers.record_successes(endpoints)
                        router.crash_watch.note_alive(endpoints)
                        yield batch
                return
            except FailureError as error:
                progressed = len(answer.ledger.tokens) > position
                rereads = 1 if progressed else rereads + 1
                if error.failure.kind != "read-again" or rereads > MAX_REREADS:
                    raise
                router.counters["streams_read_again"] += 1
                source = resume_attempt(router, answer)


def start_attempt(
    router: Router, answer: Answer
) -> AbstractAsyncContextManager[StreamFeed]:
    """Start the next attempt and return the context manager that opens its stream."""
    order = answer.begin_attempt(router.clock.monotonic())
    record_attempt(router, answer)
    # After a failure, a pooled connection may look open but no longer carry data.
    return router.engines.start_stream(order, new_connection=order.attempt > 1)


def resume_attempt(
    router: Router, answer: Answer
) -> AbstractAsyncContextManager[StreamFeed]:
    """Reopen the stream of the running attempt at the next position."""
    position = len(answer.ledger.tokens)
    return router.engines.resume_stream(answer.chain[0], answer.request, position)


async def read_pieces(router: Router, answer: Answer, feed: StreamFeed) -> PieceBatches:
    """
    Yield the accepted pieces of one open stream.

    Raises
    ------
    FailureError
        If the stream fails or has to be reread.
    """
    length = len(answer.completion_request.prompt) + len(answer.ledger.tokens)
    now = router.clock.monotonic()
    detector = SilenceDetector(answer.route.token_timeout, length, now)
    waiting_since = now
    while not answer.ledger.finish_reason:
        remaining = answer.deadline - router.clock.monotonic()
        if remaining <= 0:
            raise FailureError(deadline_failure(answer))
        events = await feed.next_chunk(min(remaining, detector.suspect_after))
        if events is None:
            reason = await diagnose_silence(router, answer, detector)
            # If tokens arrived while the stages were probed, the stream is not silent.
            if reason is not None and feed.empty:
                raise reason
            continue
        accepted, failure = accept_events(router, answer, events)
        if accepted:
            now = router.clock.monotonic()
            detector.record_tokens(now)
            if answer.latency_reporter is not None:
                answer.latency_reporter.record(len(accepted), now - waiting_since, now)
            yield accepted
            # The time that the consumer took is not a wait for the engine.
            waiting_since = router.clock.monotonic()
        if failure is not None and not answer.ledger.finish_reason:
            raise FailureError(failure)


def accept_events(
    router: Router, answer: Answer, events: list[StreamEvent]
) -> tuple[list[Piece], Failure | None]:
    """
    Return the pieces to forward, and the failure to raise once they are forwarded.

    The failure is None unless an engine has reported the loss of a stage or a piece
    is missing.

    Parameters
    ----------
    router : Router
        Counts dropped pieces.
    answer : Answer
        Its ledger decides which pieces are accepted.
    events : list
        Events of the current stream, in order of arrival.
    """
    accepted = []
    failure = None
    ledger = answer.ledger
    for event in events:
        if isinstance(event, StageLoss):
            failure = stage_loss_failure(event)
            continue
        reason = ledger.accept(event)
        if reason is None:
            accepted.append(event)
        else:
            router.counters[f"dropped_{reason.value}"] += 1
    if failure is None and ledger.has_gap:
        head = answer.chain[0].endpoint
        detail = f"position {len(ledger.tokens)} is missing"
        failure = Failure(Step.VERIFY, head, "read-again", detail, Ran.UNKNOWN)
    return accepted, failure


def stage_loss_failure(loss: StageLoss) -> Failure:
    """Return the failure for a stage loss that an engine reported."""
    return Failure(Step.STREAM, loss.endpoint, "stage-lost", loss.detail, Ran.UNKNOWN)
