"""The HTTP interface of the platform's store."""

import asyncio
from typing import Any

import attrs
from aiohttp import web

from lentilhaven.standins.platform.fake_store import FakeStore, Stored, StoreState

#: Seconds for which a silent store holds a call.
SILENCE = 3600.0


def store_app(store: FakeStore, caller: str = "") -> web.Application:
    """
    Return the application of a store, as one caller sees it.

    Parameters
    ----------
    store : FakeStore
        The state.
    caller : str
        Name of the gateway that uses this application.
    """
    api = StoreApi(store, caller)
    app = web.Application(middlewares=[api.meet_faults])
    app.router.add_get("/objects/{kind}", api.list_or_watch)
    app.router.add_post("/objects/{kind}", api.create)
    app.router.add_get("/objects/{kind}/{name}", api.read)
    app.router.add_put("/objects/{kind}/{name}", api.replace)
    return app


@attrs.frozen
class StoreApi:
    """
    The handlers of a store.

    Attributes
    ----------
    store : FakeStore
        The state.
    caller : str
        Name of the gateway that calls.
    """

    store: FakeStore
    caller: str

    @property
    def meet_faults(self) -> Any:
        """Return the middleware that applies the faults in force."""

        @web.middleware
        async def meet(request: web.Request, handler: Any) -> web.StreamResponse:
            self.store.calls[request.method] += 1
            self.store.callers[self.caller] += 1
            if self.store.state is StoreState.SILENT:
                await asyncio.sleep(SILENCE)
            if self.store.state is StoreState.BUSY or self.caller in self.store.refused:
                return web.json_response({"error": "busy"}, status=503)
            return await handler(request)

        return meet

    async def list_or_watch(self, request: web.Request) -> web.Response:
        """List a kind, or wait for its changes."""
        kind = request.match_info["kind"]
        if "watch" not in request.query:
            return list_page(self.store, kind, request.query.get("after", ""))
        revision = int(request.query["watch"])
        seconds = int(request.query.get("wait_ms", "0")) / 1000.0
        changes = await self.store.wait(kind, revision, seconds)
        if changes is None:
            return web.json_response({"error": "history is gone"}, status=410)
        events = [
            {
                "deleted": it.deleted,
                "object": encode(Stored(it.name, it.revision, it.value)),
            }
            for it in changes
        ]
        answer = {"events": events, "current_rev": self.store.revision}
        return web.json_response(answer)

    def find(self, request: web.Request, name: str) -> Stored | None:
        """Return an object of the kind that the path names."""
        return self.store.kinds.get(request.match_info["kind"], {}).get(name)

    async def read(self, request: web.Request) -> web.Response:
        """Read one object."""
        stored = self.find(request, request.match_info["name"])
        if stored is None:
            return web.json_response({"error": "no such object"}, status=404)
        return web.json_response(encode(stored))

    async def create(self, request: web.Request) -> web.Response:
        """Create an object."""
        body = await request.json()
        held = self.find(request, body["metadata"]["name"])
        if held is not None:
            return web.json_response(encode(held), status=409)
        return await self.put(request, body)

    async def replace(self, request: web.Request) -> web.Response:
        """Replace an object if it has the revision that is named."""
        body = await request.json()
        held = self.find(request, body["metadata"]["name"])
        if held is None:
            return web.json_response({"error": "no such object"}, status=404)
        if body["metadata"].get("rev") not in (None, held.revision):
            return web.json_response(encode(held), status=409)
        return await self.put(request, body)

    async def put(self, request: web.Request, body: Any) -> web.Response:
        """Write an object, and lose the answer if that is wanted."""
        kind = request.match_info["kind"]
        stored = self.store.put(kind, body["metadata"]["name"], body["spec"])
        if self.store.lost_writes:
            self.store.lost_writes -= 1
            await asyncio.sleep(SILENCE)
        return web.json_response(encode(stored))


def list_page(store: FakeStore, kind: str, after: str) -> web.Response:
    """Return a page of the objects of a kind."""
    names = sorted(name for name in store.kinds.get(kind, {}) if name > after)
    page = names[: store.page]
    body = {
        "items": [encode(store.kinds[kind][name]) for name in page],
        "has_more": len(names) > len(page),
        "current_rev": store.revision,
    }
    return web.json_response(body)


def encode(stored: Stored) -> dict[str, Any]:
    """Return an object as the store shows it."""
    meta = {
        "name": stored.name,
        "rev": stored.revision,
        "created": 1,
        "finalizers": [],
        "is_deleting": False,
    }
    return {"metadata": meta, "spec": stored.value, "status": None}
