"""The handlers of completion requests."""

import json
import uuid
from contextlib import aclosing

from aiohttp import web

from lentilhaven.answers.answer_ledger import AnswerLedger
from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.ids import RequestId
from lentilhaven.core.step import Step
from lentilhaven.endpoints.piece import Piece
from lentilhaven.router.answer import Answer
from lentilhaven.router.answering import generate
from lentilhaven.router.app_keys import ROUTER, read_workspace
from lentilhaven.router.completion_request import CompletionRequest, parse_completion
from lentilhaven.router.problems import problem_document, problem_response
from lentilhaven.router.router import Router
from lentilhaven.tables.matching import RequestTraits, draw_version, match_completion
from lentilhaven.tables.pool import PoolKind
from lentilhaven.tables.workspace import Workspace


async def complete(request: web.Request) -> web.StreamResponse:
    """Answer ``POST /v1/completions``."""
    return await answer_completion(request, chat=False)


async def complete_chat(request: web.Request) -> web.StreamResponse:
    """Answer ``POST /v1/chat/completions``."""
    return await answer_completion(request, chat=True)


async def list_models(request: web.Request) -> web.StreamResponse:
    """Answer ``GET /v1/models``."""
    router = request.app[ROUTER]
    read_workspace(request)
    pools = [it for it in router.view.tables.pools if it.kind is PoolKind.ENGINE]
    names = sorted({pool.model for pool in pools})
    models = [{"id": name, "object": "model", "owned_by": "pool"} for name in names]
    return web.json_response({"object": "list", "data": models})


async def answer_completion(request: web.Request, chat: bool) -> web.StreamResponse:
    """
    Answer a completion request.

    Parameters
    ----------
    request : aiohttp.web.Request
        The request.
    chat : bool
        Whether it came over the chat interface.
    """
    router = request.app[ROUTER]
    workspace = read_workspace(request)
    parsed = parse_completion(await request.read(), chat)
    if parsed.is_error():
        return problem_response(parsed.error)
    answer = admit(router, workspace, parsed.ok)
    try:
        if parsed.ok.stream:
            return await send_stream(request, router, answer)
        return await send_whole(router, answer)
    finally:
        if not answer.ledger.finish_reason:
            await cancel_answer(router, answer)


def admit(router: Router, workspace: Workspace, wanted: CompletionRequest) -> Answer:
    """
    Return the answer to work on.

    Raises
    ------
    FailureError
        If no route answers the request.
    """
    tables = router.view.tables
    traits = RequestTraits(
        workspace.id, model=wanted.model, priority=workspace.priority
    )
    route = match_completion(tables, traits)
    if route is None:
        detail = f"no route answers model {wanted.model!r} for this workspace"
        raise FailureError(Failure(Step.ROUTE, "", "unknown-model", detail))
    pool = tables.pool(route.pool)
    router.budget(route).record_request(router.clock.monotonic())
    version = draw_version(route, pool, router.random)
    request = RequestId(uuid.UUID(int=router.random.getrandbits(128), version=4).hex)
    return Answer(
        request=request,
        workspace=workspace.id,
        wanted=wanted,
        route=route,
        pool=pool,
        version=version,
        deadline=router.clock.monotonic() + route.deadline,
        ledger=AnswerLedger(request, version, pool.layer_count),
    )


async def send_whole(router: Router, answer: Answer) -> web.StreamResponse:
    """Collect the answer and send it as one JSON document."""
    async with aclosing(generate(router, answer)) as batches:
        async for _ in batches:
            pass
    text = "".join(answer.ledger.tokens)
    choice: dict = {"index": 0, "finish_reason": answer.ledger.finish_reason}
    if answer.wanted.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    used, made = len(answer.wanted.prompt), len(answer.ledger.tokens)
    usage = {
        "prompt_tokens": used,
        "completion_tokens": made,
        "total_tokens": used + made,
    }
    kind = "chat.completion" if answer.wanted.chat else "text_completion"
    document = envelope(router, answer, kind) | {"choices": [choice], "usage": usage}
    return web.json_response(document)


async def send_stream(
    request: web.Request, router: Router, answer: Answer
) -> web.StreamResponse:
    """Send the answer as server-sent events."""
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    async with aclosing(generate(router, answer)) as batches:
        try:
            async for batch in batches:
                if not response.prepared:
                    await response.prepare(request)
                events = [event_bytes(router, answer, piece) for piece in batch]
                await response.write(b"".join(events))
        except FailureError as error:
            if not response.prepared:
                raise
            document = problem_document(error.failure)
            await response.write(
                f"event: error\ndata: {json.dumps(document)}\n\n".encode()
            )
            await response.write_eof()
            return response
    await response.write(b"data: [DONE]\n\n")
    await response.write_eof()
    return response


def event_bytes(router: Router, answer: Answer, piece: Piece) -> bytes:
    """Return the server-sent event of one piece."""
    choice: dict = {"index": 0, "finish_reason": piece.finish_reason or None}
    if answer.wanted.chat:
        choice["delta"] = {"role": "assistant", "content": piece.token}
    else:
        choice["text"] = piece.token
    kind = "chat.completion.chunk" if answer.wanted.chat else "text_completion"
    document = envelope(router, answer, kind) | {"choices": [choice]}
    return f"data: {json.dumps(document)}\n\n".encode()


def envelope(router: Router, answer: Answer, kind: str) -> dict:
    """Return the fields that every document of an answer has."""
    return {
        "id": answer.request,
        "object": kind,
        "created": int(router.clock.wall()),
        "model": answer.wanted.model,
    }


async def cancel_answer(router: Router, answer: Answer) -> None:
    """Tell every stage to drop an answer that will not be finished."""
    for stage in answer.chain:
        await router.engines.cancel(stage, answer.request)
