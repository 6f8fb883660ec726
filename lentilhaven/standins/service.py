"""
A plain service with idempotent lookups and non-idempotent postings.

``GET /items/NAME`` reads a count; ``POST /postings`` changes one and is counted
by its ``Idempotency-Key``, so that a test can tell how often each key ran.
"""

import asyncio
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
    lookups : int
        Number of lookups.
    delay : float
        Seconds that each call takes.
    dead : bool
        Connections break after the call ran.
    """

    runs: Counter[str] = attrs.field(factory=Counter)
    lookups: int = 0
    delay: float = 0.0
    dead: bool = False


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
    await asyncio.sleep(service.delay)
    service.runs[key] += 1
    if service.dead and request.transport is not None:
        request.transport.abort()
        raise asyncio.CancelledError
    return web.json_response({"posted": body, "serial": sum(service.runs.values())})
