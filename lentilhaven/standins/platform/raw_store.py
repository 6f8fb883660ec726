"""A store whose answers may hold bytes that no encoder of JSON writes."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from urllib.parse import parse_qs, urlsplit

import attrs

#: Seconds for which a watch without changes waits.
WATCH_POLL_INTERVAL = 0.01


@attrs.define
class RawStore:
    """
    Objects by kind and name, each with the bytes of its content.

    Attributes
    ----------
    kinds : dict
        For each kind, the revision and the content of each object by name.
    history : list of tuple
        Revision, kind, name, content and whether it was deleted, of each change.
    page_size : int
        Maximum number of objects per page of a listing.
    odd : bytes
        Content that another writer may write later.
    """

    kinds: dict[str, dict[str, tuple[int, bytes]]] = attrs.field(factory=dict)
    history: list[tuple[int, str, str, bytes, bool]] = attrs.field(factory=list)
    page_size: int = 500
    odd: bytes = b""

    @property
    def revision(self) -> int:
        """Return the revision of the store."""
        return 1 + len(self.history)

    def put(self, kind: str, name: str, value: Any) -> None:
        """Write an object; its content is JSON data, or bytes that are sent as is."""
        content = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.history.append((self.revision + 1, kind, name, content, False))
        self.kinds.setdefault(kind, {})[name] = (self.revision, content)

    def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        content = self.kinds[kind].pop(name)[1]
        self.history.append((self.revision + 1, kind, name, content, True))

    async def answer(self, target: str) -> bytes:
        """Return the body of the answer to a GET call."""
        url = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/objects/").partition("/")
        if name:
            return encode_object(name, *self.kinds[kind][name])
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]))
        found = self.kinds.get(kind, {})
        names = sorted(it for it in found if it > query.get("after", ""))
        page = names[: self.page_size]
        items = b",".join(encode_object(it, *found[it]) for it in page)
        more = json.dumps(len(page) < len(names)).encode()
        return b'{"items":[%b],"has_more":%b,"current_rev":%d}' % (
            items,
            more,
            self.revision,
        )

    async def watch(self, kind: str, since: int) -> bytes:
        """Return the changes of a kind after a revision, as soon as there are some."""
        while True:
            events = [
                b'{"deleted":%b,"object":%b}'
                % (
                    json.dumps(deleted).encode(),
                    encode_object(name, revision, content),
                )
                for revision, of_kind, name, content, deleted in self.history
                if of_kind == kind and revision > since
            ]
            if events:
                return b'{"events":[%b],"current_rev":%d}' % (
                    b",".join(events),
                    self.revision,
                )
            await asyncio.sleep(WATCH_POLL_INTERVAL)


def encode_object(name: str, revision: int, content: bytes) -> bytes:
    """Return an object with the content as it was written."""
    encoded = json.dumps(name).encode()
    return b'{"metadata":{"name":%b,"rev":%d},"spec":%b,"status":null}' % (
        encoded,
        revision,
        content,
    )


@asynccontextmanager
async def open_raw_store(store: RawStore) -> AsyncIterator[str]:
    """Serve the calls to a store over loopback, and yield its ``IP:PORT``."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                body = await store.answer(head.split(b" ")[1].decode())
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n" % len(body))
                writer.write(b"\r\n" + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()
