"""Requests and answers of replicas, as bytes."""

import asyncio
import json
from typing import Any

import httptools

from lentilhaven.standins.platform.fake_replica import FakeReplica


class RequestReader:
    """Collects one request with the parser's callbacks."""

    def __init__(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.target = ""
        self.fields: dict[str, str] = {}
        self.body = b""
        self.has_head = False
        self.complete = False

    def on_url(self, url: bytes) -> None:
        """Take the target."""
        self.target += url.decode()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self.fields[name.decode().lower()] = value.decode()

    def on_headers_complete(self) -> None:
        """Note that the head is there."""
        self.has_head = True

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Note that the request is there."""
        self.complete = True

    @property
    def method(self) -> str:
        """Return the request's method."""
        return self.parser.get_method().decode()


async def read_request(
    reader: asyncio.StreamReader, early: bool
) -> RequestReader | None:
    """
    Read a request, or only its head; None at the end of the connection.

    Parameters
    ----------
    reader : asyncio.StreamReader
        The connection.
    early : bool
        Whether the head is enough.
    """
    request = RequestReader()
    while not (request.complete or (early and request.has_head)):
        data = await reader.read(65536)
        if not data:
            return None
        request.parser.feed_data(data)
    return request


def decode_path(path: str) -> list[tuple[str, int, int]]:
    """Return the parts of a chain."""
    parts = []
    for item in path.split(","):
        address, _, span = item.partition("=")
        start, _, end = span.partition("-")
        parts.append((address, int(start), int(end)))
    return parts


def chunk(data: bytes) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def encode_head(
    replica: FakeReplica, request: RequestReader, status: int, *lines: str
) -> bytes:
    """Return the head of an answer."""
    head = [
        f"HTTP/1.1 {status} -",
        f"Request-Id: {request.fields.get('request-id', '')}",
        f"Replica-Signature: {replica.id}.{request.fields.get('request-id', '')}",
        "Weight-Versions: 1",
        *lines,
    ]
    return ("\r\n".join(head) + "\r\n\r\n").encode()


def encode_answer(
    replica: FakeReplica,
    request: RequestReader,
    status: int,
    body: bytes,
    unframed: bool,
) -> bytes:
    """Return a whole answer."""
    line = "Connection: close" if unframed else f"Content-Length: {len(body)}"
    return encode_head(replica, request, status, line) + body


async def answer(
    writer: asyncio.StreamWriter,
    request: RequestReader,
    status: int,
    body: bytes,
    not_run: bool = False,
    at_fault: str = "",
) -> bool:
    """Send an answer that is no run's."""
    lines = [
        f"HTTP/1.1 {status} -",
        f"Request-Id: {request.fields.get('request-id', '')}",
        f"Content-Length: {len(body)}",
        "Content-Type: application/json",
    ]
    if not_run:
        lines.append("Not-Executed: 1")
    if at_fault:
        lines.append(f"At-Server: {at_fault}")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    await writer.drain()
    return True


async def answer_json(
    writer: asyncio.StreamWriter, request: RequestReader, value: Any
) -> bool:
    """Send a JSON value."""
    return await answer(writer, request, 200, json.dumps(value).encode())
