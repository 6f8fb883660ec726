"""HTTP connections that enforce the limits of a listener."""

import asyncio

from aiohttp import web
from aiohttp.web_request import BaseRequest

from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import describe_exception, get_logger
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.serving.problems import problem_bytes, problem_response
from lentilhaven.serving.server_limits import ServerLimits

log = get_logger("serving")

#: Maximum seconds for which the rest of a body is read and dropped after a response
#: that did not wait for it.  A connection that closes with unread bytes is reset, and
#: the client may then lose the response.
LINGERING_TIME = 2.0

#: Bytes that end the head of a request.
HEAD_END = b"\r\n\r\n"

#: Substrings of the HTTP parser's error messages for a head that is too large.
TOO_LARGE_MESSAGES = ("bytes when reading", "Too many headers")


class GuardedConnection(web.RequestHandler):
    """
    Connection that enforces limits and reports its errors as problem documents.

    Exceptions that no handler or middleware has converted are reported too.

    Parameters
    ----------
    server : aiohttp.web.Server
        The server, which keeps track of the open connections.
    limits : ServerLimits
        The listener's limits.
    loop : asyncio.AbstractEventLoop
        The running loop.

    Attributes
    ----------
    head_timer : asyncio.TimerHandle or None
        Timer for the head of the first request, or of a later one that has begun to
        arrive; None once the head has been received.
    head_tail : bytes
        Last bytes received, which may be the beginning of `HEAD_END`.
    refused : bool
        Whether the connection was rejected when it was opened.
    """

    __slots__ = ("limits", "head_timer", "head_tail", "refused")

    def __init__(
        self,
        server: web.Server,
        limits: ServerLimits,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        super().__init__(
            server,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]
            keepalive_timeout=limits.idle_timeout,
            max_line_size=limits.max_head_line,
            max_field_size=limits.max_head_line,
            max_headers=limits.max_headers,
            lingering_time=min(LINGERING_TIME, limits.body_timeout),
        )
        self.limits = limits
        self.head_timer: asyncio.TimerHandle | None = None
        self.head_tail = b""
        self.refused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept a connection, or reject it if too many are open."""
        server = self._manager
        if server and len(server.connections) >= self.limits.max_connections:
            self.reject(transport)
            return
        super().connection_made(transport)
        self.start_head_timer()

    def start_head_timer(self) -> None:
        """Start the timer for a request's head."""
        loop = asyncio.get_running_loop()
        self.head_timer = loop.call_later(
            self.limits.head_timeout, self.on_head_timeout
        )

    def reject(self, transport: asyncio.BaseTransport) -> None:
        """Respond with 503 without reading a request, and close the connection."""
        self.refused = True
        detail = "too many connections are open"
        failure = Failure(Step.ADMIT, "", "overloaded", detail, retry_after=1.0)
        transport.write(problem_bytes(failure))  # type: ignore[attr-defined]
        transport.close()

    def on_head_timeout(self) -> None:
        """Respond with 408 to a client that sends the head too slowly, and close."""
        if self.transport is None:
            return
        detail = f"the head took more than {self.limits.head_timeout:g} s"
        self.transport.write(problem_bytes(Failure(Step.PARSE, "", "slow", detail)))
        self.transport.close()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and keep the timer of a head that is incomplete."""
        if self.refused:
            return
        requests = self._request_count
        if self.head_timer is not None:
            self.find_head_end(data)
        super().data_received(data)
        if self._request_count == requests and self.waits_for_request():
            self.note_head_begin(data)

    def waits_for_request(self) -> bool:
        """Return whether no request is queued or in progress."""
        waiter = self._waiter
        return waiter is not None and not waiter.done() and not self._messages

    def note_head_begin(self, data: bytes) -> None:
        """Start the timer if `data` begin the head of a later request."""
        # Blank lines before the request line are not part of the head.
        if self.head_timer is not None or not data.strip():
            return
        self.head_tail = data[-len(HEAD_END) :]
        self.start_head_timer()
        # The connection is not idle; aiohttp starts this timer after the next response.
        if self._keepalive_handle is not None:
            self._keepalive_handle.cancel()
            self._keepalive_handle = None

    def find_head_end(self, data: bytes) -> None:
        """Stop the timer if the end of the head has been received."""
        # Blank lines before the request line are not part of the head.
        received = (self.head_tail + data).lstrip(b"\r\n")
        if HEAD_END in received:
            self.stop_head_timer()
        else:
            self.head_tail = received[-len(HEAD_END) :]

    def stop_head_timer(self) -> None:
        """Stop the timer of the head."""
        if self.head_timer is not None:
            self.head_timer.cancel()
        self.head_timer = None
        self.head_tail = b""

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer and release the connection."""
        self.stop_head_timer()
        # `super().connection_made` was not called for a rejected connection.
        if not self.refused:
            super().connection_lost(exc)

    async def finish_response(
        self,
        request: BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Send a response; an error of aiohttp itself becomes a problem document."""
        if isinstance(resp, web.HTTPException):
            kind = "expectation-failed" if resp.status == 417 else "bad-request"
            resp = problem_response(Failure(Step.PARSE, "", kind, resp.reason))
            resp.force_close()
        return await super().finish_response(request, resp, start_time)

    def handle_error(
        self,
        request: BaseRequest,
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
            # aiohttp's error message would quote the header field that is not text.
            status, message = 400, "a header field is not text"
        if status < 500:
            detail = " ".join((message or "malformed request").split())[:200]
            is_too_large = any(text in detail for text in TOO_LARGE_MESSAGES)
            kind = "head-too-large" if is_too_large else "bad-request"
            response = problem_response(Failure(Step.PARSE, "", kind, detail))
        else:
            log.error("unhandled error", **describe_exception(exc))
            response = problem_response(internal_failure())
        response.force_close()
        return response


def internal_failure() -> Failure:
    """Return the failure that reports an unexpected exception to the client."""
    detail = "an unexpected error; the log has more under the request's id"
    return Failure(Step.INTERNAL, "", "internal", detail, Ran.UNKNOWN)


async def announce_end(request: web.Request, response: web.StreamResponse) -> None:
    """Say in a head that the connection closes if it may close behind the response."""
    if response.keep_alive and not request.content.is_eof():
        # The rest of the body may arrive too late to keep the connection.
        response.force_close()
        response.headers["Connection"] = "close"
