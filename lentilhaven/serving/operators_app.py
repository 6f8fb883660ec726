"""
The application that serves operators.

It has a listener of its own, and tokens of its own: a workspace's or the
cluster's token is refused here, and an operator's token everywhere else.
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
from lentilhaven.serving.problem_guard import guard_problems
from lentilhaven.serving.problems import bad_request, problem_response

#: Version of the form of the state dump.
DUMP_FORMAT = 1

#: Largest request of an operator, in bytes.
MAX_OPERATOR_BODY = 1_000_000

Document = dict[str, Any]

log = get_logger("operators")


@attrs.frozen
class OperatorSource:
    """
    What a process tells operators.

    Attributes
    ----------
    read_status : callable
        Returns a short account of the process.
    read_state : callable
        Returns everything that its decisions rest on.
    drain : callable
        Begins a graceful shutdown.
    metrics : Metrics
        Instruments.
    explain : callable or None
        Returns the account of a request that would be made.
    """

    read_status: Callable[[], Document]
    read_state: Callable[[], Document]
    drain: Callable[[], None]
    metrics: Metrics
    explain: Callable[[Document], Document] | None = None


SOURCE: web.AppKey[OperatorSource] = web.AppKey("source", OperatorSource)
HASHES: web.AppKey[frozenset] = web.AppKey("hashes", frozenset)


def operators_app(source: OperatorSource, hashes: frozenset[str]) -> web.Application:
    """
    Return the application that serves operators.

    Parameters
    ----------
    source : OperatorSource
        What to tell.
    hashes : frozenset of str
        Hashes of the operators' tokens.
    """
    app = web.Application(
        client_max_size=MAX_OPERATOR_BODY, middlewares=[guard_problems, admit_operators]
    )
    app[SOURCE] = source
    app[HASHES] = hashes
    app.router.add_get("/status", read_status)
    app.router.add_get("/debug/state", read_state)
    app.router.add_get("/metrics", read_metrics)
    app.router.add_post("/drain", begin_drain)
    if source.explain is not None:
        app.router.add_post("/explain", explain_request)
    return app


@web.middleware
async def admit_operators(request: web.Request, handler) -> web.StreamResponse:
    """Refuse everybody but operators."""
    if not is_operator(request.app[HASHES], request.headers.get("Authorization", "")):
        detail = "an operator's token is required"
        return problem_response(
            Failure(Step.AUTHENTICATE, "", "unauthenticated", detail)
        )
    return await handler(request)


async def read_status(request: web.Request) -> web.Response:
    """Answer a short account of the process."""
    return web.json_response(request.app[SOURCE].read_status())


async def read_state(request: web.Request) -> web.Response:
    """Answer the state dump."""
    return web.json_response(dump_state(request.app[SOURCE]), dumps=dump_json)


async def read_metrics(request: web.Request) -> web.Response:
    """Answer a Prometheus scrape."""
    body = request.app[SOURCE].metrics.render()
    headers = {"Content-Type": "text/plain; version=0.0.4; charset=utf-8"}
    return web.Response(body=body, headers=headers)


async def begin_drain(request: web.Request) -> web.Response:
    """Begin a graceful shutdown."""
    log.warning("an operator asked this process to drain")
    request.app[SOURCE].drain()
    return web.json_response({"draining": True}, status=202)


async def explain_request(request: web.Request) -> web.Response:
    """Answer how a request would be routed."""
    try:
        document = json.loads(await request.text())
    except (ValueError, RecursionError) as error:
        raise FailureError(bad_request("the body is not JSON")) from error
    explain = request.app[SOURCE].explain
    if not isinstance(document, dict) or explain is None:
        raise FailureError(bad_request("the body must be a JSON object"))
    return web.json_response(explain(document), dumps=dump_json)


def dump_state(source: OperatorSource) -> Document:
    """
    Return the state of a process, without secrets.

    Parameters
    ----------
    source : OperatorSource
        What to tell.
    """
    return {"format": DUMP_FORMAT} | redact_value(source.read_state())


def dump_json(document: Mapping) -> str:
    """Return JSON; anything else than plain data is shown as text."""
    return json.dumps(document, default=str, sort_keys=True)
