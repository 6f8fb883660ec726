"""Streams an answer to its caller as server-sent events."""

import asyncio
import contextlib
from contextlib import aclosing

from aiohttp import web

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.logs import get_logger
from lentilhaven.core.step import Step
from lentilhaven.router.answer import Answer
from lentilhaven.router.completion_events import (
    DONE_EVENT,
    error_event,
    make_event_encoder,
)
from lentilhaven.router.generation import generate
from lentilhaven.router.router import Router

EVENT_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-store"}

#: Writes of fewer bytes than this can't block if the write buffer is empty.
NON_BLOCKING_WRITE_SIZE = 32_768

log = get_logger("router")


async def send_stream(
    request: web.Request, router: Router, answer: Answer
) -> web.StreamResponse:
    """
    Send an answer as server-sent events.

    If the answer fails after the response has started, the last event is an error
    event, unless the caller has disconnected.  The failure is stored in
    `answer.ended_by`.

    Parameters
    ----------
    request : aiohttp.web.Request
        The caller's request.
    router : Router
        The router that generates the answer.
    answer : Answer
        The answer to send.

    Raises
    ------
    FailureError
        If the answer fails before the response has started.
    """
    response = web.StreamResponse(headers=EVENT_HEADERS)
    try:
        await send_pieces(request, response, router, answer)
        await write_to_caller(router, request, response, DONE_EVENT)
    except FailureError as error:
        answer.ended_by = error.failure
    except asyncio.CancelledError:
        task = asyncio.current_task()
        if not router.cutting_off or task is None:
            raise
        # The shutdown has cancelled the request; the caller still gets an error.
        task.uncancel()
        answer.ended_by = shutdown_failure(answer)
    except Exception as error:
        log.error("answer failed", request=answer.request, error=repr(error))
        answer.ended_by = Failure(Step.STREAM, "", "internal", "", answer.ran)
    if answer.ended_by is not None:
        await report_failure(request, response, router, answer.ended_by)
    return response


async def report_failure(
    request: web.Request,
    response: web.StreamResponse,
    router: Router,
    failure: Failure,
) -> None:
    """
    Send an error event, or abort the connection if the caller has gone.

    Raises
    ------
    FailureError
        If nothing has been sent yet, so that an error response can still be sent.
    """
    if not response.prepared:
        raise FailureError(failure)
    if failure.kind == "caller-gone":
        if request.transport is not None:
            request.transport.abort()
        return
    with contextlib.suppress(FailureError):
        await write_to_caller(router, request, response, error_event(failure))


async def send_pieces(
    request: web.Request,
    response: web.StreamResponse,
    router: Router,
    answer: Answer,
) -> None:
    """Send all pieces from position `answer.forward_from` on."""
    # Before generation, only a resumed answer has a chain.
    if answer.chain:
        await send_missed_tokens(request, response, router, answer)
    encode, chain = None, answer.chain
    async with aclosing(generate(router, answer)) as batches:
        async for batch in batches:
            # Event ids contain the chain, which a new attempt may have changed.
            if encode is None or chain is not answer.chain:
                encode, chain = make_event_encoder(router, answer), answer.chain
            events = [
                encode(piece.position, piece.token, piece.finish_reason)
                for piece in batch
                if piece.position >= answer.forward_from
            ]
            if not response.prepared:
                await response.prepare(request)
            await write_to_caller(router, request, response, b"".join(events))


async def send_missed_tokens(
    request: web.Request,
    response: web.StreamResponse,
    router: Router,
    answer: Answer,
) -> None:
    """Start the response and send the accepted tokens that the caller lacks."""
    encode = make_event_encoder(router, answer)
    tokens = answer.ledger.tokens
    missed = range(answer.forward_from, len(tokens))
    await response.prepare(request)
    events = [encode(position, tokens[position], "") for position in missed]
    await write_to_caller(router, request, response, b"".join(events))


async def write_to_caller(
    router: Router, request: web.Request, response: web.StreamResponse, data: bytes
) -> None:
    """
    Write data to the caller, with the write timeout if the write may block.

    Raises
    ------
    FailureError
        If the caller has disconnected or reads nothing within the timeout.
    """
    if not data:
        return
    try:
        if is_write_buffer_empty(request) and len(data) < NON_BLOCKING_WRITE_SIZE:
            # This can't block, and a timer for each token is expensive.
            await response.write(data)
            return
        async with asyncio.timeout(router.settings.write_timeout):
            await response.write(data)
    except (ConnectionError, TimeoutError) as error:
        router.counters["callers_gone"] += 1
        detail = f"the caller has gone: {error!r}"
        raise FailureError(Failure(Step.SEND, "", "caller-gone", detail)) from error


def is_write_buffer_empty(request: web.Request) -> bool:
    """Return whether the system has accepted all data written to the caller."""
    transport = request.transport
    return transport is not None and transport.get_write_buffer_size() == 0


def shutdown_failure(answer: Answer) -> Failure:
    """Return the failure of an answer that is interrupted by a shutdown."""
    detail = "this VM is leaving; send the request again with Last-Event-ID"
    return Failure(Step.STREAM, "", "leaving", detail, answer.ran, retry_after=1.0)
