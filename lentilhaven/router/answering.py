"""
Generates an answer, replacing stages that fail on the way.

Each attempt sends the tokens accepted so far along with the prompt, so that
the answer goes on at the next position.  Stages that still hold their KV cache
keep it; only a replaced stage rebuilds or imports its own.
"""

from collections.abc import AsyncGenerator
from contextlib import AbstractAsyncContextManager, aclosing

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.endpoints.piece import Piece
from lentilhaven.endpoints.piece_wire import StreamEvent
from lentilhaven.endpoints.stage_loss import StageLoss
from lentilhaven.endpoints.stream_feed import StreamFeed
from lentilhaven.router.answer import Answer
from lentilhaven.router.chain_choice import choose_chain
from lentilhaven.router.decisions import record_attempt
from lentilhaven.router.recovery import deadline_passed, no_pipeline, plan_next_attempt
from lentilhaven.router.router import Router
from lentilhaven.router.silence_watch import SilenceWatch
from lentilhaven.router.stream_examination import examine_silence

#: Times that one attempt's stream is read again without a token in between.
REREAD_LIMIT = 3

Batches = AsyncGenerator[list[Piece], None]


async def generate(router: Router, answer: Answer) -> Batches:
    """
    Yield the pieces of an answer, each exactly once and in order.

    Pieces that arrive together are yielded together.

    Parameters
    ----------
    router : Router
        Knows endpoints and their load.
    answer : Answer
        The answer to generate.  One that has a chain already is read on from
        its running stream.

    Raises
    ------
    FailureError
        If no pipeline is left, or attempts or time have run out.
    """
    resuming = bool(answer.chain)
    if not resuming:
        answer.chain = choose_chain(router, answer) or []
    if not answer.chain:
        raise FailureError(no_pipeline(answer))
    while not answer.ledger.finish_reason:
        try:
            async with aclosing(run_attempt(router, answer, resuming)) as batches:
                async for batch in batches:
                    answer.failures = 0
                    yield batch
        except FailureError as error:
            if error.failure.kind == "deadline":
                raise
            answer.chain = await plan_next_attempt(router, answer, error.failure)
        resuming = False


async def run_attempt(router: Router, answer: Answer, resuming: bool) -> Batches:
    """
    Yield the accepted pieces of one attempt.

    Parameters
    ----------
    router : Router
        Has the engines' client.
    answer : Answer
        The answer.
    resuming : bool
        Whether the attempt runs already.

    Raises
    ------
    FailureError
        If the attempt fails before the answer is complete.
    """
    names = [stage.endpoint for stage in answer.chain]
    with router.counted_use(answer.chain):
        source = resume(router, answer) if resuming else start(router, answer)
        rereads = 0
        while True:
            position = len(answer.ledger.tokens)
            try:
                async with source as feed, aclosing(read(router, answer, feed)) as it:
                    async for batch in it:
                        router.circuits.record_successes(names)
                        yield batch
                return
            except FailureError as error:
                moved = len(answer.ledger.tokens) > position
                rereads = 1 if moved else rereads + 1
                if error.failure.kind != "read-again" or rereads > REREAD_LIMIT:
                    raise
                router.counters["streams_read_again"] += 1
                source = resume(router, answer)


def start(router: Router, answer: Answer) -> AbstractAsyncContextManager[StreamFeed]:
    """Begin another attempt."""
    order = answer.next_order(router.clock.monotonic())
    record_attempt(router, answer)
    # After a failure a pooled connection may be a silent one.
    return router.engines.start_stream(order, fresh=answer.failures > 0)


def resume(router: Router, answer: Answer) -> AbstractAsyncContextManager[StreamFeed]:
    """Read the running attempt from the next position."""
    position = len(answer.ledger.tokens)
    return router.engines.resume_stream(answer.chain[0], answer.request, position)


async def read(router: Router, answer: Answer, feed: StreamFeed) -> Batches:
    """
    Yield the accepted pieces of one open stream.

    Raises
    ------
    FailureError
        If the stream fails, or must be read again.
    """
    length = len(answer.wanted.prompt) + len(answer.ledger.tokens)
    now = router.clock.monotonic()
    watch = SilenceWatch(answer.route.token_timeout, length, now)
    waiting_since = now
    while not answer.ledger.finish_reason:
        left = answer.deadline - router.clock.monotonic()
        if left <= 0:
            raise FailureError(deadline_passed(answer))
        events = await feed.next_chunk(min(left, watch.suspect_after))
        if events is None:
            reason = await examine_silence(router, answer, watch)
            # Tokens may have come while the stages were asked.
            if reason is not None and feed.empty:
                raise reason
            continue
        accepted, failure = accept_events(router, answer, events)
        if accepted:
            now = router.clock.monotonic()
            watch.record_tokens(now)
            if answer.pace is not None:
                answer.pace.record(len(accepted), now - waiting_since, now)
            yield accepted
            waiting_since = router.clock.monotonic()
        if failure is not None and not answer.ledger.finish_reason:
            raise FailureError(failure)


def accept_events(
    router: Router, answer: Answer, events: list[StreamEvent]
) -> tuple[list[Piece], Failure | None]:
    """
    Return the pieces to forward and the failure that follows them, if any.

    Parameters
    ----------
    router : Router
        Counts what is dropped.
    answer : Answer
        Judges every piece.
    events : list
        Events of the current stream, in order of arrival.
    """
    accepted = []
    failure = None
    ledger = answer.ledger
    for event in events:
        if isinstance(event, StageLoss):
            failure = stage_lost(event)
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


def stage_lost(loss: StageLoss) -> Failure:
    """Return the failure that an engine's notice stands for."""
    return Failure(Step.STREAM, loss.endpoint, "stage-lost", loss.detail, Ran.UNKNOWN)
