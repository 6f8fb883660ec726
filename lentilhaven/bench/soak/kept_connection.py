"""A caller's connection to a gateway, which it keeps for many requests."""

import asyncio
import os
import socket
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import attrs
import httptools

#: Maximum number of bytes that are read at a time.
CHUNK_SIZE = 65_536

#: Bytes of a body that a caller keeps; longer ones are answers without end.
KEPT_BYTES = 200_000

#: Seconds within which a connection must be established.
CONNECT_TIMEOUT = 1.0


class ResponseReader:
    """
    Collects one response through the callbacks of the parser.

    Attributes
    ----------
    parser : httptools.HttpResponseParser
        Parser that calls the ``on_`` methods.
    fields : dict
        Headers by name in lower case.
    body : bytes
        Body, as far as received, at most about `KEPT_BYTES`.
    has_head : bool
        Whether the head is complete.
    complete : bool
        Whether the response is complete.
    """

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.fields: dict[str, str] = {}
        self.body = b""
        self.has_head = False
        self.complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.fields[name.decode().lower()] = value.decode()

    def on_headers_complete(self) -> None:
        """Mark the head as complete."""
        self.has_head = True

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        if len(self.body) < KEPT_BYTES:
            self.body += body

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        self.complete = True

    @property
    def status(self) -> int:
        """Return the status code; 0 before the head is complete."""
        return self.parser.get_status_code() if self.has_head else 0

    @property
    def is_framed(self) -> bool:
        """Return whether the body has a length or chunks."""
        return "content-length" in self.fields or "transfer-encoding" in self.fields

    @property
    def keeps_connection(self) -> bool:
        """Return whether the connection may carry another request."""
        return self.is_framed and self.fields.get("connection", "").lower() != "close"

    def end(self) -> None:
        """Take an orderly end, which completes a body that is not framed."""
        if self.has_head and not self.is_framed:
            self.complete = True


@attrs.define(eq=False)
class KeptConnection:
    """
    A connection that is opened when it is needed, and then kept.

    Attributes
    ----------
    address : str
        Address of the gateway, as ``IP:PORT``.
    max_idle : float
        Seconds for which an idle connection is kept.
    streams : tuple or None
        Reader and writer of the open connection; None if there is none.
    used_at : float
        Time of the event loop at which the last response ended, in seconds.
    is_reused : bool
        Whether the open connection has carried a response.
    """

    address: str
    max_idle: float
    streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    used_at: float = 0.0
    is_reused: bool = False

    def close(self) -> None:
        """Close the connection, if there is one."""
        if self.streams is not None:
            self.streams[1].close()
        self.streams = None
        self.is_reused = False

    async def ensure_open(self) -> None:
        """
        Open the connection unless it is open and was in use lately.

        Raises
        ------
        OSError, TimeoutError
            If the gateway does not accept the connection.
        """
        idle = asyncio.get_running_loop().time() - self.used_at
        if self.streams is not None and (
            idle > self.max_idle or peer_has_closed(self.streams[1])
        ):
            self.close()
        if self.streams is None:
            host, _, port = self.address.partition(":")
            async with asyncio.timeout(CONNECT_TIMEOUT):
                self.streams = await asyncio.open_connection(host, int(port))

    async def exchange(
        self, request: bytes, response: ResponseReader, pause: float = 0.0
    ) -> None:
        """
        Send a request and read until the response or the connection ends.

        Parameters
        ----------
        request : bytes
            The request.
        response : ResponseReader
            Takes what is received.
        pause : float
            Seconds before the last byte of the request.

        Raises
        ------
        OSError
            If the connection is reset.
        httptools.HttpParserError
            If the received bytes are no response.
        """
        assert self.streams is not None
        reader, writer = self.streams
        if pause:
            writer.write(request[:-1])
            await asyncio.sleep(pause)
            request = request[-1:]
        writer.write(request)
        while not response.complete:
            data = await reader.read(CHUNK_SIZE)
            if not data:
                response.end()
                self.close()
                return
            response.parser.feed_data(data)
        self.used_at = asyncio.get_running_loop().time()
        self.is_reused = True
        if not response.keeps_connection:
            self.close()


def peer_has_closed(writer: asyncio.StreamWriter) -> bool:
    """Return whether the end of a connection has arrived, read or not."""
    transport_socket = writer.get_extra_info("socket")
    if writer.transport.is_closing() or transport_socket.fileno() < 0:
        return True
    with socket.socket(fileno=os.dup(transport_socket.fileno())) as sock:
        try:
            return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True


def encode_request(
    method: str, target: str, fields: Mapping[str, str], body: bytes
) -> bytes:
    """Return a request with a length."""
    lines = [f"{name}: {value}\r\n" for name, value in fields.items()]
    head = f"{method} {target} HTTP/1.1\r\n{''.join(lines)}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


@asynccontextmanager
async def open_connection(
    address: str, max_idle: float
) -> AsyncIterator[KeptConnection]:
    """Yield a connection that is closed at the end of the context."""
    connection = KeptConnection(address, max_idle)
    try:
        yield connection
    finally:
        connection.close()
