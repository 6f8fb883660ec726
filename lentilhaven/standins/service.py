"""
A plain service with idempotent lookups and non-idempotent postings.

``GET /items/NAME`` reads a count; ``POST /postings`` and ``PUT /postings``
change one and are counted by their ``Idempotency-Key``, so that a test can tell
how often each key ran.  A service may check keys itself, and answer
``GET /idempotency-keys/KEY`` with what became of a key.
"""

import asyncio
import base64
import random
from collections import Counter

import attrs
from aiohttp import web

SERVICE: web.AppKey["Service"] = web.AppKey("service")


@attrs.define
class Service:
    """
    State of the stand-in.

    Attributes
    ----------
    runs : Counter
        Number of times that each idempotency key ran.
    attempts : Counter
        Number of runs by the ``X-Attempt`` header of the caller.
    serial : int
        Number of all runs.
    responses : dict
        Body of the response of each key that ran.
    lookups : int
        Number of lookups.
    delay : float
        Seconds that each call takes.
    dead : bool
        Connections break after the call ran.
    checks_keys : bool
        Whether a key that ran is answered without running again.
    answers_status : bool
        Whether the service says what became of a key.
    lost_before_rate, lost_after_rate : float
        Shares of calls whose connection breaks before and after they run.
    source : random.Random
        Decides which calls meet a fault.
    """

    runs: Counter[str] = attrs.field(factory=Counter)
    attempts: Counter[str] = attrs.field(factory=Counter)
    serial: int = 0
    responses: dict[str, bytes] = attrs.field(factory=dict)
    lookups: int = 0
    delay: float = 0.0
    dead: bool = False
    checks_keys: bool = False
    answers_status: bool = False
    lost_before_rate: float = 0.0
    lost_after_rate: float = 0.0
    source: random.Random = attrs.field(factory=lambda: random.Random(1))


def service_app(service: Service) -> web.Application:
    """
    Return the application that serves `service`.

    Parameters
    ----------
    service : Service
        State and faults.
    """
    app = web.Application()
    app[SERVICE] = service
    app.router.add_get("/items/{name}", read_item)
    app.router.add_post("/postings", post_item)
    app.router.add_put("/postings", post_item)
    app.router.add_get("/idempotency-keys/{key:.+}", read_status)
    return app


async def read_item(request: web.Request) -> web.Response:
    """Answer an item's count."""
    service = request.app[SERVICE]
    service.lookups += 1
    await asyncio.sleep(service.delay)
    return web.json_response({"item": request.match_info["name"], "count": 7})


async def post_item(request: web.Request) -> web.Response:
    """Run a posting."""
    service = request.app[SERVICE]
    key = request.headers.get("Idempotency-Key", "")
    body = await request.json()
    if service.source.random() < service.lost_before_rate:
        break_connection(request)
    await asyncio.sleep(service.delay)
    if not (service.checks_keys and key in service.responses):
        run_posting(service, key, request.headers.get("X-Attempt", ""), body)
    if service.dead or service.source.random() < service.lost_after_rate:
        break_connection(request)
    return web.Response(body=service.responses[key], content_type="application/json")


def run_posting(service: Service, key: str, attempt: str, body: object) -> None:
    """Count a run and keep its response."""
    service.runs[key] += 1
    service.attempts[attempt] += 1
    service.serial += 1
    document = {"posted": body, "serial": service.serial}
    service.responses[key] = web.json_response(document).body  # type: ignore[assignment]


def break_connection(request: web.Request) -> None:
    """Break the caller's connection without a response."""
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError


async def read_status(request: web.Request) -> web.Response:
    """Answer what became of a key."""
    service = request.app[SERVICE]
    key = request.match_info["key"]
    if not service.answers_status or key not in service.responses:
        return web.json_response({"state": "absent"}, status=404)
    document = {
        "state": "done",
        "status": 200,
        "content_type": "application/json",
        "body": base64.b64encode(service.responses[key]).decode(),
    }
    return web.json_response(document)
