"""
A cheap emitter that stands in for an agent and for the engines of one chain.

It answers ``GET /view`` with one view, and ``POST /streams`` with pieces at an
even pace.  Each token is the monotonic time at which it was sent, in
nanoseconds, which every process of a machine shares.
"""

import asyncio
import json
import time

import attrs

from lentilhaven.core.converter import to_document
from lentilhaven.core.hashing import token_hash
from lentilhaven.core.settings import structure_document
from lentilhaven.distribution.table_head import TableHead
from lentilhaven.tables import Tables
from lentilhaven.tables.parts import split_tables

#: Token of the only workspace.
TOKEN = "router-cost-token"

#: Number of stages in the chain.
STAGES = 3

#: Layers of one stage.
STAGE_LAYERS = 4


@attrs.define
class Pace:
    """
    How answers are emitted.

    Attributes
    ----------
    gap : float
        Seconds between two tokens.
    """

    gap: float


class EmitterProtocol(asyncio.Protocol):
    """
    One connection.

    Parameters
    ----------
    pace : Pace
        How answers are emitted.
    url : callable
        Returns the emitter's own base URL.
    """

    def __init__(self, pace: Pace, url) -> None:
        self.pace = pace
        self.url = url
        self.buffer = b""
        self.transport: asyncio.Transport | None = None
        self.timers: set[asyncio.TimerHandle] = set()

    def connection_made(self, transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def connection_lost(self, error) -> None:
        """Stop emitting."""
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Answer each request that is complete."""
        self.buffer += data
        while True:
            head, mark, rest = self.buffer.partition(b"\r\n\r\n")
            if not mark:
                return
            size = content_length(head)
            if len(rest) < size:
                return
            self.buffer = rest[size:]
            self.answer(head.split(b" ", 2)[:2], rest[:size])

    def answer(self, words: list[bytes], body: bytes) -> None:
        """Answer one request."""
        method, path = words
        if method == b"POST" and path == b"/streams":
            self.start_stream(json.loads(body))
        elif path.startswith(b"/view"):
            delay = 0.0 if b"tables=0" in path else 5.0
            asyncio.get_running_loop().call_later(delay, self.send_json, self.view())
        elif path.endswith(b"/progress"):
            progress = {"known": True, "attempt": 1, "made": 0, "working": True}
            self.send_json(progress | {"chain": []})
        else:
            self.send_json({"gone": True})

    def send_json(self, document: dict) -> None:
        """Send a whole response."""
        if self.transport is None:
            return
        body = json.dumps(document).encode()
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.transport.write(head.encode() + body)

    def view(self) -> dict:
        """Return the view that the router decides on."""
        tables = structure_document(make_tables(self.url()), Tables).ok
        parts = split_tables(tables)
        head = to_document(TableHead(1, "edit-1", "bench", list(parts)))
        update = {"head": head, "parts": parts}
        return {"run": 1, "sequence": 1, "full": True, "tables": update}

    def start_stream(self, order: dict) -> None:
        """Emit the answer to an order, a piece at a time."""
        if self.transport is None:
            return
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        loop = asyncio.get_running_loop()
        opening, closing = piece_template(order)
        self.emit(loop, opening, closing, 0, order["max_tokens"], loop.time())

    def emit(self, loop, opening: str, closing: str, position, count, due) -> None:
        """Send one piece and plan the next."""
        if self.transport is None:
            return
        last = position + 1 == count
        finish = "length" if last else ""
        line = (
            f'{opening}"position": {position}, "token": "{time.monotonic_ns()} ", '
            f'"finish_reason": "{finish}"{closing}'
        ).encode()
        end = b"0\r\n\r\n" if last else b""
        self.transport.write(b"%x\r\n%b\r\n%b" % (len(line), line, end))
        if not last:
            due += self.pace.gap
            arguments = (loop, opening, closing, position + 1, count, due)
            loop.call_at(due, self.emit, *arguments)


def content_length(head: bytes) -> int:
    """Return the size of a request's body."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0


def piece_template(order: dict) -> tuple[str, str]:
    """Return what stands before and after the changing fields of a piece."""
    trail = [
        {"endpoint": it["endpoint"], "layers": it["layers"], "attempt": 1}
        for it in order["chain"]
    ]
    fields = {"request": order["request"], "attempt": 1, "version": order["version"]}
    opening = '{"piece": ' + json.dumps(fields | {"trail": trail})[:-1] + ", "
    return opening, "}}\n"


def make_tables(url: str) -> dict:
    """Return tables with one chain, all of whose stages stand at one address."""
    endpoints = [
        {
            "id": f"engine-{index}",
            "url": url,
            "data_centre": "mty-a",
            "layers": {
                "start": index * STAGE_LAYERS,
                "stop": (index + 1) * STAGE_LAYERS,
            },
            "version": "v1",
        }
        for index in range(STAGES)
    ]
    pool = {
        "name": "llm",
        "kind": "engine",
        "endpoints": endpoints,
        "model": "lentil-12",
        "layer_count": STAGES * STAGE_LAYERS,
    }
    return {
        "routes": [{"name": "chat", "pool": "llm"}],
        "pools": [pool],
        "workspaces": [{"id": "depot", "token_hashes": [token_hash(TOKEN)]}],
        "version": 1,
    }


async def serve_emitter(port: int, gap: float) -> None:
    """
    Serve until the process is told to stop.

    Parameters
    ----------
    port : int
        Port to listen on.
    gap : float
        Seconds between two tokens of an answer.
    """
    loop = asyncio.get_running_loop()
    pace = Pace(gap)
    url = f"http://127.0.0.1:{port}"
    server = await loop.create_server(
        lambda: EmitterProtocol(pace, lambda: url), "127.0.0.1", port
    )
    async with server:
        await server.serve_forever()
