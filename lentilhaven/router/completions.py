"""The handlers of completion requests."""

from contextlib import aclosing

from aiohttp import web

from lentilhaven.answers.answer_ledger import AnswerLedger
from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.request_context import current_request
from lentilhaven.core.step import Step
from lentilhaven.router.admission import admitted, within_quota
from lentilhaven.router.answer import Answer
from lentilhaven.router.answering import generate
from lentilhaven.router.app_keys import ROUTER, read_workspace
from lentilhaven.router.caller_stream import EVENT_HEADERS, send_stream
from lentilhaven.router.completion_events import DONE, envelope
from lentilhaven.router.completion_request import CompletionRequest, parse_completion
from lentilhaven.router.problems import problem_response
from lentilhaven.router.resuming import check_event_id, find_answer
from lentilhaven.router.router import Router
from lentilhaven.tables.matching import RequestTraits, draw_version, match_completion
from lentilhaven.tables.pool import PoolKind
from lentilhaven.tables.route import Route
from lentilhaven.tables.workspace import Workspace

#: Ends after which another router works on the answer, or may.
KEPT = frozenset({"superseded", "leaving"})


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
    route = find_route(router, workspace, parsed.ok)
    event_id = request.headers.get("Last-Event-ID", "")
    if event_id and parsed.ok.stream:
        return await resume_answer(request, route, workspace, parsed.ok, event_id)
    answer = make_answer(router, workspace, parsed.ok, route)
    with within_quota(router, workspace):
        async with admitted(router, answer, workspace):
            return await send_answer(request, router, answer)


async def resume_answer(
    request: web.Request,
    route: Route,
    workspace: Workspace,
    wanted: CompletionRequest,
    event_id: str,
) -> web.StreamResponse:
    """Go on with the answer that the caller's last event id names."""
    router = request.app[ROUTER]
    point = check_event_id(router, workspace, event_id)
    if point.finished:
        return web.Response(body=DONE, headers=EVENT_HEADERS)
    answer = await find_answer(router, route, wanted, point)
    router.counters["answers_resumed"] += 1
    return await send_answer(request, router, answer)


async def send_answer(
    request: web.Request, router: Router, answer: Answer
) -> web.StreamResponse:
    """Send an answer in the form that the caller asked for."""
    try:
        if answer.wanted.stream:
            return await send_stream(request, router, answer)
        return await send_whole(request, router, answer)
    except FailureError as error:
        answer.ended_by = error.failure
        raise
    finally:
        clean_up(router, answer)


def clean_up(router: Router, answer: Answer) -> None:
    """Let engines drop what nobody will ask for any more."""
    kind = answer.ended_by.kind if answer.ended_by is not None else ""
    if answer.ledger.finish_reason or kind in KEPT:
        return
    if kind == "caller-gone" and answer.wanted.stream:
        router.spawn(leave_answer(router, answer))
    else:
        router.spawn(cancel_answer(router, answer))


def find_route(
    router: Router, workspace: Workspace, wanted: CompletionRequest
) -> Route:
    """
    Return the route that answers a request.

    Raises
    ------
    FailureError
        If there is none.
    """
    traits = RequestTraits(
        workspace.id, model=wanted.model, priority=workspace.priority
    )
    route = match_completion(router.view.tables, traits)
    if route is None:
        detail = f"no route answers model {wanted.model!r} for this workspace"
        raise FailureError(Failure(Step.ROUTE, "", "unknown-model", detail))
    return route


def make_answer(
    router: Router, workspace: Workspace, wanted: CompletionRequest, route: Route
) -> Answer:
    """Return the answer to work on."""
    pool = router.view.tables.pool(route.pool)
    router.budget(route).record_request(router.clock.monotonic())
    version = draw_version(route, pool, router.random)
    request = current_request(router.random)
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


async def send_whole(
    request: web.Request, router: Router, answer: Answer
) -> web.StreamResponse:
    """Collect the answer and send it as one JSON document."""
    async with aclosing(generate(router, answer)) as batches:
        async for _ in batches:
            if request.transport is None:
                detail = "the caller has gone"
                raise FailureError(Failure(Step.SEND, "", "caller-gone", detail))
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


async def leave_answer(router: Router, answer: Answer) -> None:
    """Cancel an answer unless its caller has come back, here or elsewhere."""
    await router.clock.sleep(router.settings.resume_window)
    if not answer.chain:
        return
    head, attempt = answer.chain[0], answer.ledger.attempt
    if await router.engines.cancel(head, answer.request, attempt, unread_only=True):
        router.counters["answers_abandoned"] += 1
        await cancel_answer(router, answer)


async def cancel_answer(router: Router, answer: Answer) -> None:
    """Tell every stage to drop an answer that will not be finished."""
    for stage in answer.chain:
        await router.engines.cancel(stage, answer.request, answer.ledger.attempt)
