"""HTTP API of the platform's object store."""

import asyncio

from aiohttp import web

from lentilhaven.core.converter import CONVERTER, to_document
from lentilhaven.objects.vm import ListedVm
from lentilhaven.standins.object_store import ObjectStore

STORE: web.AppKey[ObjectStore] = web.AppKey("store", ObjectStore)

#: Maximum size of the value of an object, in bytes.
MAX_VALUE_BYTES = 1_000_000


def object_api_app(store: ObjectStore) -> web.Application:
    """
    Return the application that serves an object store.

    Parameters
    ----------
    store : ObjectStore
        State and faults of the store.
    """
    app = web.Application(
        client_max_size=MAX_VALUE_BYTES, middlewares=[fault_middleware]
    )
    app[STORE] = store
    app.router.add_get("/objects", list_objects)
    app.router.add_get("/objects/{name:.+}", read_object)
    app.router.add_put("/objects/{name:.+}", write_object)
    app.router.add_get("/watch", watch_objects)
    app.router.add_get("/vms", list_vms)
    app.router.add_put("/vms", replace_vms)
    app.router.add_get("/stats", read_stats)
    return app


@web.middleware
async def fault_middleware(request: web.Request, handler) -> web.StreamResponse:
    """Delay, fail or refuse a call according to the faults in force."""
    store = request.app[STORE]
    if store.faults.delay:
        await asyncio.sleep(store.faults.delay)
    if store.faults.outage or (store.faults.vms_outage and request.path == "/vms"):
        return web.json_response({"error": "outage"}, status=503)
    if store.random.random() < store.faults.refusal_rate:
        return web.json_response({"error": "rate"}, status=429)
    return await handler(request)


async def list_objects(request: web.Request) -> web.Response:
    """Return all objects whose names start with the prefix in the query."""
    store = request.app[STORE]
    store.reads += 1
    listing = store.list_at(request.query.get("prefix", ""))
    return web.json_response(to_document(listing))


async def read_object(request: web.Request) -> web.Response:
    """Return one object, or status 404 if it does not exist."""
    store = request.app[STORE]
    store.reads += 1
    stored = store.read(request.match_info["name"])
    if stored is None:
        return web.json_response({"error": "not found"}, status=404)
    return web.json_response(to_document(stored))


async def write_object(request: web.Request) -> web.Response:
    """
    Write one object if it has the version in ``If-Match``; 0 if it must not exist.

    Responds with the new version, with status 412 on a version conflict, or with
    status 504 if a fault loses the request or its response.
    """
    store = request.app[STORE]
    store.writes += 1
    expected = int(request.headers["If-Match"])
    value = await request.json()
    if store.random.random() < store.faults.lost_request_rate:
        return web.json_response({"error": "request lost"}, status=504)
    version = await store.write(request.match_info["name"], value, expected)
    if version is None:
        return web.json_response({"error": "conflict"}, status=412)
    if store.random.random() < store.faults.lost_answer_rate:
        return web.json_response({"error": "answer lost"}, status=504)
    return web.json_response({"version": version})


async def watch_objects(request: web.Request) -> web.Response:
    """
    Wait for changes after a version and return the changed objects.

    Returns no objects at the timeout, and status 410 if the history since that
    version is compacted.
    """
    store = request.app[STORE]
    store.reads += 1
    prefix = request.query.get("prefix", "")
    after = int(request.query["after"])
    if store.faults.silent_watches:
        await asyncio.Event().wait()
    if after < store.compacted_before:
        store.counters["compacted"] += 1
        return web.json_response({"error": "compacted"}, status=410)
    store.waiting += 1
    try:
        await store.wait_for_change(prefix, after, float(request.query["timeout"]))
    finally:
        store.waiting -= 1
    found = store.list_below(prefix, after)
    return web.json_response({"version": store.version, "objects": to_document(found)})


async def list_vms(request: web.Request) -> web.Response:
    """Return the list of VMs."""
    store = request.app[STORE]
    store.reads += 1
    return web.json_response(to_document(store.list_vms(store.observe_vms())))


async def replace_vms(request: web.Request) -> web.Response:
    """Replace the list of VMs, as an operator of the platform would, and return it."""
    store = request.app[STORE]
    store.vms = CONVERTER.structure(await request.json(), list[ListedVm])
    return web.json_response(to_document(store.list_vms(store.observe_vms())))


async def read_stats(request: web.Request) -> web.Response:
    """Return the number of reads and writes so far and of watches that are waiting."""
    store = request.app[STORE]
    counts = {"reads": store.reads, "writes": store.writes, "waiting": store.waiting}
    return web.json_response(counts)
