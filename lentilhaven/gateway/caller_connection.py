"""HTTP connections from callers."""

import asyncio

from aiohttp import web
from aiohttp.http_parser import RawRequestMessage
from aiohttp.http_writer import StreamWriter
from aiohttp.streams import StreamReader

from lentilhaven.fleet.manifest import RequestLimits
from lentilhaven.gateway.gateway import Gateway

#: Seconds for which a connection is kept open beyond the idle timeout, so that a
#: request sent just before the timeout still arrives.
IDLE_SLACK = 2.0


#: Seconds after which aiohttp closes an idle connection; too long to take effect.
#: aiohttp keeps the value with which a connection was opened, whereas the manifest's
#: timeout may change, so that `close_idle_connections` closes idle connections.
LIBRARY_IDLE_TIMEOUT = 86_400.0


class CallerConnection(web.RequestHandler):
    """
    A connection whose idle timeout follows the current manifest.

    Parameters
    ----------
    server : aiohttp.web.Server
        Server that keeps track of the open connections.

    Attributes
    ----------
    used_at : float
        Event loop time at which the connection was opened or its last request
        ended, in seconds.
    """

    __slots__ = ("used_at",)

    def __init__(self, server: web.Server) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(
            server,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]
            keepalive_timeout=LIBRARY_IDLE_TIMEOUT,
            lingering_time=0,
        )
        self.used_at = loop.time()

    def is_idle(self) -> bool:
        """Return whether no request is in progress or queued."""
        return self._current_request is None and not self._messages

    def close_when_idle(self) -> None:
        """Close the connection as soon as no request is in progress."""
        if self.is_idle():
            # `close` alone leaves an idle connection open without serving it.
            self.force_close()
        else:
            self.close()


def idle_limit(gateway: Gateway) -> float:
    """Return the seconds for which a connection may be idle."""
    manifest = gateway.view.manifest
    limits = manifest.limits if manifest else RequestLimits()
    return limits.idle_timeout + IDLE_SLACK


def close_idle_connections(gateway: Gateway, server: web.Server, now: float) -> None:
    """
    Close connections that have been idle for longer than the manifest allows.

    Parameters
    ----------
    gateway : Gateway
        Gateway whose manifest contains the idle timeout.
    server : aiohttp.web.Server
        Server whose connections are checked.
    now : float
        Time of the event loop, in seconds.
    """
    limit = idle_limit(gateway)
    for connection in list(server.connections):
        if not isinstance(connection, CallerConnection):
            continue
        if connection.is_idle() and now - connection.used_at > limit:
            connection.force_close()


def make_request_factory(gateway: Gateway):
    """
    Return a request factory for aiohttp that limits the size of bodies.

    Parameters
    ----------
    gateway : Gateway
        Gateway whose manifest contains the limit; without a manifest it is 1 MiB.
    """

    def make_request(
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: web.RequestHandler,
        writer: StreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        manifest = gateway.view.manifest
        limit = manifest.limits.body_bytes if manifest else 1 << 20
        loop = asyncio.get_running_loop()
        return web.BaseRequest(
            message, payload, protocol, writer, task, loop, client_max_size=limit
        )

    return make_request
