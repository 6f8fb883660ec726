"""A connection to an endpoint."""

import asyncio
import contextlib
import socket
from collections.abc import Callable

import httptools

from lentilhaven.platform.answer_head import AnswerHead, decode_answer_head
from lentilhaven.upstream.exchange import MOST_UNREAD, Exchange, UpstreamError

#: Milliseconds after which unacknowledged bytes end a connection: a few round
#: trips with retransmissions, so that a peer without power is noticed.
USER_TIMEOUT_MS = 1500


class UpstreamConnection(asyncio.Protocol):
    """
    One connection, which carries one exchange at a time.

    Attributes
    ----------
    transport : asyncio.Transport or None
        The connection; None once it is lost.
    exchange : Exchange or None
        What is under way.
    usable : bool
        Whether another exchange may begin after this one.
    keep_alive : float or None
        Seconds after which the endpoint closes it when idle, if it said so.
    idle_since : float
        Time of the event loop at which the last exchange ended.
    used : int
        Exchanges that were begun.
    on_lost : callable
        Called with this connection when it is lost.
    """

    def __init__(self, on_lost: Callable[["UpstreamConnection"], None]) -> None:
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.usable = True
        self.keep_alive: float | None = None
        self.idle_since = 0.0
        self.used = 0
        self.on_lost = on_lost
        self.parser = httptools.HttpResponseParser(self)
        self.fields: list[tuple[str, str]] = []
        self.head: AnswerHead | None = None
        self.ours = False
        self.until_end = False
        self.paused = False
        self.ended = False

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the options of the socket."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
                )

    def data_received(self, data: bytes) -> None:
        """Parse bytes; what belongs to no request spoils the connection."""
        if self.exchange is None:
            self.spoil()
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.fail("malformed", "the endpoint switched protocols")
        except httptools.HttpParserError as error:
            self.fail("malformed", f"{type(error).__name__}: {error}")

    def eof_received(self) -> None:
        """Take the end of the connection for the end of an unframed answer."""
        self.ended = True
        if self.until_end and self.exchange is not None and self.ours:
            self.end_exchange()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail what is under way."""
        self.transport = None
        self.usable = False
        kind = "closed" if self.ended or exc is None else "reset"
        self.fail(kind, str(exc or "the endpoint closed the connection"))
        self.on_lost(self)

    # What the parser calls.

    def on_message_begin(self) -> None:
        """Start with an empty head."""
        self.fields = []
        self.head = None
        self.ours = False
        self.until_end = False
        if self.exchange is None:
            self.spoil()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take one header."""
        self.fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Pass the head on if it answers the request that is under way."""
        status = self.parser.get_status_code()
        if status < 200 or self.exchange is None:
            return
        head = decode_answer_head(status, self.fields)
        self.head = head
        self.until_end = not self.has_length()
        anonymous = not head.request_id and status >= 300
        self.ours = anonymous or head.request_id == self.exchange.request_id
        if not self.ours:
            # A late answer to an earlier request; ours may follow it.
            self.usable = False
            return
        if head.closes or self.until_end:
            self.usable = False
        if head.keep_alive is not None:
            self.keep_alive = head.keep_alive
        self.exchange.head = head
        self.exchange.wake()

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body on."""
        if not self.ours or self.exchange is None:
            return
        self.exchange.add_chunk(body)
        if self.exchange.unread > MOST_UNREAD and self.transport is not None:
            self.paused = True
            self.transport.pause_reading()

    def on_message_complete(self) -> None:
        """End the exchange if the answer was its own."""
        if self.ours and self.exchange is not None and self.head is not None:
            self.end_exchange()

    # What the gateway calls.

    def begin(self, request_id: str, head: bytes, body: bytes) -> Exchange:
        """
        Send a request.

        Parameters
        ----------
        request_id : str
            Its id, which the answer must repeat.
        head, body : bytes
            The request.

        Raises
        ------
        UpstreamError
            If the connection is lost; nothing was sent.
        """
        if self.transport is None or self.transport.is_closing():
            raise UpstreamError("closed", "the connection was lost", sent=False)
        self.exchange = Exchange(request_id, resume_reading=self.resume_reading)
        self.used += 1
        self.transport.write(head + body if body else head)
        return self.exchange

    def end_exchange(self) -> None:
        """Note that the answer is complete."""
        exchange, self.exchange = self.exchange, None
        if self.transport is None or self.transport.get_write_buffer_size():
            # The answer came before the request was read: the rest of it must
            # not be mixed up with another request.
            self.usable = False
        self.idle_since = asyncio.get_running_loop().time()
        if exchange is not None:
            exchange.finish()

    def has_length(self) -> bool:
        """Return whether the answer's end can be told without the connection's."""
        names = {name.lower(): value.lower() for name, value in self.fields}
        if "content-length" in names:
            return True
        if "chunked" in names.get("transfer-encoding", ""):
            return True
        return self.parser.get_status_code() in (204, 304)

    def fail(self, kind: str, detail: str) -> None:
        """Fail the exchange under way and close the connection."""
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.fail(UpstreamError(kind, detail, sent=True))
        self.abort()

    def spoil(self) -> None:
        """Close a connection on which bytes arrived that nobody asked for."""
        self.usable = False
        if self.exchange is None:
            self.abort()

    def resume_reading(self) -> None:
        """Read the connection again after its bytes were taken."""
        if self.paused and self.transport is not None:
            self.paused = False
            self.transport.resume_reading()

    def abort(self) -> None:
        """Close the connection at once, which stops the endpoint's work."""
        self.usable = False
        if self.transport is not None:
            self.transport.abort()
