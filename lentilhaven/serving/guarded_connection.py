"""HTTP connections that enforce the limits of a listener."""

import asyncio

from aiohttp import web
from aiohttp.web_request import BaseRequest

from lentilhaven.callers import BoundedConnection, ConnectionShare
from lentilhaven.callers.open_connections import OpenConnections
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


class GuardedConnection(BoundedConnection):
    """
    Connection that enforces limits and reports its errors as problem documents.

    Exceptions that no handler or middleware has converted are reported too.

    Parameters
    ----------
    server : aiohttp.web.Server
        The server, which keeps track of the open connections.
    limits : ServerLimits
        The listener's limits.
    share : ConnectionShare
        What the connections of the listener share.
    opened : OpenConnections
        The open connections of the listener.

    Attributes
    ----------
    head_timer : asyncio.TimerHandle or None
        Timer for the head of the first request, or of a later one that has begun to
        arrive; None once the head has been received.
    head_tail : bytes
        Last bytes received, which may be the beginning of `HEAD_END`.
    """

    __slots__ = ("limits", "head_timer", "head_tail")

    def __init__(
        self,
        server: web.Server,
        limits: ServerLimits,
        share: ConnectionShare,
        opened: OpenConnections,
    ) -> None:
        super().__init__(
            server,
            share,
            opened,
            limits.max_head_bytes,
            keepalive_timeout=limits.idle_timeout,
            max_line_size=limits.max_head_line,
            max_field_size=limits.max_head_line,
            max_headers=limits.max_headers,
            lingering_time=min(LINGERING_TIME, limits.body_timeout),
        )
        self.limits = limits
        self.head_timer: asyncio.TimerHandle | None = None
        self.head_tail = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept a connection, or reject it if too many are open."""
        super().connection_made(transport)
        if not self.refused:
            self.start_head_timer()

    def start_head_timer(self) -> None:
        """Start the timer for a request's head."""
        loop = asyncio.get_running_loop()
        self.head_timer = loop.call_later(
            self.limits.head_timeout, self.on_head_timeout
        )

    def refuse_connection(self, transport: asyncio.BaseTransport) -> None:
        """Respond with 503 without reading a request, and close the connection."""
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
        is_begun = self._request_count == requests and not self.is_broken
        if is_begun and self.waits_for_request():
            self.note_head_begin(data)

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

    def make_refusal(self, failure: Failure) -> web.StreamResponse:
        """Return the response to a request that is not run."""
        return problem_response(failure)

    def make_defect_response(self, exc: BaseException | None) -> web.StreamResponse:
        """Return the response after an unexpected exception."""
        log.error("unhandled error", **describe_exception(exc))
        return problem_response(internal_failure())


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
