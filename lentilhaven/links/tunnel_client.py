"""The end of a connection through another gateway at the gateway that asks for it."""

import asyncio
from typing import Any, Protocol

from lentilhaven.links.frames import FrameDecoder, FrameError, Notice, StreamEnd
from lentilhaven.links.handshake import (
    MAX_LINE_BYTES,
    TunnelError,
    TunnelRefusedError,
    TunnelRequest,
    decode_answer,
    encode_request,
)
from lentilhaven.upstream.connect import Connect


class InnerProtocol(Protocol):
    """A protocol that can be told how its connection was lost."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""

    def data_received(self, data: bytes) -> None:
        """Take data."""

    def eof_received(self) -> Any:
        """Take the end of the data."""

    def connection_lost(self, exc: BaseException | None) -> None:
        """Take the end of the connection."""

    def fail(self, kind: str, detail: str) -> None:
        """End with an error."""

    def retire(self) -> None:
        """Begin nothing new on the connection."""


class TunnelConnection(asyncio.Protocol):
    """
    Connection to another gateway, which copies the bytes of an endpoint.

    Attributes
    ----------
    request : TunnelRequest
        What the other gateway is asked for.
    address : str
        ``IP:PORT`` of the other gateway.
    inner : InnerProtocol
        The protocol that exchanges bytes with the endpoint.
    transport : asyncio.Transport or None
        Transport to the other gateway.
    connected : asyncio.Future
        Done once the endpoint is connected, or failed with an `OSError`.
    buffer : bytes
        Start of the other gateway's answer.
    decoder : FrameDecoder
        Splits what follows the answer.
    end : StreamEnd or None
        How the endpoint's connection has ended; None before that.
    """

    def __init__(
        self, request: TunnelRequest, address: str, inner: InnerProtocol
    ) -> None:
        self.request = request
        self.address = address
        self.inner = inner
        self.transport: asyncio.Transport | None = None
        self.connected = asyncio.get_running_loop().create_future()
        self.buffer = b""
        self.decoder = FrameDecoder()
        self.end: StreamEnd | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the endpoint is connected."""
        done = self.connected.done() and not self.connected.cancelled()
        return done and self.connected.exception() is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.write(encode_request(self.request))

    def data_received(self, data: bytes) -> None:
        """Read the answer, then pass on what the endpoint sends."""
        if self.is_open:
            self.pass_on(data)
            return
        self.buffer += data
        line, newline, rest = self.buffer.partition(b"\n")
        if newline:
            self.take_answer(decode_answer(line), rest)
        elif len(self.buffer) > MAX_LINE_BYTES:
            self.take_answer(TunnelError.MALFORMED, b"")

    def take_answer(self, error: TunnelError | None, rest: bytes) -> None:
        """Begin to pass bytes on, or give up."""
        assert self.transport is not None
        if self.connected.done():
            self.transport.abort()
        elif error is not None:
            self.connected.set_exception(TunnelRefusedError(error, self.address))
            self.transport.abort()
        else:
            self.connected.set_result(None)
            self.inner.connection_made(self.transport)
            if rest:
                self.pass_on(rest)

    def pass_on(self, data: bytes) -> None:
        """Pass on what the endpoint has sent, and the end of its connection."""
        try:
            frames = self.decoder.feed(data)
        except FrameError as error:
            self.inner.fail("malformed", str(error))
            return
        for frame in frames:
            if isinstance(frame, bytes):
                self.inner.data_received(frame)
                continue
            if frame is Notice.LEAVING:
                self.inner.retire()
                continue
            assert isinstance(frame, StreamEnd)
            self.end = frame
            if frame is StreamEnd.CLOSED:
                self.inner.eof_received()
            if self.transport is not None:
                self.transport.abort()
            return

    def connection_lost(self, exc: BaseException | None) -> None:
        """Tell the inner protocol how the endpoint's connection has ended."""
        self.transport = None
        if not self.connected.done():
            detail = f"gateway {self.address} closed the connection"
            self.connected.set_exception(ConnectionResetError(detail))
            return
        if not self.is_open:
            return
        if self.end is StreamEnd.BROKEN:
            exc = ConnectionResetError("the endpoint reset the connection")
        elif self.end is None:
            # Nothing is known about the endpoint.
            self.inner.fail("relay-lost", f"gateway {self.address} is lost")
            exc = None
        self.inner.connection_lost(exc)


async def open_tunnel(
    connect: Connect, address: str, request: TunnelRequest, inner: InnerProtocol
) -> TunnelConnection:
    """
    Connect a protocol to an endpoint through another gateway.

    Parameters
    ----------
    connect : callable
        Opens the connection to the other gateway.
    address : str
        Its address, as ``IP:PORT``.
    request : TunnelRequest
        The endpoint.
    inner : InnerProtocol
        The protocol.

    Raises
    ------
    OSError
        If the other gateway can't be reached, or does not connect the endpoint.
    """
    host, _, port = address.rpartition(":")
    _, tunnel = await connect(
        lambda: TunnelConnection(request, address, inner), host, int(port)
    )
    try:
        await tunnel.connected
    except asyncio.CancelledError:
        if tunnel.transport is not None:
            tunnel.transport.abort()
        raise
    return tunnel
