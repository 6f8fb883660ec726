"""The router's application: routes, limits and errors."""

from aiohttp import web

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.step import Step
from lentilhaven.router.app_keys import ROUTER
from lentilhaven.router.completions import complete, complete_chat, list_models
from lentilhaven.router.problems import bad_request, problem_response
from lentilhaven.router.router import Router
from lentilhaven.router.services import forward_call


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
    if router.draining:
        return problem_response(
            Failure(Step.ADMIT, "", "leaving", "this VM is leaving", retry_after=1.0)
        )
    with router.counted_request():
        try:
            return await handler(request)
        except FailureError as error:
            return problem_response(error.failure)
        except web.HTTPRequestEntityTooLarge as error:
            return problem_response(
                Failure(Step.PARSE, "", "too-large", error.text or "body too large")
            )
        except web.HTTPException as error:
            if error.status in (404, 405):
                failure = Failure(Step.ROUTE, "", "no-route", f"{request.path}")
                return problem_response(failure)
            return problem_response(bad_request(error.reason))


async def read_health(request: web.Request) -> web.Response:
    """Answer that the process runs."""
    return web.json_response({"healthy": True})


async def read_readiness(request: web.Request) -> web.Response:
    """Answer whether the balancer should send new requests here."""
    ready = request.app[ROUTER].ready
    return web.json_response({"ready": ready}, status=200 if ready else 503)
