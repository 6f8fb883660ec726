"""HTTP handlers of completion requests."""

from contextlib import aclosing

from aiohttp import web

from lentilhaven.answers.answer_ledger import AnswerLedger
from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.request_context import current_request
from lentilhaven.core.step import Step
from lentilhaven.router.admission import admitted, within_quota
from lentilhaven.router.answer import Answer
from lentilhaven.router.app_keys import ROUTER, authenticate_caller
from lentilhaven.router.caller_stream import EVENT_HEADERS, send_stream
from lentilhaven.router.completion_events import DONE_EVENT, common_fields
from lentilhaven.router.completion_request import CompletionRequest, parse_completion
from lentilhaven.router.generation import generate
from lentilhaven.router.problems import problem_response
from lentilhaven.router.resuming import check_event_id, restore_answer
from lentilhaven.router.router import Router
from lentilhaven.tables.matching import RequestTraits, draw_version, match_completion
from lentilhaven.tables.pool import PoolKind
from lentilhaven.tables.route import Route
from lentilhaven.tables.workspace import Workspace

#: Kinds of failure after which another router works, or may work, on the answer, so
#: that its stream is not cancelled.
STREAM_KEPT_KINDS = frozenset({"superseded", "leaving"})


async def complete(request: web.Request) -> web.StreamResponse:
    """Handle ``POST /v1/completions``."""
    return await answer_completion(request, chat=False)


async def complete_chat(request: web.Request) -> web.StreamResponse:
    """Handle ``POST /v1/chat/completions``."""
    return await answer_completion(request, chat=True)


async def list_models(request: web.Request) -> web.StreamResponse:
    """Handle ``GET /v1/models``."""
    router = request.app[ROUTER]
    authenticate_caller(request)
    pools = [it for it in router.view.tables.pools if it.kind is PoolKind.ENGINE]
    names = sorted({pool.model for pool in pools})
    models = [{"id": name, "object": "model", "owned_by": "pool"} for name in names]
    return web.json_response({"object": "list", "data": models})


async def answer_completion(request: web.Request, chat: bool) -> web.StreamResponse:
    """
    Handle a completion request of either API.

    Parameters
    ----------
    request : aiohttp.web.Request
        The request.
    chat : bool
        Whether the request uses the chat API.
    """
    router = request.app[ROUTER]
    workspace = authenticate_caller(request)
    parsed = parse_completion(await request.read(), chat)
    if parsed.is_error():
        return problem_response(parsed.error)
    route = find_route(router, workspace, parsed.ok)
    event_id = request.headers.get("Last-Event-ID", "")
    if event_id and parsed.ok.stream:
        return await resume_answer(request, route, workspace, parsed.ok, event_id)
    answer = make_answer(router, workspace, parsed.ok, route)
    refusal = refuse_harmful(router, answer)
    if refusal is not None:
        return problem_response(refusal)
    with within_quota(router, workspace):
        async with admitted(router, answer, workspace):
            return await send_answer(request, router, answer)


async def resume_answer(
    request: web.Request,
    route: Route,
    workspace: Workspace,
    completion_request: CompletionRequest,
    event_id: str,
) -> web.StreamResponse:
    """
    Resume the answer that is identified by the caller's last event id.

    If the answer is complete, only the final event is sent.
    """
    router = request.app[ROUTER]
    point = check_event_id(router, workspace, event_id)
    if point.finished:
        return web.Response(body=DONE_EVENT, headers=EVENT_HEADERS)
    answer = await restore_answer(router, route, completion_request, point)
    router.counters["answers_resumed"] += 1
    return await send_answer(request, router, answer)


async def send_answer(
    request: web.Request, router: Router, answer: Answer
) -> web.StreamResponse:
    """
    Send an answer as a stream or as one document, as the request asks.

    An answer that is unfinished at the end is cancelled at its engines.
    """
    try:
        if answer.completion_request.stream:
            return await send_stream(request, router, answer)
        return await send_json(request, router, answer)
    except FailureError as error:
        answer.ended_by = error.failure
        raise
    finally:
        cancel_unfinished(router, answer)


def cancel_unfinished(router: Router, answer: Answer) -> None:
    """
    Cancel an unfinished answer at its engines, in the background.

    An answer on which another router works, or may work, is kept.  If the caller of
    a stream has disconnected, the answer is cancelled only if it has not been resumed
    within the resume window.
    """
    kind = answer.ended_by.kind if answer.ended_by is not None else ""
    if answer.ledger.finish_reason or kind in STREAM_KEPT_KINDS:
        return
    if kind == "caller-gone" and answer.completion_request.stream:
        router.spawn(cancel_abandoned(router, answer))
    else:
        router.spawn(cancel_answer(router, answer))


def find_route(
    router: Router, workspace: Workspace, completion_request: CompletionRequest
) -> Route:
    """
    Return the first route that matches a completion request.

    Raises
    ------
    FailureError
        If no route matches.
    """
    traits = RequestTraits(
        workspace.id, model=completion_request.model, priority=workspace.priority
    )
    route = match_completion(router.view.tables, traits)
    if route is None:
        detail = (
            f"no route answers model {completion_request.model!r} for this workspace"
        )
        raise FailureError(Failure(Step.ROUTE, "", "unknown-model", detail))
    return route


def make_answer(
    router: Router,
    workspace: Workspace,
    completion_request: CompletionRequest,
    route: Route,
) -> Answer:
    """
    Return the initial state of an answer.

    The request is counted for the route's retry budget.
    """
    pool = router.view.tables.find_pool(route.pool)
    router.retry_budget(route).record_request(router.clock.monotonic())
    version = draw_version(route, pool, router.rng)
    request = current_request(router.rng)
    return Answer(
        request=request,
        workspace=workspace.id,
        completion_request=completion_request,
        route=route,
        pool=pool,
        version=version,
        deadline=router.clock.monotonic() + route.deadline,
        ledger=AnswerLedger(request, version, pool.layer_count),
    )


def refuse_harmful(router: Router, answer: Answer) -> Failure | None:
    """Return the failure of an answer whose request has ended engines, or None."""
    now = router.clock.monotonic()
    return router.crash_watch.refuse(answer.subject, answer.request, now)


async def send_json(
    request: web.Request, router: Router, answer: Answer
) -> web.StreamResponse:
    """Generate the whole answer and send it as one JSON document."""
    async with aclosing(generate(router, answer)) as batches:
        async for _ in batches:
            if request.transport is None:
                detail = "the caller has gone"
                raise FailureError(Failure(Step.SEND, "", "caller-gone", detail))
    text = "".join(answer.ledger.tokens)
    choice: dict = {"index": 0, "finish_reason": answer.ledger.finish_reason}
    if answer.completion_request.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    prompt_tokens, completion_tokens = (
        len(answer.completion_request.prompt),
        len(answer.ledger.tokens),
    )
    usage = {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
    }
    object_type = (
        "chat.completion" if answer.completion_request.chat else "text_completion"
    )
    document = common_fields(router, answer, object_type) | {
        "choices": [choice],
        "usage": usage,
    }
    return web.json_response(document)


async def cancel_abandoned(router: Router, answer: Answer) -> None:
    """
    Wait for the resume window, and cancel an answer that nobody has resumed.

    The caller may have resumed it at this or another router.
    """
    await router.clock.sleep(router.settings.resume_window)
    if not answer.chain:
        return
    head, attempt = answer.chain[0], answer.ledger.attempt
    if await router.engines.cancel(head, answer.request, attempt, unread_only=True):
        router.counters["answers_abandoned"] += 1
        await cancel_answer(router, answer)


async def cancel_answer(router: Router, answer: Answer) -> None:
    """Cancel an answer at every stage of its chain."""
    for stage in answer.chain:
        await router.engines.cancel(stage, answer.request, answer.ledger.attempt)
