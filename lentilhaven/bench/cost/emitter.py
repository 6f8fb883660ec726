"""
Low-overhead stand-in for an agent and for the engines of one chain.

It responds to ``GET /view`` with a fixed view, and to ``POST /streams`` with
pieces at a constant rate.  The text of each token is the monotonic time at which
it was sent, in nanoseconds; all processes of a machine share that clock.
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

#: Bearer token of the only workspace.
WORKSPACE_TOKEN = "router-cost-token"

#: Number of stages in the chain.
STAGE_COUNT = 3

#: Number of layers per stage.
LAYERS_PER_STAGE = 4


@attrs.define
class EmissionSettings:
    """
    Timing of the emitted tokens.

    Attributes
    ----------
    gap : float
        Interval between two consecutive tokens, in seconds.
    """

    gap: float


class EmitterProtocol(asyncio.Protocol):
    """
    Server side of one HTTP connection.

    Parameters
    ----------
    settings : EmissionSettings
        Timing of the emitted tokens.
    base_url : callable
        Returns the base URL of the emitter.
    """

    def __init__(self, settings: EmissionSettings, base_url) -> None:
        self.settings = settings
        self.base_url = base_url
        self.buffer = b""
        self.transport: asyncio.Transport | None = None
        self.timers: set[asyncio.TimerHandle] = set()

    def connection_made(self, transport) -> None:
        """Store the transport, to which responses are written."""
        self.transport = transport

    def connection_lost(self, error) -> None:
        """Drop the transport, which stops all emission."""
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Handle every request that has arrived completely."""
        self.buffer += data
        while True:
            head, separator, rest = self.buffer.partition(b"\r\n\r\n")
            if not separator:
                return
            size = content_length(head)
            if len(rest) < size:
                return
            self.buffer = rest[size:]
            self.handle_request(head.split(b" ", 2)[:2], rest[:size])

    def handle_request(self, request_line: list[bytes], body: bytes) -> None:
        """Respond to one request, given its method and path and its body."""
        method, path = request_line
        if method == b"POST" and path == b"/streams":
            self.start_stream(json.loads(body))
        elif path.startswith(b"/view"):
            # A router without tables gets the view at once; other requests wait like
            # a long poll.
            delay = 0.0 if b"tables=0" in path else 5.0
            asyncio.get_running_loop().call_later(delay, self.send_json, self.view())
        elif path.endswith(b"/progress"):
            progress = {"known": True, "attempt": 1, "made": 0, "working": True}
            self.send_json(progress | {"chain": []})
        else:
            self.send_json({"gone": True})

    def send_json(self, document: dict) -> None:
        """Send a complete JSON response."""
        if self.transport is None:
            return
        body = json.dumps(document).encode()
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.transport.write(head.encode() + body)

    def view(self) -> dict:
        """Return the view that the router takes its decisions on."""
        tables = structure_document(make_tables(self.base_url()), Tables).ok
        parts = split_tables(tables)
        head = to_document(TableHead(1, "edit-1", "bench", list(parts)))
        update = {"head": head, "parts": parts}
        return {"run": 1, "sequence": 1, "full": True, "tables": update}

    def start_stream(self, order: dict) -> None:
        """Start the response to a stream order; its pieces are sent one at a time."""
        if self.transport is None:
            return
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
        )
        loop = asyncio.get_running_loop()
        prefix, suffix = piece_template(order)
        self.emit(loop, prefix, suffix, 0, order["max_tokens"], loop.time())

    def emit(self, loop, prefix: str, suffix: str, position, count, due) -> None:
        """
        Send the piece at `position` and schedule the next one, up to `count` pieces.

        `due` is the time of the event loop at which this piece was due, in seconds.
        """
        if self.transport is None:
            return
        is_last = position + 1 == count
        finish_reason = "length" if is_last else ""
        line = (
            f'{prefix}"position": {position}, "token": "{time.monotonic_ns()} ", '
            f'"finish_reason": "{finish_reason}"{suffix}'
        ).encode()
        end = b"0\r\n\r\n" if is_last else b""
        self.transport.write(b"%x\r\n%b\r\n%b" % (len(line), line, end))
        if not is_last:
            due += self.settings.gap
            arguments = (loop, prefix, suffix, position + 1, count, due)
            loop.call_at(due, self.emit, *arguments)


def content_length(head: bytes) -> int:
    """Return the length of a request's body, in bytes; 0 if none is declared."""
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0


def piece_template(order: dict) -> tuple[str, str]:
    """Return the constant text before and after the varying fields of a piece."""
    trail = [
        {"endpoint": it["endpoint"], "layers": it["layers"], "attempt": 1}
        for it in order["chain"]
    ]
    fields = {"request": order["request"], "attempt": 1, "version": order["version"]}
    prefix = '{"piece": ' + json.dumps(fields | {"trail": trail})[:-1] + ", "
    return prefix, "}}\n"


def make_tables(url: str) -> dict:
    """Return tables with one chain whose stages all have the same URL."""
    endpoints = [
        {
            "id": f"engine-{index}",
            "url": url,
            "data_centre": "mty-a",
            "layers": {
                "start": index * LAYERS_PER_STAGE,
                "stop": (index + 1) * LAYERS_PER_STAGE,
            },
            "version": "v1",
        }
        for index in range(STAGE_COUNT)
    ]
    pool = {
        "name": "llm",
        "kind": "engine",
        "endpoints": endpoints,
        "model": "lentil-12",
        "layer_count": STAGE_COUNT * LAYERS_PER_STAGE,
    }
    return {
        "routes": [{"name": "chat", "pool": "llm"}],
        "pools": [pool],
        "workspaces": [{"id": "depot", "token_hashes": [token_hash(WORKSPACE_TOKEN)]}],
        "version": 1,
    }


async def serve_emitter(port: int, gap: float) -> None:
    """
    Serve until the process is terminated.

    Parameters
    ----------
    port : int
        Port to listen on.
    gap : float
        Interval between two consecutive tokens of a response, in seconds.
    """
    loop = asyncio.get_running_loop()
    settings = EmissionSettings(gap)
    base_url = f"http://127.0.0.1:{port}"
    server = await loop.create_server(
        lambda: EmitterProtocol(settings, lambda: base_url), "127.0.0.1", port
    )
    async with server:
        await server.serve_forever()
