"""
The HTTP application for operators.

It has a separate listener and separate tokens: the token of a workspace or of the
cluster is rejected here, and an operator's token is rejected everywhere else.
"""

import json
from collections.abc import Callable, Mapping
from typing import Any

import attrs
from aiohttp import web

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.logs import get_logger
from lentilhaven.core.redaction import redact_value
from lentilhaven.core.step import Step
from lentilhaven.serving.metrics import Metrics
from lentilhaven.serving.operator_tokens import is_operator
from lentilhaven.serving.problem_middleware import problem_middleware
from lentilhaven.serving.problems import bad_request, problem_response

#: Version of the state dump's format.
DUMP_FORMAT_VERSION = 1

#: Maximum size of the body of an operator's request, in bytes.
MAX_OPERATOR_BODY = 1_000_000

Document = dict[str, Any]

log = get_logger("operators")


@attrs.frozen
class OperatorCallbacks:
    """
    What a process offers to operators: its state, metrics and a shutdown.

    Attributes
    ----------
    read_status : callable
        Returns a summary of the process's state.
    read_state : callable
        Returns all state on which the process's decisions depend.
    drain : callable
        Starts a graceful shutdown.
    metrics : Metrics
        Metric instruments of the process.
    explain : callable or None
        Takes the description of a request and returns how it would be routed,
        without sending it; None if the process routes no requests.
    """

    read_status: Callable[[], Document]
    read_state: Callable[[], Document]
    drain: Callable[[], None]
    metrics: Metrics
    explain: Callable[[Document], Document] | None = None


SOURCE: web.AppKey[OperatorCallbacks] = web.AppKey("source", OperatorCallbacks)
TOKEN_HASHES: web.AppKey[frozenset] = web.AppKey("hashes", frozenset)


def operators_app(source: OperatorCallbacks, hashes: frozenset[str]) -> web.Application:
    """
    Return the HTTP application for operators.

    Parameters
    ----------
    source : OperatorCallbacks
        The source of the state.
    hashes : frozenset of str
        Hashes of the operators' tokens.
    """
    app = web.Application(
        client_max_size=MAX_OPERATOR_BODY,
        middlewares=[problem_middleware, authenticate_operator],
    )
    app[SOURCE] = source
    app[TOKEN_HASHES] = hashes
    app.router.add_get("/status", read_status)
    app.router.add_get("/debug/state", read_state)
    app.router.add_get("/metrics", read_metrics)
    app.router.add_post("/drain", begin_drain)
    if source.explain is not None:
        app.router.add_post("/explain", explain_request)
    return app


@web.middleware
async def authenticate_operator(request: web.Request, handler) -> web.StreamResponse:
    """Reject requests without an operator's token."""
    if not is_operator(
        request.app[TOKEN_HASHES], request.headers.get("Authorization", "")
    ):
        detail = "an operator's token is required"
        return problem_response(
            Failure(Step.AUTHENTICATE, "", "unauthenticated", detail)
        )
    return await handler(request)


async def read_status(request: web.Request) -> web.Response:
    """Respond with a summary of the process's state."""
    return web.json_response(request.app[SOURCE].read_status())


async def read_state(request: web.Request) -> web.Response:
    """Respond with the state dump."""
    return web.json_response(dump_state(request.app[SOURCE]), dumps=dump_json)


async def read_metrics(request: web.Request) -> web.Response:
    """Respond to a Prometheus scrape."""
    body = request.app[SOURCE].metrics.render()
    headers = {"Content-Type": "text/plain; version=0.0.4; charset=utf-8"}
    return web.Response(body=body, headers=headers)


async def begin_drain(request: web.Request) -> web.Response:
    """Start a graceful shutdown."""
    log.warning("an operator asked this process to drain")
    request.app[SOURCE].drain()
    return web.json_response({"draining": True}, status=202)


async def explain_request(request: web.Request) -> web.Response:
    """Respond with how a request would be routed."""
    try:
        document = json.loads(await request.text())
    except (ValueError, RecursionError) as error:
        raise FailureError(bad_request("the body is not JSON")) from error
    explain = request.app[SOURCE].explain
    if not isinstance(document, dict) or explain is None:
        raise FailureError(bad_request("the body must be a JSON object"))
    return web.json_response(explain(document), dumps=dump_json)


def dump_state(source: OperatorCallbacks) -> Document:
    """
    Return the state of a process with secrets masked.

    Parameters
    ----------
    source : OperatorCallbacks
        The source of the state.
    """
    return {"format": DUMP_FORMAT_VERSION} | redact_value(source.read_state())


def dump_json(document: Mapping) -> str:
    """Return JSON text; a value that is not plain data is converted to a string."""
    return json.dumps(document, default=str, sort_keys=True)
