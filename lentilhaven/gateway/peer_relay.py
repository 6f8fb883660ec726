"""Serves and fetches the manifest and endpoints between gateways over HTTP."""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
from aiohttp import web

from lentilhaven.core.converter import CONVERTER
from lentilhaven.core.logs import get_logger
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.store_watch import adopt_manifest
from lentilhaven.peering.messages import PeerMessage

#: Seconds for which another gateway must be ahead before it is asked: in this time
#: this gateway's watch of the store delivers most changes.
WATCH_HEAD_START = 0.3

#: Maximum random delay before a gateway of a large fleet reads a new manifest from
#: the store, in seconds.  It spreads the reads, and is small compared with the time
#: within which the manifest must take effect.
READ_JITTER = 0.2

#: Seconds between two checks for gateways that are ahead.
CHECK_INTERVAL = 0.1

#: Seconds after which a request to another gateway times out.
REQUEST_TIMEOUT = 0.5

#: Seconds after which the check runs although no gateway seems to be ahead.
MAX_WAIT = 5.0

#: Seconds that request handlers have to finish when the process ends.
CLOSE_TIMEOUT = 0.1

log = get_logger("peering")


async def catch_up(
    gateway: Gateway,
    session: aiohttp.ClientSession,
    read_manifest: Callable[[], Awaitable[bool]],
) -> None:
    """
    Fetch newer state from gateways that are ahead, until cancelled.

    In a large fleet a new manifest is read from the store instead: the leaders'
    links would be busy for seconds if all other gateways fetched it from them.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    session : aiohttp.ClientSession
        Connections to other gateways.
    read_manifest : callable
        Reads the manifest from the store, and returns whether the store answered.
    """
    loop = asyncio.get_running_loop()
    while True:
        if not gateway.gateways_ahead:
            await gateway.behind_signal.wait(MAX_WAIT)
        await asyncio.sleep(CHECK_INTERVAL)
        head_start = WATCH_HEAD_START if gateway.view.is_complete else 0.0
        now = loop.time()
        due = [
            message
            for message, since in gateway.gateways_ahead.values()
            if now - since >= head_start
        ]
        if due:
            newest = max(
                due,
                key=lambda message: (
                    message.manifest_revision,
                    message.endpoints_revision,
                ),
            )
            gateway.gateways_ahead.clear()
            behind = newest.manifest_revision > gateway.view.manifest_revision
            if behind and gateway.peers.is_large_fleet(now):
                await asyncio.sleep(gateway.random.uniform(0.0, READ_JITTER))
                if await read_manifest():
                    continue
            await fetch_newer(gateway, session, newest)


async def fetch_newer(
    gateway: Gateway, session: aiohttp.ClientSession, message: PeerMessage
) -> None:
    """
    Fetch newer state than this gateway's from the sender of a datagram.

    If that fails, it is only logged; a later datagram of a gateway that is ahead
    causes a new attempt.
    """
    view = gateway.view
    query = {
        "manifest": str(view.manifest_revision),
        "endpoints": str(view.endpoints_revision),
    }
    limit = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT)
    try:
        async with session.get(
            f"http://{message.relay}/known", params=query, timeout=limit
        ) as response:
            apply_answer(gateway, await response.json(), message.vm)
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError) as error:
        detail = f"{type(error).__name__}: {error}"
        log.info(
            "gateway does not answer", peer=message.vm, step="relay", detail=detail
        )


def apply_answer(gateway: Gateway, answer: dict[str, Any], source: str) -> None:
    """Apply the manifest and endpoints that another gateway has sent."""
    if answer.get("manifest") is not None:
        adopt_manifest(
            gateway, answer["manifest"], int(answer["manifest_revision"]), source
        )
    if answer.get("endpoints") is not None:
        endpoints = CONVERTER.structure(answer["endpoints"], list[Endpoint])
        revision = int(answer["endpoints_revision"])
        gateway.view.replace_endpoints(endpoints, revision, source)


def make_answer(gateway: Gateway, query: Any) -> dict[str, Any]:
    """
    Return this gateway's revisions, and the state that the query lacks.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    query : mapping
        Revisions of the ``manifest`` and ``endpoints`` that the asking gateway holds.
    """
    view = gateway.view
    answer: dict[str, Any] = {
        "manifest_revision": view.manifest_revision,
        "endpoints_revision": view.endpoints_revision,
    }
    if view.manifest_revision > int(query.get("manifest", 0)):
        answer["manifest"] = view.document
    if view.endpoints_revision > int(query.get("endpoints", 0)):
        answer["endpoints"] = CONVERTER.unstructure(list(view.endpoints.values()))
    return answer


@asynccontextmanager
async def open_relay(gateway: Gateway) -> AsyncIterator[None]:
    """
    Serve the manifest and endpoints to other gateways until the context ends.

    Without an address for this service in the settings, nothing is served.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    """

    async def handle(request: web.BaseRequest) -> web.Response:
        body = json.dumps(make_answer(gateway, request.query)).encode()
        return web.Response(body=body, content_type="application/json")

    if not gateway.settings.peers:
        yield
        return
    server = web.Server(handle, access_log=None)
    host, _, port = gateway.settings.peers.rpartition(":")
    listener = await asyncio.get_running_loop().create_server(server, host, int(port))
    try:
        yield
    finally:
        listener.close()
        await server.shutdown(timeout=CLOSE_TIMEOUT)
