"""Connections to endpoints."""

import asyncio
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import attrs
import httptools

from lentilhaven.core.logs import get_logger
from lentilhaven.platform.response_head import ResponseHead, decode_response_head
from lentilhaven.sockets import has_unread_bytes
from lentilhaven.upstream.answer_memory import (
    MAX_HEAD_BYTES,
    MAX_HEAD_FIELDS,
    TOO_LARGE,
    AnswerMemory,
)
from lentilhaven.upstream.exchange import MAX_UNREAD_BYTES, Exchange, UpstreamError

#: Milliseconds after which unacknowledged bytes end a connection: a few round trips
#: with retransmissions, so that a peer that has lost power is detected.
USER_TIMEOUT_MS = 1500


#: Seconds of silence after which the kernel asks whether the peer is still there, and
#: seconds between two questions.  A silent process answers through its kernel; a peer
#: that has lost power, or is cut off, does not, and the connection ends after
#: `USER_TIMEOUT_MS`.
KEEPALIVE_IDLE = 1
KEEPALIVE_INTERVAL = 1

#: Socket options by which the kernel detects a lost peer: name, level, number, value.
LIVENESS_OPTIONS = (
    ("TCP_USER_TIMEOUT", socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ("SO_KEEPALIVE", socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    ("TCP_KEEPIDLE", socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE),
    ("TCP_KEEPINTVL", socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL),
)

log = get_logger("upstream")


@attrs.define
class Activity:
    """
    The latest data on any of an endpoint's connections.

    Attributes
    ----------
    at : float
        Event loop time of their arrival, in seconds.
    """

    at: float = 0.0


class UpstreamConnection(asyncio.Protocol):
    """
    One connection, which carries one exchange at a time.

    Attributes
    ----------
    transport : asyncio.Transport or None
        Transport of the connection; None before it is made and once it is lost.
    exchange : Exchange or None
        Exchange in progress.
    usable : bool
        Whether another exchange may begin after the current one.
    keep_alive : float or None
        Seconds after which the endpoint closes the connection if it is idle; None if
        the endpoint has not stated it.
    idle_since : float
        Event loop time at which the last exchange ended, or at which the connection
        was made if it has carried none, in seconds.
    request_ids : set of str
        Ids of the requests that the connection has carried.
    may_be_late : bool
        Whether a response may belong to an earlier request: the connection has carried
        one, or a response to another one.
    on_lost : callable
        Called with this connection when it is lost.
    on_head : callable
        Called with the head of each response to a request in progress, and of any other
        by which the endpoint says that it is leaving: what else a late one says may
        hold no longer.
    memory : AnswerMemory
        Memory that the responses of all connections share.
    on_given_up : callable
        Called with an exchange whose response was too large.
    on_unidentified : callable
        Called with this connection and the head of each response that does not name
        the request in progress.
    activity : Activity
        Latest data on this connection and others like it.
    relayed : bool
        Whether the connection passes through another gateway.
    parser : httptools.HttpResponseParser
        Parser of the responses.
    fields : list of (str, str)
        Headers of the response being parsed.
    field_bytes : int
        Size of these headers.
    framing_bytes : int
        Number of bytes received since the last part of a body or the last response.
    skipped_bytes : int
        Number of bytes of responses to other requests, during this exchange.
    head : ResponseHead or None
        Head of the response being parsed; None until it is complete.
    matches_request : bool
        Whether that response belongs to the request in progress.
    ends_at_eof : bool
        Whether that response ends when the endpoint closes the connection.
    reading_paused : bool
        Whether reading is paused because too much of a body is unread.
    eof_seen : bool
        Whether the endpoint has closed its side of the connection.
    head_only : bool
        Whether the answer to the request in progress has no body, whatever its head
        says: the request's method is HEAD.
    awaits_no_body : bool
        Whether the parser waits for a body that does not come.
    """

    def __init__(
        self,
        on_lost: Callable[["UpstreamConnection"], None],
        on_head: Callable[[ResponseHead], None] = lambda head: None,
        memory: AnswerMemory | None = None,
        on_given_up: Callable[[Exchange], None] = lambda exchange: None,
        activity: Activity | None = None,
        relayed: bool = False,
        on_unidentified: Callable[["UpstreamConnection", ResponseHead], None] = (
            lambda connection, head: None
        ),
    ) -> None:
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.usable = True
        self.keep_alive: float | None = None
        self.idle_since = 0.0
        self.request_ids: set[str] = set()
        self.may_be_late = False
        self.on_lost = on_lost
        self.on_head = on_head
        self.memory = AnswerMemory() if memory is None else memory
        self.on_given_up = on_given_up
        self.activity = Activity() if activity is None else activity
        self.relayed = relayed
        self.on_unidentified = on_unidentified
        self.parser = httptools.HttpResponseParser(self)
        self.fields: list[tuple[str, str]] = []
        self.field_bytes = 0
        self.framing_bytes = 0
        self.skipped_bytes = 0
        self.head: ResponseHead | None = None
        self.matches_request = False
        self.ends_at_eof = False
        self.reading_paused = False
        self.eof_seen = False
        self.head_only = False
        self.awaits_no_body = False

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.idle_since = asyncio.get_running_loop().time()
        sock = transport.get_extra_info("socket")
        if sock is not None:
            set_liveness_options(sock)

    def data_received(self, data: bytes) -> None:
        """Parse received data; close the connection if no request is in progress."""
        if self.exchange is None:
            self.retire()
            return
        self.activity.at = asyncio.get_running_loop().time()
        self.framing_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.fail("malformed", "the endpoint switched protocols")
        except httptools.HttpParserError as error:
            self.fail("malformed", f"{type(error).__name__}: {error}")
        if self.awaits_no_body:
            self.awaits_no_body = False
            self.parser = httptools.HttpResponseParser(self)
        self.check_framing()

    def eof_received(self) -> None:
        """Complete a response that ends at EOF; the transport then closes itself."""
        self.eof_seen = True
        self.usable = False
        if self.ends_at_eof and self.exchange is not None and self.matches_request:
            self.complete_exchange()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the exchange in progress."""
        self.transport = None
        self.usable = False
        kind = "closed" if self.eof_seen or exc is None else "reset"
        self.fail(kind, str(exc or "the endpoint closed the connection"))
        self.on_lost(self)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Discard the head of the previous response."""
        self.fields = []
        self.field_bytes = 0
        self.head = None
        self.matches_request = False
        self.ends_at_eof = False
        if self.exchange is None:
            self.retire()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header or trailer."""
        self.field_bytes += len(name) + len(value)
        if len(self.fields) >= MAX_HEAD_FIELDS or self.field_bytes > MAX_HEAD_BYTES:
            self.give_up_head()
            return
        self.fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Deliver the head if it belongs to the request in progress."""
        status = self.parser.get_status_code()
        # A status below 200 announces that the final response is still to come.
        if status < 200 or self.exchange is None:
            return
        head = decode_response_head(status, self.fields)
        self.head = head
        self.ends_at_eof = not self.is_self_delimited()
        self.matches_request = self.answers(head, self.exchange.request_id)
        if self.matches_request or head.leaving:
            self.on_head(head)
        if head.request_id != self.exchange.request_id:
            self.on_unidentified(self, head)
        if not self.matches_request:
            # A late response to an earlier request, perhaps; the expected one may
            # follow.
            self.usable = False
            self.may_be_late = True
            return
        if head.closes_connection or self.ends_at_eof:
            self.usable = False
        if head.keep_alive is not None:
            self.keep_alive = head.keep_alive
        self.exchange.ends_at_eof = self.ends_at_eof
        self.exchange.head = head
        self.exchange.wake()
        if self.head_only:
            self.awaits_no_body = True
            self.complete_exchange()

    def on_body(self, body: bytes) -> None:
        """Deliver a part of the body, and pause reading if too much is unread."""
        if self.exchange is None:
            self.retire()
            return
        self.framing_bytes = 0
        if not self.matches_request:
            self.skip(len(body))
            return
        self.exchange.add_chunk(body)
        if self.exchange is None:
            return
        if self.exchange.unread_bytes > MAX_UNREAD_BYTES and self.transport is not None:
            self.reading_paused = True
            self.transport.pause_reading()

    def on_message_complete(self) -> None:
        """Complete the exchange if the response belongs to its request."""
        if self.head is not None:
            self.framing_bytes = 0
        if self.matches_request and self.exchange is not None and self.head is not None:
            self.complete_exchange()

    # Methods that the gateway calls.

    def begin(self, request_id: str, head: bytes, body: bytes) -> Exchange:
        """
        Send a request, and return the exchange that receives its response.

        No other exchange may be in progress.

        Parameters
        ----------
        request_id : str
            Id of the request, which the response must repeat.
        head, body : bytes
            Encoded head and body of the request.

        Raises
        ------
        UpstreamError
            If the connection is already lost; nothing is sent in this case.
        """
        if self.transport is None or self.transport.is_closing():
            raise UpstreamError("closed", "the connection was lost", sent=False)
        self.exchange = Exchange(
            request_id,
            memory=self.memory,
            resume_reading=self.resume_reading,
            on_given_up=self.drop,
        )
        self.framing_bytes = self.skipped_bytes = 0
        self.head_only = head.startswith(b"HEAD ")
        self.may_be_late = self.may_be_late or bool(self.request_ids)
        self.request_ids.add(request_id)
        self.transport.write(head + body if body else head)
        return self.exchange

    @contextmanager
    def exchanging(
        self, request_id: str, head: bytes, body: bytes
    ) -> Iterator[Exchange]:
        """
        Send a request, and hold its response until the context ends.

        Parameters and errors are those of `begin`.
        """
        exchange = self.begin(request_id, head, body)
        try:
            yield exchange
        finally:
            exchange.close()

    def answers(self, head: ResponseHead, request_id: str) -> bool:
        """
        Return whether a response certainly belongs to the request in progress.

        Its place among the responses proves this only as long as the connection has
        carried nothing else.  A success must have the id in any case.

        Parameters
        ----------
        head : ResponseHead
            Head of the response.
        request_id : str
            Id of the request.
        """
        if head.request_id:
            return head.request_id == request_id
        return head.status >= 300 and not self.may_be_late

    def check_framing(self) -> None:
        """Account for a head of which a part has arrived, and bound its size."""
        if self.exchange is None:
            return
        if self.framing_bytes > MAX_HEAD_BYTES:
            self.give_up_head()
        elif self.framing_bytes or self.field_bytes != self.exchange.head_bytes:
            self.exchange.note_head(self.framing_bytes + self.field_bytes)

    def give_up_head(self) -> None:
        """Give up an exchange whose head or trailers are too large."""
        if self.exchange is not None:
            detail = f"a head of more than {MAX_HEAD_BYTES} bytes"
            self.exchange.give_up(TOO_LARGE, detail)

    def skip(self, size: int) -> None:
        """Bound the size of responses to other requests."""
        self.skipped_bytes += size
        if self.skipped_bytes > self.memory.answer_limit and self.exchange is not None:
            detail = f"{self.skipped_bytes} bytes of responses to other requests"
            self.exchange.give_up(TOO_LARGE, detail)

    def drop(self, exchange: Exchange) -> None:
        """Close the connection, since a response is too large."""
        self.on_given_up(exchange)
        if self.exchange is exchange:
            self.exchange = None
        self.abort()

    def complete_exchange(self) -> None:
        """Complete the exchange in progress."""
        exchange, self.exchange = self.exchange, None
        if self.transport is None or self.transport.get_write_buffer_size():
            # The response came before the whole request was sent.  The rest of the
            # request must not be mixed with another one.
            self.usable = False
        self.idle_since = asyncio.get_running_loop().time()
        if exchange is not None:
            exchange.finish()

    def has_unread_bytes(self) -> bool:
        """Return whether bytes, or the end, have arrived that were not read."""
        return self.transport is not None and has_unread_bytes(self.transport)

    def is_self_delimited(self) -> bool:
        """Return whether the head defines where the response ends."""
        if self.head_only:
            return True
        names = {name.lower(): value.lower() for name, value in self.fields}
        if "content-length" in names:
            return True
        if "chunked" in names.get("transfer-encoding", ""):
            return True
        return self.parser.get_status_code() in (204, 304)

    def fail(self, kind: str, detail: str) -> None:
        """Fail the exchange in progress and close the connection."""
        exchange, self.exchange = self.exchange, None
        if exchange is not None:
            exchange.fail(UpstreamError(kind, detail, sent=True))
        self.abort()

    def retire(self) -> None:
        """Carry no further exchange; close the connection if there is none."""
        self.usable = False
        if self.exchange is None:
            self.abort()

    def resume_reading(self) -> None:
        """Resume reading after the consumer has taken the unread data."""
        if self.reading_paused and self.transport is not None:
            self.reading_paused = False
            self.transport.resume_reading()

    def abort(self) -> None:
        """Close the connection at once, which makes the endpoint stop its work."""
        self.usable = False
        if self.transport is not None:
            self.transport.abort()


def set_liveness_options(sock: socket.socket) -> None:
    """
    Let the kernel end a connection whose peer no longer acknowledges anything.

    An option that the system does not know is logged, and the others are set.

    Parameters
    ----------
    sock : socket.socket
        Socket of a TCP connection.
    """
    for name, level, number, value in LIVENESS_OPTIONS:
        try:
            sock.setsockopt(level, number, value)
        except OSError as error:
            log.warning("socket option not set", option=name, error=str(error))
