"""HTTP connections from callers."""

import asyncio

from aiohttp import web

from lentilhaven.answers.error_responses import make_error_response
from lentilhaven.callers import BoundedConnection, ConnectionShare, OpenConnections
from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import describe_exception, get_logger
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.fleet.manifest import RequestLimits
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.serving.problems import problem_bytes

#: Seconds for which a connection is kept open beyond the idle timeout, so that a
#: request sent just before the timeout still arrives.
IDLE_SLACK = 2.0

#: Seconds after the manifest's limit by which the rest of a request head must have
#: arrived.
HEAD_SLACK = 2.0

#: Seconds for which the rest of a body is read and dropped after a response that did
#: not wait for it.  A connection that closes with unread bytes is reset, and the caller
#: may then lose the response.
LINGERING_TIME = 2.0

#: Seconds for which a gateway that is about to end keeps a connection after a response,
#: to refuse the next request of a caller whom that response did not tell that the
#: connection ends: the head of a stream may have been sent long before.
LAST_IDLE_TIME = 0.5

#: Size of the shortest header field, with its line end, in bytes.
MIN_FIELD_BYTES = 4

#: Seconds after which aiohttp closes an idle connection; too long to take effect.
#: aiohttp keeps the value with which a connection was opened, whereas the manifest's
#: timeout may change, so that `close_idle_connections` closes idle connections.
LIBRARY_IDLE_TIMEOUT = 86_400.0

log = get_logger("gateway")


class CallerConnection(BoundedConnection):
    """
    A connection whose idle timeout follows the current manifest.

    A change of the manifest does not shorten the time that the caller was promised.

    Parameters
    ----------
    server : aiohttp.web.Server
        Server that keeps track of the open connections.
    promised_time : float
        Idle timeout at the opening, in seconds.
    share : ConnectionShare or None
        What the connections of the process share; None for one of its own.
    opened : OpenConnections or None
        The open connections of the listener; None for a list of its own.
    head_limit : int
        Maximum size of a request's head, in bytes.

    Attributes
    ----------
    promised_time : float
        Seconds after `used_at` for which the caller may leave the connection idle: as
        stated in its last response, or the timeout at the opening.
    head_began : float or None
        Event loop time at which the first bytes of an incomplete request head arrived,
        in seconds; None if there is none.  A request before it may be in progress.
    """

    __slots__ = ("promised_time", "head_began")

    def __init__(
        self,
        server: web.Server,
        promised_time: float = RequestLimits().idle_timeout,
        share: ConnectionShare | None = None,
        opened: OpenConnections | None = None,
        head_limit: int = RequestLimits().header_bytes,
    ) -> None:
        super().__init__(
            server,
            share or ConnectionShare(),
            opened or OpenConnections(1),
            head_limit,
            max_line_size=head_limit,
            max_field_size=head_limit,
            max_headers=head_limit // MIN_FIELD_BYTES,
            keepalive_timeout=LIBRARY_IDLE_TIMEOUT,
            lingering_time=LINGERING_TIME,
            # Bodies are forwarded as they were sent.
            auto_decompress=False,
        )
        self.promised_time = promised_time
        self.head_began: float | None = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and note whether they begin a request head."""
        requests = self._request_count
        # aiohttp keeps what follows a request for an upgrade until that is answered.
        is_kept = self._upgraded
        is_body = self.last_payload is not None and not self.last_payload.is_eof()
        super().data_received(data)
        if self._request_count > requests or self.is_broken:
            self.head_began = None
        # Blank lines before the request line are not part of the head.
        elif not (is_body or is_kept) and self.head_began is None and data.strip():
            self.head_began = asyncio.get_running_loop().time()

    def is_idle(self) -> bool:
        """Return whether nothing of a request or of a response is under way."""
        is_waiting = self.waits_for_request() and self.head_began is None
        return is_waiting and not self.is_writing()

    def has_been_idle(self, now: float, limit: float) -> bool:
        """
        Return whether the connection has been idle for too long.

        Parameters
        ----------
        now : float
            Time of the event loop, in seconds.
        limit : float
            Idle timeout in force, in seconds.
        """
        if self.is_writing():
            self.used_at = now
        idle_time = now - self.used_at
        has_expired = idle_time > max(limit, self.promised_time) + IDLE_SLACK
        return has_expired and self.is_idle() and not self.is_unread()

    def make_refusal(self, failure: Failure) -> web.StreamResponse:
        """Return the response to a request that is not run."""
        return make_error_response(failure)

    def make_defect_response(self, exc: BaseException | None) -> web.StreamResponse:
        """Return the response after an unexpected exception."""
        log.error("request failed here", **describe_exception(exc))
        detail = "the gateway failed"
        failure = Failure(Step.INTERNAL, "", "defect", detail, Ran.UNKNOWN)
        return make_error_response(failure)

    def has_late_head(self, now: float, timeout: float) -> bool:
        """Return whether a head has been incomplete for over `timeout` seconds."""
        began = self.head_began
        is_late = began is not None and now - began > timeout
        return is_late and self.waits_for_request() and not self.is_unread()

    def refuse_late_head(self) -> None:
        """Respond with 408 to a request whose head takes too long, and close."""
        log.info("request head took too long")
        detail = "the head of the request took too long"
        if self.transport is not None:
            self.transport.write(problem_bytes(Failure(Step.PARSE, "", "slow", detail)))
        self.force_close()

    def has_queued_request(self) -> bool:
        """Return whether another request has arrived behind the current one."""
        return bool(self._messages)

    def end(self, now: float) -> None:
        """
        Close the connection of a gateway that is about to end, if it is not needed.

        It stays for `LAST_IDLE_TIME` after a response, and while a request arrives or
        is served.  An idle connection is closed with what was not read from it, so
        that a request in transit has certainly not run.

        Parameters
        ----------
        now : float
            Time of the event loop, in seconds.
        """
        if self.has_late_head(now, LAST_IDLE_TIME):
            self.refuse_late_head()
        elif self.is_idle() and now - self.used_at > LAST_IDLE_TIME:
            # The event loop reads in its next iteration what has arrived.
            if not self.is_unread():
                self.force_close()


def current_limits(gateway: Gateway) -> RequestLimits:
    """Return the limits of the manifest in force, or the defaults without one."""
    manifest = gateway.view.manifest
    return manifest.limits if manifest else RequestLimits()


def close_idle_connections(gateway: Gateway, server: web.Server, now: float) -> None:
    """
    Close connections that have been idle for longer than allowed and promised.

    A request whose head takes longer than the manifest allows is refused.

    Parameters
    ----------
    gateway : Gateway
        Gateway whose manifest contains the idle timeout.
    server : aiohttp.web.Server
        Server whose connections are checked.
    now : float
        Time of the event loop, in seconds.
    """
    limits = current_limits(gateway)
    head_timeout = limits.header_timeout + HEAD_SLACK
    for connection in list(server.connections):
        if not isinstance(connection, CallerConnection):
            continue
        if connection.has_late_head(now, head_timeout):
            connection.refuse_late_head()
        elif connection.has_been_idle(now, limits.idle_timeout):
            connection.force_close()
