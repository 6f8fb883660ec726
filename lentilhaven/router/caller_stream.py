"""Sends an answer to its caller as server-sent events."""

import asyncio
import contextlib
from contextlib import aclosing

from aiohttp import web

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.logs import get_logger
from lentilhaven.core.step import Step
from lentilhaven.router.answer import Answer
from lentilhaven.router.answering import generate
from lentilhaven.router.completion_events import DONE, error_event, event_encoder
from lentilhaven.router.router import Router

EVENT_HEADERS = {"Content-Type": "text/event-stream", "Cache-Control": "no-store"}

#: Bytes that an empty connection takes without blocking.
SMALL_WRITE = 32_768

log = get_logger("router")


async def send_stream(
    request: web.Request, router: Router, answer: Answer
) -> web.StreamResponse:
    """
    Send the answer as server-sent events.

    Every end that is not the answer's own is an error event.

    Parameters
    ----------
    request : aiohttp.web.Request
        The caller's request.
    router : Router
        The router.
    answer : Answer
        The answer to send.

    Raises
    ------
    FailureError
        If the answer fails before its first token, or the caller has gone.
    """
    response = web.StreamResponse(headers=EVENT_HEADERS)
    try:
        await send_pieces(request, response, router, answer)
        await write(router, request, response, DONE)
    except FailureError as error:
        answer.ended_by = error.failure
    except asyncio.CancelledError:
        task = asyncio.current_task()
        if not router.cutting or task is None:
            raise
        task.uncancel()
        answer.ended_by = cut_off(answer)
    except Exception as error:
        log.error("answer failed", request=answer.request, error=repr(error))
        answer.ended_by = Failure(Step.STREAM, "", "internal", "", answer.ran)
    if answer.ended_by is not None:
        await end_early(request, response, router, answer.ended_by)
    return response


async def end_early(
    request: web.Request,
    response: web.StreamResponse,
    router: Router,
    failure: Failure,
) -> None:
    """
    Tell the caller why its answer ends here.

    Raises
    ------
    FailureError
        If nothing has been sent yet, so that a whole error response can be.
    """
    if not response.prepared:
        raise FailureError(failure)
    if failure.kind == "caller-gone":
        if request.transport is not None:
            request.transport.abort()
        return
    with contextlib.suppress(FailureError):
        await write(router, request, response, error_event(failure))


async def send_pieces(
    request: web.Request,
    response: web.StreamResponse,
    router: Router,
    answer: Answer,
) -> None:
    """Send every piece that the caller does not have yet."""
    if answer.chain:
        await send_missed(request, response, router, answer)
    encode, chain = None, answer.chain
    async with aclosing(generate(router, answer)) as batches:
        async for batch in batches:
            if encode is None or chain is not answer.chain:
                encode, chain = event_encoder(router, answer), answer.chain
            events = [
                encode(piece.position, piece.token, piece.finish_reason)
                for piece in batch
                if piece.position >= answer.forward_from
            ]
            if not response.prepared:
                await response.prepare(request)
            await write(router, request, response, b"".join(events))


async def send_missed(
    request: web.Request,
    response: web.StreamResponse,
    router: Router,
    answer: Answer,
) -> None:
    """Send the tokens that the running attempt began with and the caller lacks."""
    encode = event_encoder(router, answer)
    tokens = answer.ledger.tokens
    missed = range(answer.forward_from, len(tokens))
    await response.prepare(request)
    events = [encode(position, tokens[position], "") for position in missed]
    await write(router, request, response, b"".join(events))


async def write(
    router: Router, request: web.Request, response: web.StreamResponse, data: bytes
) -> None:
    """
    Write to the caller, for as long as it takes something now and then.

    Raises
    ------
    FailureError
        If the caller has gone or takes nothing.
    """
    if not data:
        return
    try:
        if is_free(request) and len(data) < SMALL_WRITE:
            # This can't block, and a timer for each token is dear.
            await response.write(data)
            return
        async with asyncio.timeout(router.settings.write_timeout):
            await response.write(data)
    except (ConnectionError, TimeoutError) as error:
        router.counters["callers_gone"] += 1
        detail = f"the caller has gone: {error!r}"
        raise FailureError(Failure(Step.SEND, "", "caller-gone", detail)) from error


def is_free(request: web.Request) -> bool:
    """Return whether the caller has taken everything that was sent to it."""
    transport = request.transport
    return transport is not None and transport.get_write_buffer_size() == 0


def cut_off(answer: Answer) -> Failure:
    """Return the failure of an answer that a shutdown has cut off."""
    detail = "this VM is leaving; send the request again with Last-Event-ID"
    return Failure(Step.STREAM, "", "leaving", detail, answer.ran, retry_after=1.0)
