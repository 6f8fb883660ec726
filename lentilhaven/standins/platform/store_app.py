"""HTTP API of the platform's store."""

import asyncio
from typing import Any

import attrs
from aiohttp import web

from lentilhaven.standins.platform.fake_store import FakeStore, StoreEntry, StoreState

#: Delay of a response from an unresponsive store, in seconds of the event loop; longer
#: than any caller waits.
HANG_TIME = 3600.0


def store_app(store: FakeStore, caller: str = "") -> web.Application:
    """
    Return the application of a store for the calls of one gateway.

    Parameters
    ----------
    store : FakeStore
        State of the store.
    caller : str
        Name of the gateway that calls this application.
    """
    api = StoreApi(store, caller)
    app = web.Application(middlewares=[api.fault_middleware])
    app.router.add_get("/objects/{kind}", api.list_or_watch)
    app.router.add_post("/objects/{kind}", api.create)
    app.router.add_get("/objects/{kind}/{name}", api.read)
    app.router.add_put("/objects/{kind}/{name}", api.replace)
    return app


@attrs.frozen
class StoreApi:
    """
    Request handlers of a store.

    Attributes
    ----------
    store : FakeStore
        State of the store.
    caller : str
        Name of the gateway that calls.
    """

    store: FakeStore
    caller: str

    @property
    def fault_middleware(self) -> Any:
        """Return a middleware that counts calls and applies the injected faults."""

        @web.middleware
        async def apply_faults(
            request: web.Request, handler: Any
        ) -> web.StreamResponse:
            self.store.calls[request.method] += 1
            self.store.callers[self.caller] += 1
            if self.store.state is StoreState.SILENT:
                await asyncio.sleep(HANG_TIME)
            era = str(self.store.era)
            if (
                self.store.state is StoreState.BUSY
                or self.caller in self.store.refused_callers
            ):
                response = web.json_response({"error": "busy"}, status=503)
            else:
                response = await handler(request)
            response.headers["Store-Era"] = era
            return response

        return apply_faults

    async def list_or_watch(self, request: web.Request) -> web.Response:
        """List the objects of a kind, or wait for changes if ``watch`` is given."""
        kind = request.match_info["kind"]
        if "watch" not in request.query:
            return list_page(self.store, kind, request.query.get("after", ""))
        revision = int(request.query["watch"])
        seconds = int(request.query.get("wait_ms", "0")) / 1000.0
        changes = await self.store.wait_for_changes(kind, revision, seconds)
        if changes is None:
            return web.json_response({"error": "history is gone"}, status=410)
        events = [
            {
                "deleted": it.deleted,
                "object": encode_entry(StoreEntry(it.name, it.revision, it.value)),
            }
            for it in changes
        ]
        document = {"events": events, "current_rev": self.store.revision}
        return web.json_response(document)

    def find_entry(self, request: web.Request, name: str) -> StoreEntry | None:
        """Return an object of the kind in the request path, or None."""
        return self.store.kinds.get(request.match_info["kind"], {}).get(name)

    async def read(self, request: web.Request) -> web.Response:
        """Return one object, or status 404 if it does not exist."""
        stored = self.find_entry(request, request.match_info["name"])
        if stored is None:
            return web.json_response({"error": "no such object"}, status=404)
        return web.json_response(encode_entry(stored))

    async def create(self, request: web.Request) -> web.Response:
        """Create an object, or return an existing one with status 409."""
        body = await request.json()
        existing = self.find_entry(request, body["metadata"]["name"])
        if existing is not None:
            return web.json_response(encode_entry(existing), status=409)
        return await self.put(request, body)

    async def replace(self, request: web.Request) -> web.Response:
        """Replace an existing object if the given revision, if any, is current."""
        body = await request.json()
        existing = self.find_entry(request, body["metadata"]["name"])
        if existing is None:
            return web.json_response({"error": "no such object"}, status=404)
        if body["metadata"].get("rev") not in (None, existing.revision):
            return web.json_response(encode_entry(existing), status=409)
        return await self.put(request, body)

    async def put(self, request: web.Request, body: Any) -> web.Response:
        """
        Write an object and return it.

        If `unanswered_writes` is positive, decrements it and delays the response by
        `HANG_TIME`.
        """
        kind = request.match_info["kind"]
        stored = self.store.put(kind, body["metadata"]["name"], body["spec"])
        if self.store.unanswered_writes:
            self.store.unanswered_writes -= 1
            await asyncio.sleep(HANG_TIME)
        return web.json_response(encode_entry(stored))


def list_page(store: FakeStore, kind: str, after: str) -> web.Response:
    """Return the first page of the objects of a kind with names after `after`."""
    names = sorted(name for name in store.kinds.get(kind, {}) if name > after)
    page = names[: store.page_size]
    body = {
        "items": [encode_entry(store.kinds[kind][name]) for name in page],
        "has_more": len(names) > len(page),
        "current_rev": store.revision,
    }
    return web.json_response(body)


def encode_entry(stored: StoreEntry) -> dict[str, Any]:
    """Return the JSON object of an entry in the store."""
    metadata = {
        "name": stored.name,
        "rev": stored.revision,
        "created": 1,
        "finalizers": [],
        "is_deleting": False,
    }
    return {"metadata": metadata, "spec": stored.value, "status": None}
