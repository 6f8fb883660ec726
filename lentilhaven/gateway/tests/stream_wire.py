"""Streams at the wire: scripted engines, and what a caller has received."""

import asyncio
import re
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import Any

import attrs

from lentilhaven.gateway.tests.platform_testbed import KEY
from lentilhaven.gateway.tests.wire_testbed import (
    address_of,
    listening_port,
    open_wire_gateway,
    receive_bytes,
    wire_engine,
)
from lentilhaven.retries.retry_budget_share import ASSUMED_GATEWAYS
from lentilhaven.standins.platform.sample_files import request_headers
from lentilhaven.upstream.tests.wire import SETTLE_TIME, close_in_order

#: Engines that can run a stream.
ENGINES = 3

#: Events of a whole stream.
EVENTS = 8

#: Retries that a gateway may send which knows no other one.
RETRIES = 10

#: Cases that run at the same time.
CONCURRENCY = 20

#: Seconds for which callers wait.
PATIENCE = 2.0

#: One or more whole events of the engines.
WHOLE_EVENTS = re.compile(rb"(?:id: \d+\ndata: piece\n\n)+")


def event(number: int) -> bytes:
    """Return the bytes of an event."""
    return b"id: %d\ndata: piece\n\n" % number


def events(first: int, last: int) -> bytes:
    """Return the bytes of some events."""
    return b"".join(event(number) for number in range(first, last + 1))


def chunk(data: bytes) -> bytes:
    """Return data in a chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


#: End of an answer in chunks.
LAST_CHUNK = b"0\r\n\r\n"

CHUNKED = b"Transfer-Encoding: chunked\r\n"
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"


@attrs.frozen
class EngineRequest:
    """Id of a request that an engine has got, and the event after which it begins."""

    id: bytes
    last_event: int


async def read_request(reader: asyncio.StreamReader) -> EngineRequest:
    """Return a request whose head is read."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = (line.partition(": ") for line in head.split("\r\n"))
    fields = {name.lower(): value for name, _, value in lines}
    return EngineRequest(
        fields["request-id"].encode(), int(fields.get("last-event-id") or 0)
    )


@attrs.frozen
class Answer:
    """
    An engine's answer.

    Attributes
    ----------
    body : callable
        Takes an `EngineRequest` and returns all bytes after the head.
    fields : bytes
        Lines of the head, besides those that every answer has.
    status : bytes
        Status code and reason.
    head : bytes or None
        Replaces the whole head; None for the usual one.
    end : callable or None
        Ends the connection, which it gets, after the answer has been read; None if it
        stays open.
    """

    body: Any
    fields: bytes = EVENT_STREAM + CHUNKED
    status: bytes = b"200 OK"
    head: bytes | None = None
    end: Any = close_in_order

    def encode(self, request: EngineRequest) -> bytes:
        """Return the bytes of the answer."""
        head = self.head
        if head is None:
            head = b"HTTP/1.1 %b\r\nRequest-Id: %b\r\nReplica-Signature: s\r\n%b\r\n"
            head %= (self.status, request.id, self.fields)
        return head + self.body(request)

    async def send(
        self, request: EngineRequest, reader: Any, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request."""
        writer.write(self.encode(request))
        await writer.drain()
        if self.end is None:
            # The gateway closes.
            await reader.read()
            return
        await asyncio.sleep(SETTLE_TIME)
        self.end(writer)


def rest(request: EngineRequest) -> bytes:
    """Return the events that the caller lacks, in chunks, and the end."""
    missing = events(request.last_event + 1, EVENTS)
    return (chunk(missing) if missing else b"") + LAST_CHUNK


SOUND = Answer(rest)


@attrs.frozen
class Received:
    """The bytes that a caller has received for a stream, and for how long it waited."""

    data: bytes
    seconds: float

    @property
    def chunks(self) -> list[bytes]:
        """Return the chunks of the body, of which the last may be cut."""
        _, _, left = self.data.partition(b"\r\n\r\n")
        found = []
        while left:
            size, _, left = left.partition(b"\r\n")
            length = int(size, 16)
            found.append(left[:length])
            left = left[length + 2 :]
        return found

    @property
    def status(self) -> int:
        """Return the status code of the answer."""
        return int(self.data.split()[1])

    @property
    def is_whole(self) -> bool:
        """Return whether the stream ended as complete."""
        return self.data.endswith(b"\r\n" + LAST_CHUNK)

    @property
    def ids(self) -> list[int]:
        """Return the ids of the events."""
        body = b"".join(self.chunks)
        return [int(it) for it in re.findall(rb"id: (\d+)\n", body)]

    def find_fault(self) -> str:
        """Return how the bytes break the rules of streams; empty if they keep them."""
        if self.data.count(b"HTTP/1.1") != 1:
            return "not exactly one head"
        if self.status != 200 or EVENT_STREAM.strip() not in self.data:
            # The engine's own answer.
            return ""
        for part in self.chunks:
            if part and not WHOLE_EVENTS.fullmatch(part):
                return f"not whole events: {part!r}"
        if self.ids != list(range(1, len(self.ids) + 1)):
            return f"events {self.ids}"
        if self.is_whole and len(self.ids) != EVENTS:
            return f"ended as whole after {len(self.ids)} events"
        return ""


@asynccontextmanager
async def serving(script: Any) -> AsyncIterator[str]:
    """
    Serve requests on a port, one a connection, and yield the address.

    ``script(request, reader, writer)`` answers; then the connection is closed.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await script(await read_request(reader), reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield address_of(server)
    finally:
        server.close()


@asynccontextmanager
async def serving_callers(addresses: list[str]) -> AsyncIterator[int]:
    """Open a gateway before engines that hold all layers, and yield its port."""
    engines = [
        wire_engine(f"e{number}", address) for number, address in enumerate(addresses)
    ]
    slack = RETRIES * ASSUMED_GATEWAYS
    async with open_wire_gateway(engines, retry_budget_slack=slack) as (_, listener):
        yield listening_port(listener)


async def call(port: int, path: str, **headers: str) -> bytes:
    """Return all bytes that a caller gets on its connection until it is closed."""
    fields = request_headers("r1", KEY, PATIENCE, 40)
    fields |= {"Content-Length": "0", "Connection": "close"}
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = [f"{name}: {value}\r\n" for name, value in fields.items()]
    request = f"POST {path} HTTP/1.1\r\n{''.join(lines)}\r\n"
    return await receive_bytes(port, request.encode())


async def receive(answers: list[Answer], path: str, **headers: str) -> Received:
    """
    Return what a caller receives for a stream.

    Parameters
    ----------
    answers : list of Answer
        Answers in the order of the runs, whichever engines they are sent to; the last
        one is repeated.
    path : str
        Target of the request.
    **headers
        Its other headers.
    """
    left = list(answers)

    async def script(request: EngineRequest, reader: Any, writer: Any) -> None:
        answer = left.pop(0) if len(left) > 1 else left[0]
        await answer.send(request, reader, writer)

    async with AsyncExitStack() as stack:
        addresses = [
            await stack.enter_async_context(serving(script)) for _ in range(ENGINES)
        ]
        port = await stack.enter_async_context(serving_callers(addresses))
        loop = asyncio.get_running_loop()
        began = loop.time()
        data = await call(port, path, **headers)
        return Received(data, loop.time() - began)


def receive_all(
    cases: dict[Any, list[Answer]], path: str, **headers: str
) -> dict[Any, Received]:
    """Return what callers receive in some cases, each with a gateway of its own."""

    async def main() -> dict[Any, Received]:
        slots = asyncio.Semaphore(CONCURRENCY)

        async def receive_one(answers: list[Answer]) -> Received:
            async with slots:
                return await receive(answers, path, **headers)

        found = await asyncio.gather(*(receive_one(it) for it in cases.values()))
        return dict(zip(cases, found, strict=True))

    return asyncio.run(main())
