"""HTTP application that serves callers: URL routes, limits and error handling."""

import asyncio
import contextlib

from aiohttp import web
from structlog.contextvars import bind_contextvars

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.logs import describe_exception, get_logger
from lentilhaven.core.ran import Ran
from lentilhaven.core.request_context import REQUEST_ID, bind_request, new_request_id
from lentilhaven.core.step import Step
from lentilhaven.router.app_keys import ROUTER, WORKSPACE_INDEX, authenticate_caller
from lentilhaven.router.authentication import WorkspaceIndex
from lentilhaven.router.completions import complete, complete_chat, list_models
from lentilhaven.router.idempotency_key import check_idempotency_key
from lentilhaven.router.problems import bad_request, problem_response
from lentilhaven.router.router import Router
from lentilhaven.router.services import forward_call
from lentilhaven.serving.guarded_connection import internal_failure
from lentilhaven.serving.metrics import Metrics
from lentilhaven.serving.request_metrics import measure_first_token, measure_requests

#: Paths of the health checks, which need no token and are served while draining.
HEALTH_PATHS = frozenset({"/healthz", "/readyz"})

#: Key of the flag on a request whose response has started.
RESPONSE_STARTED = "begun"

log = get_logger("router")


def router_app(router: Router, metrics: Metrics | None = None) -> web.Application:
    """
    Return the application that serves callers.

    Parameters
    ----------
    router : Router
        Router that answers the requests.
    metrics : Metrics or None
        Instruments of the request metrics; None records none.
    """
    middlewares = (
        [measure_requests(metrics), handle_request] if metrics else [handle_request]
    )
    app = web.Application(
        client_max_size=router.settings.max_body_bytes, middlewares=middlewares
    )
    app[ROUTER] = router
    app[WORKSPACE_INDEX] = WorkspaceIndex()
    app.on_response_prepare.append(add_request_id)
    app.on_response_prepare.append(announce_leaving)
    if metrics:
        app.on_response_prepare.append(measure_first_token(metrics))
    app.router.add_post("/v1/completions", complete)
    app.router.add_post("/v1/chat/completions", complete_chat)
    app.router.add_get("/v1/models", list_models)
    app.router.add_get("/healthz", read_health)
    app.router.add_get("/readyz", read_readiness)
    app.router.add_route("*", "/services/{route}/{path:.*}", forward_call)
    return app


async def add_request_id(request: web.Request, response: web.StreamResponse) -> None:
    """Mark the response as started, and add the request id to its headers."""
    request[RESPONSE_STARTED] = True
    request_id = REQUEST_ID.get()
    if request_id is not None:
        response.headers["X-Request-Id"] = request_id


async def announce_leaving(request: web.Request, response: web.StreamResponse) -> None:
    """
    End the connection of a VM that is leaving, and say so in the head.

    On a new connection, the caller's next request can reach another VM.  A stream that
    began before keeps its connection, of which its head has said nothing.
    """
    if request.app[ROUTER].leaving and request.path not in HEALTH_PATHS:
        response.force_close()
        response.headers["Connection"] = "close"


@web.middleware
async def handle_request(request: web.Request, handler) -> web.StreamResponse:
    """Refuse a request while draining; otherwise count it in flight and answer it."""
    router = request.app[ROUTER]
    if request.path in HEALTH_PATHS:
        return await handler(request)
    request_id = new_request_id(router.rng)
    bind_request(request_id, request.headers.get("traceparent", ""))
    if request.transport is not None:
        router.transports.add(request.transport)
    if router.draining:
        refusal = problem_response(leaving_failure("this VM is leaving", Ran.NO))
        refusal.force_close()
        return refusal
    with router.counted_request(request.method, request.path):
        response = await run_handler(request, handler)
        await finish_response(request, response)
        return response


async def finish_response(request: web.Request, response: web.StreamResponse) -> None:
    """Send a response completely while its request still counts as in flight."""
    with contextlib.suppress(ConnectionError):
        await response.prepare(request)
        await response.write_eof()


async def run_handler(request: web.Request, handler) -> web.StreamResponse:
    """Run a handler and convert its failures to problem documents."""
    try:
        await check_request(request)
        return await handler(request)
    except FailureError as error:
        return problem_response(error.failure)
    except web.HTTPException as error:
        return problem_response(failure_from_http_error(request, error))
    except asyncio.CancelledError:
        task = asyncio.current_task()
        if not request.app[ROUTER].cutting_off or task is None:
            raise
        # The shutdown has cancelled the request; the caller still gets a response.
        task.uncancel()
        detail = "this VM is leaving and could not wait for the answer"
        return problem_response(leaving_failure(detail, Ran.UNKNOWN))
    except ConnectionError:
        raise
    except Exception as error:
        return answer_unexpected_error(request, error)


def leaving_failure(detail: str, ran: Ran) -> Failure:
    """Return the failure of a request that a VM refuses or cuts off as it leaves."""
    return Failure(Step.ADMIT, "", "leaving", detail, ran, retry_after=1.0)


async def check_request(request: web.Request) -> None:
    """
    Authenticate the caller, validate the idempotency key and read the body.

    Raises
    ------
    FailureError
        If the token is unknown, the key or the body is malformed, the body takes
        longer than the listener's limit, or the VM refuses requests before it ends.
    """
    workspace = authenticate_caller(request)
    bind_contextvars(workspace=workspace.id)
    bad_key = check_idempotency_key(request.headers)
    if bad_key is not None:
        raise FailureError(bad_key)
    router = request.app[ROUTER]
    limit = router.settings.limits.body_timeout
    try:
        async with (
            router.intake_limits.limited() as stop_scope,
            asyncio.timeout(limit),
        ):
            await request.read()
    except TimeoutError as error:
        if stop_scope.expired():
            failure = leaving_failure("this VM is leaving", Ran.NO)
            raise FailureError(failure) from error
        detail = f"the body took more than {limit:g} s"
        raise FailureError(Failure(Step.PARSE, "", "slow", detail)) from error
    except web.RequestPayloadError as error:
        raise FailureError(bad_request("the body is malformed")) from error
    if router.draining:
        raise FailureError(leaving_failure("this VM is leaving", Ran.NO))


def failure_from_http_error(request: web.Request, error: web.HTTPException) -> Failure:
    """Convert an exception of the HTTP library to a failure."""
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


def answer_unexpected_error(
    request: web.Request, error: Exception
) -> web.StreamResponse:
    """
    Log an unexpected error; answer 500, or abort a response that has started.

    The status of a response that has started can't be changed, and ending the
    response normally would make it look complete.
    """
    log.error("unhandled error", **describe_exception(error))
    if request.get(RESPONSE_STARTED):
        if request.transport is not None:
            request.transport.abort()
        raise ConnectionResetError("the response was broken off") from error
    return problem_response(internal_failure())


async def read_health(request: web.Request) -> web.Response:
    """Answer ``/healthz``: the process is running."""
    return web.json_response({"healthy": True})


async def read_readiness(request: web.Request) -> web.Response:
    """Answer ``/readyz``: 200 if new requests should be sent here, else 503."""
    ready = request.app[ROUTER].ready
    return web.json_response({"ready": ready}, status=200 if ready else 503)
