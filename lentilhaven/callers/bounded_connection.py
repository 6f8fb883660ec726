"""HTTP connections whose unconsumed bytes and parsing time are bounded."""

import asyncio
import time
from collections import deque
from typing import Any

from aiohttp import StreamReader, web
from aiohttp.http_exceptions import BadHttpMessage, LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import _ErrInfo

from lentilhaven.callers.connection_share import READ_BYTES, ConnectionShare
from lentilhaven.callers.drop_cause import DropCause
from lentilhaven.callers.message_size import (
    FIELD_BYTES,
    FIELD_OVERHEAD,
    body_bytes,
    head_bytes,
    queued_bytes,
)
from lentilhaven.callers.open_connections import OpenConnections
from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import describe_exception, get_logger
from lentilhaven.core.step import Step
from lentilhaven.sockets import has_unread_bytes

#: Bytes of queued requests, with their bodies, behind which no more is read.
MAX_QUEUED_BYTES = 65_536

#: Bytes of unsent answers that count as held by a connection; longer answers count in
#: the memory of answers.
MAX_UNSENT_BYTES = 65_536

#: Bytes that are read and dropped after a request that is refused, and the number and
#: the interval in seconds of looks for them.  A connection that closes with unread
#: bytes is reset, and the client may then lose the refusal.
MAX_DISCARDED, DISCARD_LOOKS, DISCARD_INTERVAL = 262_144, 10, 0.02

#: Seconds for which a connection is unused before it may be closed for a new one; its
#: client may be about to send a request.
MIN_UNUSED = 1.0

#: Maximum length of a parser's error text; the library's texts quote what was sent.
MAX_ERROR_TEXT = 200

#: Beginning of the last chunk of a body, behind an end of line.
LAST_CHUNK = b"\n0"

#: Text in the library's message about a head with too many fields.
TOO_MANY_FIELDS = "Too many headers"

#: Message for a header field that can't be decoded.
NOT_TEXT = "a header field is not text"

STATUS_HEAD_TOO_LARGE = 431

log = get_logger("callers")


class BoundedConnection(web.RequestHandler, asyncio.BufferedProtocol):
    """
    Connection that holds a bounded number of bytes that nobody has consumed.

    It reports its errors as plain text; subclasses may report them otherwise.

    Parameters
    ----------
    server : aiohttp.web.Server
        Server that keeps track of the open connections.
    share : ConnectionShare
        What the connections of the process share.
    opened : OpenConnections
        The open connections of the listener.
    head_limit : int
        Maximum size of a request's head, and of bytes that are neither part of a head
        nor of a body, in bytes.
    options
        Arguments of `aiohttp.web.RequestHandler`.

    Attributes
    ----------
    used_at : float
        Event loop time at which the connection was opened or its last response had
        been written, in seconds.
    last_payload : aiohttp.StreamReader or None
        Body of the last request whose head has arrived; None before the first one.
    unfinished, rest, lines : int
        Bytes since the read with the last complete head or the last byte of a body,
        estimated bytes of that read behind these, and ends of lines in both.
    costs : deque of int
        Bytes of memory of the heads in the queue of requests.
    held : int
        Bytes that the connection holds, as last counted.
    debt, charged_at : float
        Time of the event loop that it has taken and not paid off, and time of the last
        charge, in seconds.
    is_held_back : bool
        Whether the connection is not read until its turn.
    is_broken : bool
        Whether nothing that arrives is a request any more.
    refused : bool
        Whether the connection was refused when it was opened.
    discarded : int
        Number of bytes that were dropped since then.
    """

    __slots__ = (
        "share",
        "opened",
        "head_limit",
        "used_at",
        "last_payload",
        "unfinished",
        "rest",
        "lines",
        "costs",
        "held",
        "debt",
        "charged_at",
        "is_held_back",
        "is_broken",
        "refused",
        "discarded",
    )

    def __init__(
        self,
        server: web.Server,
        share: ConnectionShare,
        opened: OpenConnections,
        head_limit: int,
        **options: Any,
    ) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(
            server,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]
            read_bufsize=READ_BYTES,
            **options,
        )
        self.share = share
        self.opened = opened
        self.head_limit = head_limit
        self.last_payload: StreamReader | None = None
        self.unfinished = self.rest = self.lines = self.discarded = self.held = 0
        self.costs: deque[int] = deque()
        self.debt = 0.0
        self.used_at = self.charged_at = loop.time()
        self.is_held_back = self.is_broken = self.refused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a connection, or refuse it if too many are in use."""
        if self.opened.admit(self):
            super().connection_made(transport)
        else:
            self.refused = self.is_broken = True
            self.share.note_drop(DropCause.CONNECTIONS)
            self.refuse_connection(transport)

    def refuse_connection(self, transport: asyncio.BaseTransport) -> None:
        """Close a connection for which there is no place."""
        transport.close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Free what the connection holds."""
        self.opened.remove(self)
        self.share.turns.remove(self)
        self.is_broken = True
        if self.refused:
            # `super().connection_made` was not called.
            return
        super().connection_lost(exc)
        self.share.memory.resize(self, 0)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the event loop reads."""
        return self.share.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take the bytes that were read into the buffer."""
        self.data_received(bytes(self.share.buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes within the limits."""
        if self.is_broken:
            self.discard(len(data))
            return
        began, worked = self._loop.time(), time.thread_time()
        requests = self._request_count
        body = self.last_payload
        if body is not None and body.is_eof():
            body = None
        arrived = 0 if body is None else body_bytes(body)
        super().data_received(data)
        if self._request_count > requests:
            used = self.take_requests(self._request_count - requests)
            if body is not None:
                used += body_bytes(body) - arrived
            self.note_rest(data, used)
            if self.is_broken and body is not None and not body.is_eof():
                self._messages.pop()
                refuse_body(body, "the body is malformed")
        elif body is not None and (body.is_eof() or body_bytes(body) > arrived):
            self.note_rest(data, body_bytes(body) - arrived)
        else:
            self.note_unfinished(data, body)
        self.note_held()
        now = self._loop.time()
        if now > began and not (self.is_broken or self.is_held_back):
            # Other processes may have run meanwhile; virtual time does not pass here.
            cost = min(now - began, time.thread_time() - worked)
            self.share.turns.charge(self, cost, now)

    def take_requests(self, count: int) -> int:
        """
        Check the heads of new requests, and shorten the parser's error.

        Returns
        -------
        int
            Number of bytes of the requests.
        """
        used = 0
        first = len(self._messages) - count
        for index in range(first, len(self._messages)):
            message, self.last_payload = self._messages[index]
            if isinstance(message, _ErrInfo):
                self.replace_tail(index, message.status, message.exc, message.message)
                return used
            size = head_bytes(message)
            if size > self.head_limit:
                self.replace_tail(index, STATUS_HEAD_TOO_LARGE, None, "")
                return used
            self.costs.append(queued_bytes(size, len(message.raw_headers)))
            used += size
            if self.last_payload is not EMPTY_PAYLOAD:
                used += body_bytes(self.last_payload)
        return used

    def note_rest(self, data: bytes, used: int) -> None:
        """
        Estimate what the parser holds behind what it has made use of.

        Parameters
        ----------
        data : bytes
            Bytes that were read last.
        used : int
            Number of bytes of requests and of bodies that they have completed.
        """
        rest = self.rest + self.unfinished + len(data) - used
        self.unfinished = self.rest = self.lines = 0
        if self.is_broken or rest <= 0:
            return
        body = self.last_payload
        # Without the last chunk, no trailers have begun.
        if body is None or body.is_eof() or LAST_CHUNK in data:
            self.rest = min(rest, len(data))
            self.lines = min(data.count(b"\n"), self.rest // FIELD_BYTES)

    def replace_tail(
        self, index: int, status: int, exc: BaseException | None, text: str
    ) -> None:
        """Replace the requests from a place in the queue on by one error."""
        while len(self._messages) > index:
            self._messages.pop()
        is_too_large = isinstance(exc, LineTooLong) or TOO_MANY_FIELDS in text
        if is_too_large or status == STATUS_HEAD_TOO_LARGE:
            self.queue_error(DropCause.HEAD, "the head of the request is too large")
        else:
            detail = " ".join(text.split())[:MAX_ERROR_TEXT]
            self.queue_error(DropCause.MALFORMED, detail)

    def note_unfinished(self, data: bytes, body: StreamReader | None) -> None:
        """Count bytes that complete nothing, and refuse too many of them."""
        if self._upgraded:
            return
        self.unfinished += len(data)
        self.lines += data.count(b"\n")
        if self.unfinished <= self.head_limit:
            return
        if body is None:
            self.queue_error(DropCause.HEAD, "the head of the request is too large")
            return
        self.break_off(DropCause.FRAMING)
        refuse_body(body, "too many bytes around the body")

    def break_off(self, cause: DropCause) -> None:
        """Take no further request, and free what the parser holds."""
        self.is_broken = True
        self.unfinished = self.rest = self.lines = 0
        self._message_tail = b""
        self._parser = None
        self.share.note_drop(cause)

    def queue_error(self, cause: DropCause, detail: str) -> None:
        """Refuse what has arrived last, after the requests before it were answered."""
        self.break_off(cause)
        status = STATUS_HEAD_TOO_LARGE if cause is DropCause.HEAD else 400
        self._messages.append((make_error(status, detail), EMPTY_PAYLOAD))
        self.last_payload = EMPTY_PAYLOAD
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def discard(self, count: int) -> None:
        """Drop bytes that arrive after the last request."""
        self.discarded += count
        if self.discarded > MAX_DISCARDED:
            self.hold_back()

    def queued_size(self) -> int:
        """Return the memory that queued requests take, in bytes."""
        while len(self.costs) > len(self._messages):
            self.costs.popleft()
        size = sum(self.costs)
        for _, payload in self._messages:
            if payload is not EMPTY_PAYLOAD:
                size += body_bytes(payload)
        return size

    def note_held(self) -> None:
        """Count what the connection holds, and stop reading behind a long queue."""
        queued = self.queued_size() if self._messages else 0
        if queued > MAX_QUEUED_BYTES and not self._buffer_paused:
            self._pause_reading_for_buffer()
        unsent = self.transport.get_write_buffer_size() if self.transport else 0
        size = queued + self.unfinished + self.rest + self.lines * FIELD_OVERHEAD
        size += len(self._message_tail) + min(unsent, MAX_UNSENT_BYTES)
        if size or self.held:
            self.share.memory.resize(self, size)

    def _resume_reading_if_drained(self) -> None:
        """Read again once the queue is short; aiohttp calls this for each request."""
        if not self._messages or self.queued_size() <= MAX_QUEUED_BYTES:
            super()._resume_reading_if_drained()

    def _resume_transport_reading(self) -> None:
        """Read again unless the connection waits for its turn."""
        if not self.is_held_back:
            super()._resume_transport_reading()

    def hold_back(self) -> None:
        """Stop reading until `release`."""
        self.is_held_back = True
        self._pause_transport_reading()

    def release(self) -> None:
        """Read again, unless reading is paused for another reason."""
        self.is_held_back = False
        if not self._reading_paused and not self._buffer_paused:
            self._resume_transport_reading()

    def waits_for_request(self) -> bool:
        """
        Return whether no request is queued or in progress.

        A request is in progress from its removal from the queue, which is before its
        handler begins, until its response has been written.
        """
        waiter = self._waiter
        return waiter is not None and not waiter.done() and not self._messages

    def is_unread(self) -> bool:
        """Return whether bytes have arrived that were not read."""
        return self.transport is not None and has_unread_bytes(self.transport)

    def is_writing(self) -> bool:
        """Return whether a part of a response has not been handed to the kernel."""
        return bool(self.transport and self.transport.get_write_buffer_size())

    def may_be_dropped(self) -> bool:
        """Return whether no request is under way, has arrived, or may just be sent."""
        is_waiting = self.waits_for_request() and not self.is_writing()
        is_unused = self._loop.time() - self.used_at > MIN_UNUSED
        return is_waiting and is_unused and not self.is_unread()

    def drop(self, cause: DropCause) -> None:
        """Close the connection at once, and free what it holds."""
        self.break_off(cause)
        if self._messages:
            # The task of the connection takes a request if it was told of any.
            self._messages.clear()
            self._messages.append((make_error(400, cause.value), EMPTY_PAYLOAD))
            self.costs.clear()
        if self.transport is not None:
            self.transport.abort()

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response, and close a connection on which no request follows."""
        is_last = self.is_broken and not self._messages
        if is_last and not resp.prepared:
            resp.force_close()
        if isinstance(resp, BaseException):
            # Its frames refer to the request, which would stay until a collection.
            resp.with_traceback(None)
        requests = self._request_count
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            # aiohttp parses here what has followed a request for an upgrade.
            if self._request_count > requests and not self.is_broken:
                self.take_requests(self._request_count - requests)
            self.used_at = self._loop.time()
            self.opened.note_use(self)
            self.note_held()
            if is_last:
                await self.await_discarded()

    async def await_discarded(self) -> None:
        """Wait a short time until what has arrived was read and dropped."""
        for _ in range(DISCARD_LOOKS):
            if self.is_held_back or not self.is_unread():
                return
            await asyncio.sleep(DISCARD_INTERVAL)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """
        Return the response for a parser error or an uncaught exception.

        Raises
        ------
        ConnectionError
            If a response has already begun, so that no other one can be sent.
        """
        if request.writer.output_size > 0:
            raise ConnectionError("a response has already begun")
        if isinstance(exc, UnicodeError):
            # The library's message would quote the header field that is not text.
            status, message = 400, NOT_TEXT
        if status >= 500:
            response = self.make_defect_response(exc)
        else:
            is_too_large = status == STATUS_HEAD_TOO_LARGE
            kind = "head-too-large" if is_too_large else "bad-request"
            detail = message or "malformed request"
            response = self.make_refusal(Failure(Step.PARSE, "", kind, detail))
        response.force_close()
        return response

    def make_refusal(self, failure: Failure) -> web.StreamResponse:
        """Return the response to a request that is not run."""
        is_too_large = failure.kind == "head-too-large"
        status = STATUS_HEAD_TOO_LARGE if is_too_large else 400
        return web.Response(status=status, text=failure.detail)

    def make_defect_response(self, exc: BaseException | None) -> web.StreamResponse:
        """Return the response after an unexpected exception."""
        log.error("unhandled error", **describe_exception(exc))
        return web.Response(status=500)


def refuse_body(body: StreamReader, detail: str) -> None:
    """End a body that will not be whole, so that its request gets a 400."""
    body.set_exception(web.HTTPBadRequest(text=detail))
    body.feed_eof()


def make_error(status: int, detail: str) -> _ErrInfo:
    """Return what stands in aiohttp's queue for a request that is refused."""
    return _ErrInfo(status=status, exc=BadHttpMessage(detail), message=detail)
