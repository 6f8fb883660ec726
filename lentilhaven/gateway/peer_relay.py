"""Serves and fetches the manifest and endpoints between gateways over HTTP."""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
from aiohttp import web

from lentilhaven.callers.plain_listener import open_plain_listener
from lentilhaven.core.answer_body import read_answer_json
from lentilhaven.core.converter import CONVERTER
from lentilhaven.core.logs import get_logger
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.peer_exchange import has_newer_manifest
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

#: Maximum size of an answer, in bytes: a manifest and the entries of a large fleet.
MAX_ANSWER_BYTES = 8_000_000

#: Seconds after which the check runs although no gateway seems to be ahead.
MAX_WAIT = 5.0
#: Errors of a request without a usable answer.
ANSWER_ERRORS = (
    aiohttp.ClientError,
    TimeoutError,
    OSError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
)

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
                    message.manifest_version or 0,
                    message.era or 0,
                    message.manifest_revision,
                    message.endpoints_revision,
                ),
            )
            gateway.gateways_ahead.clear()
            behind = has_newer_manifest(gateway, newest)
            if behind and gateway.peers.is_large_fleet(now):
                await asyncio.sleep(gateway.random.uniform(0.0, READ_JITTER))
                answered = await read_manifest()
                # A restored store may hold an older manifest than the gateway.
                if answered and not has_newer_manifest(gateway, newest):
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
        "manifest": str(view.manifest_position.revision),
        "endpoints": str(view.endpoints_position.revision),
        "manifest_version": str(view.manifest.version if view.manifest else 0),
        "era": str(view.endpoints_position.era),
    }
    limit = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT)
    try:
        async with session.get(
            f"http://{message.relay}/known", params=query, timeout=limit
        ) as response:
            answer = await read_answer_json(response, MAX_ANSWER_BYTES)
            apply_answer(gateway, answer, message.vm)
    except ANSWER_ERRORS as error:
        detail = f"{type(error).__name__}: {error}"
        log.info(
            "gateway does not answer", peer=message.vm, step="relay", detail=detail
        )


def apply_answer(gateway: Gateway, answer: dict[str, Any], source: str) -> None:
    """Apply the manifest and endpoints that another gateway has sent."""
    view = gateway.view
    if answer.get("manifest") is not None:
        position = view.era.position(
            answer.get("manifest_era"), int(answer["manifest_revision"])
        )
        adopt_manifest(gateway, answer["manifest"], position, source)
    if answer.get("endpoints") is not None:
        endpoints = decode_endpoints(answer["endpoints"])
        position = view.era.position(
            answer.get("era"), int(answer["endpoints_revision"])
        )
        view.replace_endpoints(endpoints, position, source)


def decode_endpoints(value: Any) -> list[Endpoint]:
    """
    Decode the endpoints that another gateway holds.

    Raises
    ------
    ValueError
        If one of them can't be decoded: without it, the list isn't the whole one.
    """
    try:
        return CONVERTER.structure(value, list[Endpoint])
    except Exception as error:  # cattrs raises groups of errors
        raise ValueError(f"endpoints: {error}") from error


def make_answer(gateway: Gateway, query: Any) -> dict[str, Any]:
    """
    Return this gateway's positions, and the state that the query lacks.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    query : mapping
        Revisions of the ``manifest`` and ``endpoints`` that the asking gateway holds,
        and, unless it is of a release that knows no eras, its ``manifest_version`` and
        ``era``.
    """
    view = gateway.view
    answer: dict[str, Any] = {
        "manifest_revision": view.manifest_position.revision,
        "manifest_era": view.manifest_position.era,
        "endpoints_revision": view.endpoints_position.revision,
        "era": view.endpoints_position.era,
    }
    if lacks_manifest(gateway, query):
        answer["manifest"] = view.document
    era = int(query["era"]) if "era" in query else None
    asked = view.era.position(era, int(query.get("endpoints", 0)))
    if view.endpoints_position > asked:
        answer["endpoints"] = CONVERTER.unstructure(view.confirmed_endpoints)
    return answer


def lacks_manifest(gateway: Gateway, query: Any) -> bool:
    """Return whether a gateway that sends a query holds an older manifest."""
    view = gateway.view
    if "manifest_version" in query:
        own = view.manifest.version if view.manifest else 0
        return own > int(query["manifest_version"])
    asked = view.era.position(None, int(query.get("manifest", 0)))
    return view.manifest_position > asked


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
    host, _, port = gateway.settings.peers.rpartition(":")
    async with open_plain_listener(handle, host, int(port), gateway.connections):
        yield
