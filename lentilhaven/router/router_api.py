"""The router's application: routes, limits and errors."""

import asyncio
import contextlib

from aiohttp import web
from structlog.contextvars import bind_contextvars

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.logs import describe_defect, get_logger
from lentilhaven.core.ran import Ran
from lentilhaven.core.request_context import REQUEST_ID, bind_request, new_request_id
from lentilhaven.core.step import Step
from lentilhaven.router.app_keys import INDEX, ROUTER, read_workspace
from lentilhaven.router.authentication import WorkspaceIndex
from lentilhaven.router.completions import complete, complete_chat, list_models
from lentilhaven.router.idempotency_key import find_bad_key
from lentilhaven.router.problems import bad_request, problem_response
from lentilhaven.router.router import Router
from lentilhaven.router.services import forward_call
from lentilhaven.serving.guarded_connection import internal_failure
from lentilhaven.serving.metrics import Metrics
from lentilhaven.serving.request_metrics import measure_first_token, measure_requests

#: Paths that need no token.
OPEN_PATHS = frozenset({"/healthz", "/readyz"})

#: Name under which a request remembers that its response has begun.
BEGUN = "begun"

log = get_logger("router")


def router_app(router: Router, metrics: Metrics | None = None) -> web.Application:
    """
    Return the application that serves callers.

    Parameters
    ----------
    router : Router
        The router.
    metrics : Metrics or None
        Instruments; None measures nothing.
    """
    middlewares = [measure_requests(metrics), guard] if metrics else [guard]
    app = web.Application(
        client_max_size=router.settings.max_body_bytes, middlewares=middlewares
    )
    app[ROUTER] = router
    app[INDEX] = WorkspaceIndex()
    app.on_response_prepare.append(name_request)
    if metrics:
        app.on_response_prepare.append(measure_first_token(metrics))
    app.router.add_post("/v1/completions", complete)
    app.router.add_post("/v1/chat/completions", complete_chat)
    app.router.add_get("/v1/models", list_models)
    app.router.add_get("/healthz", read_health)
    app.router.add_get("/readyz", read_readiness)
    app.router.add_route("*", "/services/{route}/{path:.*}", forward_call)
    return app


async def name_request(request: web.Request, response: web.StreamResponse) -> None:
    """Tell the caller the request's id."""
    request[BEGUN] = True
    identifier = REQUEST_ID.get()
    if identifier is not None:
        response.headers["X-Request-Id"] = identifier


@web.middleware
async def guard(request: web.Request, handler) -> web.StreamResponse:
    """Refuse work while draining, count it, and turn failures into problems."""
    router = request.app[ROUTER]
    if request.path in OPEN_PATHS:
        return await handler(request)
    identifier = new_request_id(router.random)
    bind_request(identifier, request.headers.get("traceparent", ""))
    if request.transport is not None:
        router.transports.add(request.transport)
    if router.draining:
        refusal = problem_response(leaving("this VM is leaving", Ran.NO))
        refusal.force_close()
        return refusal
    with router.counted_request(request.method, request.path):
        response = await run_handler(request, handler)
        if router.leaving:
            # The caller's next request should go to another VM.
            response.force_close()
        await finish_response(request, response)
        return response


async def finish_response(request: web.Request, response: web.StreamResponse) -> None:
    """Send a response to its end while its request still counts as in flight."""
    with contextlib.suppress(ConnectionError):
        await response.prepare(request)
        await response.write_eof()


async def run_handler(request: web.Request, handler) -> web.StreamResponse:
    """Run a handler and turn its failures into problems."""
    try:
        await check_request(request)
        return await handler(request)
    except FailureError as error:
        return problem_response(error.failure)
    except web.HTTPException as error:
        return problem_response(failure_of_status(request, error))
    except asyncio.CancelledError:
        task = asyncio.current_task()
        if not request.app[ROUTER].cutting or task is None:
            raise
        task.uncancel()
        detail = "this VM is leaving and could not wait for the answer"
        return problem_response(leaving(detail, Ran.UNKNOWN))
    except ConnectionError:
        raise
    except Exception as error:
        return answer_defect(request, error)


def leaving(detail: str, ran: Ran) -> Failure:
    """Return the failure of a request at a VM that is leaving."""
    return Failure(Step.ADMIT, "", "leaving", detail, ran, retry_after=1.0)


async def check_request(request: web.Request) -> None:
    """
    Authenticate the caller, then read the body, within the listener's time.

    Raises
    ------
    FailureError
        If the caller is unknown, the key malformed or the body too slow.
    """
    workspace = read_workspace(request)
    bind_contextvars(workspace=workspace.id)
    bad_key = find_bad_key(request.headers)
    if bad_key is not None:
        raise FailureError(bad_key)
    limit = request.app[ROUTER].settings.limits.body_timeout
    try:
        async with asyncio.timeout(limit):
            await request.read()
    except TimeoutError as error:
        detail = f"the body took more than {limit:g} s"
        raise FailureError(Failure(Step.PARSE, "", "slow", detail)) from error
    except web.RequestPayloadError as error:
        raise FailureError(bad_request("the body is malformed")) from error


def failure_of_status(request: web.Request, error: web.HTTPException) -> Failure:
    """Return the failure that an exception of the HTTP library stands for."""
    if isinstance(error, web.HTTPRequestEntityTooLarge):
        limit = request.app[ROUTER].settings.max_body_bytes
        detail = f"the body is larger than {limit} bytes"
        return Failure(Step.PARSE, "", "too-large", detail)
    if error.status == 405:
        detail = f"{request.method} is not allowed at this path"
        return Failure(Step.ROUTE, "", "no-method", detail)
    if error.status == 404:
        return Failure(Step.ROUTE, "", "no-route", "nothing answers this path")
    return bad_request(error.reason)


def answer_defect(request: web.Request, error: Exception) -> web.StreamResponse:
    """
    Log a defect and answer 500, or break the connection of a begun response.

    A response that has begun can't turn into another one, and ending it in the
    usual way would look complete.
    """
    log.error("unhandled error", **describe_defect(error))
    if request.get(BEGUN):
        if request.transport is not None:
            request.transport.abort()
        raise ConnectionResetError("the response was broken off") from error
    return problem_response(internal_failure())


async def read_health(request: web.Request) -> web.Response:
    """Answer that the process runs."""
    return web.json_response({"healthy": True})


async def read_readiness(request: web.Request) -> web.Response:
    """Answer whether the balancer should send new requests here."""
    ready = request.app[ROUTER].ready
    return web.json_response({"ready": ready}, status=200 if ready else 503)
