"""Parsing of requests to replicas, and encoding of their responses."""

import asyncio
import json
import socket
import struct
from typing import Any

import httptools

from lentilhaven.standins.platform.fake_replica import FakeReplica

#: SO_LINGER option with a timeout of 0: closing the socket resets the connection.
LINGER_RESET = struct.pack("ii", 1, 0)


class RequestReader:
    """
    Collects one request through the callbacks of the parser.

    Attributes
    ----------
    parser : httptools.HttpRequestParser
        Parser that calls the ``on_`` methods.
    target : str
        Request target, as far as read.
    fields : dict
        Headers by name in lower case.
    body : bytes
        Body, as far as read.
    has_head : bool
        Whether the head is complete.
    complete : bool
        Whether the whole request is complete.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.target = ""
        self.fields: dict[str, str] = {}
        self.body = b""
        self.has_head = False
        self.complete = False

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        self.target += url.decode()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.fields[name.decode().lower()] = value.decode()

    def on_headers_complete(self) -> None:
        """Mark the head as complete."""
        self.has_head = True

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Mark the request as complete."""
        self.complete = True

    @property
    def method(self) -> str:
        """Return the method of the request."""
        return self.parser.get_method().decode()


async def read_request(
    reader: asyncio.StreamReader, early: bool
) -> RequestReader | None:
    """
    Read a request or its head; return None at the end of the connection.

    Parameters
    ----------
    reader : asyncio.StreamReader
        Stream of the connection.
    early : bool
        Whether to return once the head is complete.
    """
    request = RequestReader()
    while not (request.complete or (early and request.has_head)):
        data = await reader.read(65536)
        if not data:
            return None
        request.parser.feed_data(data)
    return request


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """
    Reset a connection, so that its peer does not take the end for an orderly one.

    A connection in memory knows no reset; it is closed.
    """
    sock = writer.get_extra_info("socket")
    number = sock.fileno()
    if isinstance(number, int) and number >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


def decode_path(path: str) -> list[tuple[str, int, int]]:
    """
    Return the address, first layer and layer after the last of each part of a chain.

    Parameters
    ----------
    path : str
        Parts in order, as ``IP:PORT=FIRST-END``, separated by commas.
    """
    parts = []
    for item in path.split(","):
        address, _, span = item.partition("=")
        start, _, end = span.partition("-")
        parts.append((address, int(start), int(end)))
    return parts


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def encode_head(
    replica: FakeReplica, request: RequestReader, status: int, *lines: str
) -> bytes:
    """Return the head of a response to a request that the replica runs."""
    head = [
        f"HTTP/1.1 {status} -",
        f"Request-Id: {request.fields.get('request-id', '')}",
        f"Replica-Signature: {replica.id}.{request.fields.get('request-id', '')}",
        "Weight-Versions: 1",
        *state_lines(replica),
        *lines,
    ]
    return ("\r\n".join(head) + "\r\n\r\n").encode()


def state_lines(replica: FakeReplica) -> list[str]:
    """Return the headers in which a replica says that it leaves, or names a limit."""
    lines = [f"Server-Limit: {limit}" for limit in replica.named_limits]
    return ["Server-Leaving: 1", *lines] if replica.announces_leaving else lines


def encode_response(
    replica: FakeReplica,
    request: RequestReader,
    status: int,
    body: bytes,
    unframed: bool,
) -> bytes:
    """
    Return a whole response to a request that the replica runs.

    An unframed response has no length and ends with the connection.
    """
    line = "Connection: close" if unframed else f"Content-Length: {len(body)}"
    return encode_head(replica, request, status, line) + body


async def send_response(
    replica: FakeReplica,
    writer: asyncio.StreamWriter,
    request: RequestReader,
    status: int,
    body: bytes,
    not_run: bool = False,
    failed_address: str = "",
) -> bool:
    """
    Send a response without the headers that `encode_head` adds for a run.

    Returns True, since the connection stays open.

    Parameters
    ----------
    replica : FakeReplica
        Replica that answers.
    writer : asyncio.StreamWriter
        Stream to the caller.
    request : RequestReader
        Request to answer.
    status : int
        HTTP status.
    body : bytes
        JSON document, or empty.
    not_run : bool
        Whether to guarantee, by a header, that the request has not run.
    failed_address : str
        Address of the part of the chain that caused the refusal, as ``IP:PORT``;
        empty for none.
    """
    lines = [
        f"HTTP/1.1 {status} -",
        f"Request-Id: {request.fields.get('request-id', '')}",
        f"Content-Length: {len(body)}",
        "Content-Type: application/json",
        *state_lines(replica),
    ]
    if status == 503 and replica.faults.pause:
        lines.append(f"Retry-After: {replica.faults.pause}")
    if not_run:
        lines.append("Not-Executed: 1")
    if failed_address:
        lines.append(f"At-Server: {failed_address}")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    await writer.drain()
    return True


async def send_json(
    replica: FakeReplica,
    writer: asyncio.StreamWriter,
    request: RequestReader,
    value: Any,
) -> bool:
    """Send a JSON value with status 200, and return that the connection stays open."""
    body = json.dumps(value).encode()
    return await send_response(replica, writer, request, 200, body)
