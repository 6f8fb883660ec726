"""The end of a connection through another gateway at that gateway."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import attrs

from lentilhaven.core.logs import get_logger
from lentilhaven.core.tasks import report_task_failure
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.links.frames import Notice, StreamEnd, encode_frame, encode_mark
from lentilhaven.links.handshake import (
    MAX_LINE_BYTES,
    TunnelError,
    TunnelRequest,
    decode_request,
    encode_answer,
)
from lentilhaven.upstream.connect import Connect
from lentilhaven.upstream.connection import set_liveness_options

#: Seconds within which the request must have arrived.
HANDSHAKE_TIMEOUT = 1.0

#: Timeout of the connection to an endpoint, in seconds: several round trips between
#: data centres.  Meanwhile the other gateway begins to ask the next one.
CONNECT_TIMEOUT = 0.15

#: Bytes that may wait to be written on one side before the other is not read any more.
MAX_BUFFER_BYTES = 65_536

log = get_logger("links")


@attrs.define(eq=False)
class TunnelServer:
    """
    Connects other gateways to endpoints.

    Attributes
    ----------
    find_endpoint : callable
        Returns the endpoint of a request, or why it may not be connected.
    connect : callable
        Opens connections to endpoints.
    max_tunnels : int
        Maximum number of connections of other gateways.
    is_leaving : callable
        Returns whether the process is shutting down.
    is_doubtful : callable
        Returns whether links of this gateway are gone, so that a refused connection
        does not show that nothing listens.
    tunnels : set of Tunnel
        The connections of other gateways.
    on_end : callable
        Called after the end of a connection.
    """

    find_endpoint: Callable[[TunnelRequest], Endpoint | TunnelError]
    connect: Connect
    max_tunnels: int
    is_leaving: Callable[[], bool] = lambda: False
    is_doubtful: Callable[[], bool] = lambda: False
    tunnels: "set[Tunnel]" = attrs.field(factory=set)
    on_end: Callable[[], None] = lambda: None

    def admit(self, request: TunnelRequest | None) -> Endpoint | TunnelError:
        """Return the endpoint to connect to, or why none is connected."""
        if request is None:
            return TunnelError.MALFORMED
        if self.is_leaving() or len(self.tunnels) > self.max_tunnels:
            return TunnelError.BUSY
        return self.find_endpoint(request)

    def announce_leaving(self) -> None:
        """Tell the other gateways to send no further requests through this one."""
        for tunnel in list(self.tunnels):
            tunnel.announce_leaving()


class Tunnel(asyncio.Protocol):
    """
    A connection of another gateway, and the one to the endpoint that it asks for.

    Attributes
    ----------
    server : TunnelServer
        What this is a connection of.
    transport : asyncio.Transport or None
        Transport to the other gateway.
    endpoint_side : EndpointSide or None
        The connection to the endpoint; None until there is one.
    buffer : bytes
        Start of the request, and what follows it until the endpoint is connected.
    request : TunnelRequest or None
        The request; None until it is complete.
    timer : asyncio.TimerHandle or None
        Ends the connection if no request arrives.
    sent, received : int
        Bytes passed on to the endpoint, and from it.
    began : float
        Event loop time of the start, in seconds.
    """

    def __init__(self, server: TunnelServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.endpoint_side: EndpointSide | None = None
        self.buffer = b""
        self.request: TunnelRequest | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.sent = 0
        self.received = 0
        self.began = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the request."""
        assert isinstance(transport, asyncio.Transport)
        loop = asyncio.get_running_loop()
        self.transport = transport
        prepare_transport(transport)
        self.began = loop.time()
        self.server.tunnels.add(self)
        self.timer = loop.call_later(HANDSHAKE_TIMEOUT, self.abort)

    def data_received(self, data: bytes) -> None:
        """Read the request, then pass bytes on to the endpoint."""
        if self.endpoint_side is not None:
            self.sent += len(data)
            self.endpoint_side.write(data)
            return
        self.buffer += data
        if self.request is None:
            line, newline, rest = self.buffer.partition(b"\n")
            if newline:
                self.buffer = rest
                self.begin(decode_request(line))
        if self.endpoint_side is None and len(self.buffer) > MAX_LINE_BYTES:
            # The other gateway sends nothing more before it has the answer.
            self.refuse(TunnelError.MALFORMED)

    def begin(self, request: TunnelRequest | None) -> None:
        """Connect to the endpoint of a request in a task."""
        if self.timer is not None:
            self.timer.cancel()
        endpoint = self.server.admit(request)
        if isinstance(endpoint, TunnelError):
            self.refuse(endpoint)
            return
        self.request = request
        task = asyncio.ensure_future(self.connect_endpoint(endpoint))
        task.add_done_callback(report_task_failure)

    async def connect_endpoint(self, endpoint: Endpoint) -> None:
        """Connect to an endpoint, and answer the request."""
        host, _, port = endpoint.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, side = await self.server.connect(
                    lambda: EndpointSide(self), host, int(port)
                )
        except ConnectionRefusedError:
            is_doubtful = self.server.is_doubtful()
            self.refuse(TunnelError.UNREACHED if is_doubtful else TunnelError.REFUSED)
            return
        except (OSError, TimeoutError):
            self.refuse(TunnelError.UNREACHED)
            return
        if self.transport is None:
            side.abort()
            return
        self.endpoint_side = side
        self.transport.write(encode_answer(None))
        if self.server.is_leaving():
            self.announce_leaving()
        if self.buffer:
            data, self.buffer = self.buffer, b""
            self.data_received(data)

    def refuse(self, error: TunnelError) -> None:
        """Answer that the endpoint is not connected, and close the connection."""
        if self.transport is not None:
            log.info(
                "endpoint not connected for another gateway",
                peer=self.request.vm if self.request else "",
                endpoint=self.request.incarnation[0] if self.request else "",
                reason=error.value,
            )
            self.transport.write(encode_answer(error))
            self.transport.close()

    def announce_leaving(self) -> None:
        """Tell the other gateway to use this connection for no further request."""
        is_connected = self.transport is not None and self.endpoint_side is not None
        if is_connected and self.request is not None and self.request.takes_notices:
            assert self.transport is not None
            self.transport.write(encode_mark(Notice.LEAVING))

    def pass_back(self, data: bytes) -> None:
        """Pass on what the endpoint has sent."""
        self.received += len(data)
        if self.transport is not None:
            self.transport.write(encode_frame(data))

    def end(self, end: StreamEnd) -> None:
        """Tell how the endpoint's connection has ended, and close this one."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(encode_mark(end))
            self.transport.close()

    def pause_writing(self) -> None:
        """Read no more from the endpoint while the other gateway does not take it."""
        if self.endpoint_side is not None:
            self.endpoint_side.pause_reading()

    def resume_writing(self) -> None:
        """Read from the endpoint again."""
        if self.endpoint_side is not None:
            self.endpoint_side.resume_reading()

    def eof_received(self) -> None:
        """End the work at the endpoint: a gateway closes to cancel it."""
        self.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the connection to the endpoint."""
        self.transport = None
        if self.timer is not None:
            self.timer.cancel()
        self.server.tunnels.discard(self)
        self.server.on_end()
        if self.endpoint_side is None:
            return
        self.endpoint_side.abort()
        assert self.request is not None
        log.info(
            "connection of another gateway ended",
            peer=self.request.vm,
            endpoint=self.request.incarnation[0],
            seconds=round(asyncio.get_running_loop().time() - self.began, 3),
            sent=self.sent,
            received=self.received,
        )

    def abort(self) -> None:
        """Close the connection at once."""
        if self.transport is not None:
            self.transport.abort()


class EndpointSide(asyncio.Protocol):
    """
    The connection to an endpoint on behalf of another gateway.

    Attributes
    ----------
    tunnel : Tunnel
        The connection of the other gateway.
    transport : asyncio.Transport or None
        Transport to the endpoint.
    eof_seen : bool
        Whether the endpoint has closed its side in order.
    """

    def __init__(self, tunnel: Tunnel) -> None:
        self.tunnel = tunnel
        self.transport: asyncio.Transport | None = None
        self.eof_seen = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        prepare_transport(transport)

    def data_received(self, data: bytes) -> None:
        """Pass on what the endpoint sends."""
        self.tunnel.pass_back(data)

    def eof_received(self) -> None:
        """Take note of an orderly end."""
        self.eof_seen = True

    def connection_lost(self, exc: BaseException | None) -> None:
        """Pass on how the connection has ended."""
        self.transport = None
        is_orderly = self.eof_seen or exc is None
        self.tunnel.end(StreamEnd.CLOSED if is_orderly else StreamEnd.BROKEN)

    def pause_writing(self) -> None:
        """Read no more from the other gateway while the endpoint does not take it."""
        if self.tunnel.transport is not None:
            self.tunnel.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read from the other gateway again."""
        if self.tunnel.transport is not None:
            self.tunnel.transport.resume_reading()

    def write(self, data: bytes) -> None:
        """Send data to the endpoint."""
        if self.transport is not None:
            self.transport.write(data)

    def pause_reading(self) -> None:
        """Read no more from the endpoint."""
        if self.transport is not None:
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Read from the endpoint again."""
        if self.transport is not None:
            self.transport.resume_reading()

    def abort(self) -> None:
        """Close the connection at once, which makes the endpoint stop its work."""
        if self.transport is not None:
            self.transport.abort()


def prepare_transport(transport: asyncio.Transport) -> None:
    """Bound what waits to be written, and let the kernel detect a lost peer."""
    transport.set_write_buffer_limits(high=MAX_BUFFER_BYTES)
    sock = transport.get_extra_info("socket")
    if sock is not None:
        set_liveness_options(sock)


@asynccontextmanager
async def open_tunnel_listener(
    server: TunnelServer, host: str, port: int
) -> AsyncIterator[TunnelServer]:
    """
    Accept connections of other gateways until the context ends.

    Parameters
    ----------
    server : TunnelServer
        Connects them to endpoints.
    host : str
        Local IP address.
    port : int
        Local port.
    """
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(lambda: Tunnel(server), host, port)
    try:
        yield server
    finally:
        listener.close()
        for tunnel in list(server.tunnels):
            tunnel.abort()
