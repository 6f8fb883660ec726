"""Passing on what the store has said, from gateway to gateway."""

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
from lentilhaven.gateway.store_watching import adopt
from lentilhaven.peering.news import PeerNews

#: Seconds for which another gateway must be ahead before it is asked: most
#: changes arrive by the own watch in this time.
HEAD_START = 0.3

#: Most seconds by which gateways of a large fleet read a manifest one after the
#: other; a small part of the time in which it must be in force.
SPREAD = 0.2

#: Seconds between two looks, and after which an answer is given up.
INTERVAL = 0.1
TIMEOUT = 0.5

#: Seconds after which it is looked again although nobody seems to be ahead.
LONGEST_WAIT = 5.0

#: Seconds for handlers to end once the process ends.
CLOSE_TIMEOUT = 0.1

log = get_logger("peering")


async def catch_up(
    gateway: Gateway,
    session: aiohttp.ClientSession,
    read_manifest: Callable[[], Awaitable[bool]],
) -> None:
    """
    Ask gateways that know something newer, for ever.

    In a large fleet a manifest is read from the store: the leaders' links would be
    busy for seconds if all the others asked them.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    session : aiohttp.ClientSession
        Connections.
    read_manifest : callable
        Reads the manifest from the store, and returns whether that answered.
    """
    loop = asyncio.get_running_loop()
    while True:
        if not gateway.ahead:
            await gateway.behind.wait(LONGEST_WAIT)
        await asyncio.sleep(INTERVAL)
        patience = HEAD_START if gateway.view.known else 0.0
        now = loop.time()
        late = [
            news for news, since in gateway.ahead.values() if now - since >= patience
        ]
        if late:
            newest = max(
                late, key=lambda it: (it.manifest_revision, it.endpoints_revision)
            )
            gateway.ahead.clear()
            behind = newest.manifest_revision > gateway.view.manifest_revision
            if behind and gateway.peers.is_large(now):
                await asyncio.sleep(gateway.random.uniform(0.0, SPREAD))
                if await read_manifest():
                    continue
            await fetch(gateway, session, newest)


async def fetch(
    gateway: Gateway, session: aiohttp.ClientSession, news: PeerNews
) -> None:
    """Ask one gateway for everything that is newer than what is known here."""
    view = gateway.view
    query = {
        "manifest": str(view.manifest_revision),
        "endpoints": str(view.endpoints_revision),
    }
    limit = aiohttp.ClientTimeout(total=TIMEOUT)
    try:
        async with session.get(
            f"http://{news.relay}/known", params=query, timeout=limit
        ) as response:
            take(gateway, await response.json(), news.vm)
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError, KeyError) as error:
        detail = f"{type(error).__name__}: {error}"
        log.info("gateway does not answer", peer=news.vm, step="relay", detail=detail)


def take(gateway: Gateway, answer: dict[str, Any], source: str) -> None:
    """Take over what another gateway knows."""
    if answer.get("manifest") is not None:
        adopt(gateway, answer["manifest"], int(answer["manifest_revision"]), source)
    if answer.get("endpoints") is not None:
        endpoints = CONVERTER.structure(answer["endpoints"], list[Endpoint])
        revision = int(answer["endpoints_revision"])
        gateway.view.replace_endpoints(endpoints, revision, source)


def tell(gateway: Gateway, query: Any) -> dict[str, Any]:
    """Return what is newer here than what the asker knows."""
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
    Answer other gateways, if the deployment has an address for it.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    """

    async def handle(request: web.BaseRequest) -> web.Response:
        body = json.dumps(tell(gateway, request.query)).encode()
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
