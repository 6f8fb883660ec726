"""
A plain service with idempotent lookups and non-idempotent postings.

A plain service runs no model.  ``GET /items/NAME`` returns a count.
``POST /postings`` and ``PUT /postings`` run a posting and count it by its
``Idempotency-Key``, so that a test can check how often each key ran.  The service can
optionally check keys itself, and return the status of a key on
``GET /idempotency-keys/KEY``.
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
    State and faults of the service.

    Attributes
    ----------
    runs : Counter
        Number of postings run, by idempotency key.
    attempts : Counter
        Number of postings run, by the ``X-Attempt`` header of the request.
    serial : int
        Total number of postings run, which is the serial number of the newest one.
    responses : dict
        Body of the newest response, by idempotency key.
    lookups : int
        Number of lookups so far.
    delay : float
        Duration of each lookup and posting, in seconds.
    dead : bool
        Whether every posting still runs, but its connection breaks before the response.
    checks_keys : bool
        Whether a repeated key gets the recorded response instead of a second run.
    answers_status : bool
        Whether the service returns the status of a key; if not, every key is reported
        as absent.
    lost_before_rate, lost_after_rate : float
        Fraction of postings whose connection breaks before they run, and fraction of
        postings whose connection breaks after they ran.
    crashing_text : str
        Text in the path or body of a request that crashes the service, which is up
        again at once; empty for none.
    crashes : int
        Number of crashes.
    source : random.Random
        Random number generator that selects the postings that fail.
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
    crashing_text: str = ""
    crashes: int = 0
    source: random.Random = attrs.field(factory=lambda: random.Random(1))


def service_app(service: Service) -> web.Application:
    """
    Return the application that serves a plain service.

    Parameters
    ----------
    service : Service
        State and faults of the service.
    """
    app = web.Application(middlewares=[crash_middleware])
    app[SERVICE] = service
    app.router.add_get("/items/{name}", read_item)
    app.router.add_post("/postings", post_item)
    app.router.add_put("/postings", post_item)
    app.router.add_get("/idempotency-keys/{key:.+}", read_status)
    return app


@web.middleware
async def crash_middleware(request: web.Request, handler) -> web.StreamResponse:
    """Let the service crash on a request with `Service.crashing_text`."""
    service = request.app[SERVICE]
    text = service.crashing_text
    if text and text in request.path + await request.text():
        service.crashes += 1
        break_connection(request)
    return await handler(request)


async def read_item(request: web.Request) -> web.Response:
    """Return the count of an item, which is the same for all."""
    service = request.app[SERVICE]
    service.lookups += 1
    await asyncio.sleep(service.delay)
    return web.json_response({"item": request.match_info["name"], "count": 7})


async def post_item(request: web.Request) -> web.Response:
    """
    Run a posting and return its response.

    If `checks_keys` is set and the key has run, the posting does not run again and the
    recorded response is returned.
    """
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
    """Count a run of a posting and record its response under its key."""
    service.runs[key] += 1
    service.attempts[attempt] += 1
    service.serial += 1
    document = {"posted": body, "serial": service.serial}
    service.responses[key] = web.json_response(document).body  # type: ignore[assignment]


def break_connection(request: web.Request) -> None:
    """
    Abort the connection of a request without a response.

    Raises `asyncio.CancelledError` to end the handler.
    """
    if request.transport is not None:
        request.transport.abort()
    raise asyncio.CancelledError


async def read_status(request: web.Request) -> web.Response:
    """Return the status of a key, with the recorded response if its posting ran."""
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
