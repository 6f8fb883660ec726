"""The router's application: routes, limits and errors."""

import asyncio
import contextlib

from aiohttp import web

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.logs import get_logger
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.router.app_keys import ROUTER
from lentilhaven.router.completions import complete, complete_chat, list_models
from lentilhaven.router.problems import bad_request, problem_response
from lentilhaven.router.router import Router
from lentilhaven.router.services import forward_call

log = get_logger("router")


def router_app(router: Router) -> web.Application:
    """
    Return the application that serves callers.

    Parameters
    ----------
    router : Router
        The router.
    """
    app = web.Application(
        client_max_size=router.settings.max_body_bytes, middlewares=[guard]
    )
    app[ROUTER] = router
    app.router.add_post("/v1/completions", complete)
    app.router.add_post("/v1/chat/completions", complete_chat)
    app.router.add_get("/v1/models", list_models)
    app.router.add_get("/healthz", read_health)
    app.router.add_get("/readyz", read_readiness)
    app.router.add_route("*", "/services/{route}/{path:.*}", forward_call)
    return app


@web.middleware
async def guard(request: web.Request, handler) -> web.StreamResponse:
    """Refuse work while draining, count it, and turn failures into problems."""
    router = request.app[ROUTER]
    if request.path in ("/healthz", "/readyz"):
        return await handler(request)
    if request.transport is not None:
        router.transports.add(request.transport)
    if router.draining:
        failure = Failure(
            Step.ADMIT, "", "leaving", "this VM is leaving", retry_after=1.0
        )
        refusal = problem_response(failure)
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
        return await handler(request)
    except asyncio.CancelledError:
        task = asyncio.current_task()
        if not request.app[ROUTER].cutting or task is None:
            raise
        task.uncancel()
        return problem_response(cut_off())
    except Exception as error:
        return problem_response(explain_error(request, error))


def explain_error(request: web.Request, error: Exception) -> Failure:
    """Return the failure that an exception of a handler stands for."""
    if isinstance(error, FailureError):
        return error.failure
    if isinstance(error, web.HTTPRequestEntityTooLarge):
        return Failure(Step.PARSE, "", "too-large", error.text or "body too large")
    if isinstance(error, web.HTTPException) and error.status in (404, 405):
        return Failure(Step.ROUTE, "", "no-route", request.path)
    if isinstance(error, web.HTTPException):
        return bad_request(error.reason)
    if isinstance(error, ConnectionError):
        # The caller has gone while it was sending; nobody reads the response.
        return bad_request("the connection was lost")
    log.error("request failed", path=request.path, error=repr(error))
    return Failure(Step.STREAM, "", "internal", "internal error", Ran.UNKNOWN)


def cut_off() -> Failure:
    """Return the failure of a request that a shutdown has cut off."""
    detail = "this VM is leaving and could not wait for the answer"
    return Failure(Step.STREAM, "", "leaving", detail, Ran.UNKNOWN, retry_after=1.0)


async def read_health(request: web.Request) -> web.Response:
    """Answer that the process runs."""
    return web.json_response({"healthy": True})


async def read_readiness(request: web.Request) -> web.Response:
    """Answer whether the balancer should send new requests here."""
    ready = request.app[ROUTER].ready
    return web.json_response({"ready": ready}, status=200 if ready else 503)
