"""Connections of callers."""

import asyncio

from aiohttp import web
from aiohttp.http_parser import RawRequestMessage
from aiohttp.http_writer import StreamWriter
from aiohttp.streams import StreamReader

from lentilhaven.fleet.manifest import RequestLimits
from lentilhaven.gateway.gateway import Gateway

#: Seconds for which a connection is kept beyond the idle time that callers are
#: granted, so that a request which was sent just before arrives.
IDLE_SLACK = 2.0


#: Seconds after which the library itself would close an idle connection; out of
#: reach, since it holds on to the limit with which a connection began.
LIBRARY_IDLE = 86_400.0


class CallerConnection(web.RequestHandler):
    """
    A connection that follows the manifest's limits.

    Parameters
    ----------
    server : aiohttp.web.Server
        Knows the open connections.
    """

    __slots__ = ("used_at",)

    def __init__(self, server: web.Server) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(
            server,
            loop=loop,
            access_log=None,  # type: ignore[arg-type]
            keepalive_timeout=LIBRARY_IDLE,
            lingering_time=0,
        )
        self.used_at = loop.time()

    def is_idle(self) -> bool:
        """Return whether no request is under way or waits."""
        return self._current_request is None and not self._messages

    def end(self) -> None:
        """Close the connection as soon as no request is under way."""
        if self.is_idle():
            # `close` alone would leave an idle connection open and unserved.
            self.force_close()
        else:
            self.close()


def idle_limit(gateway: Gateway) -> float:
    """Return how long a connection may idle, in seconds."""
    manifest = gateway.view.manifest
    limits = manifest.limits if manifest else RequestLimits()
    return limits.idle_timeout + IDLE_SLACK


def close_idle(gateway: Gateway, server: web.Server, now: float) -> None:
    """
    Close connections that have been idle for longer than the manifest grants.

    Parameters
    ----------
    gateway : Gateway
        Whose manifest holds.
    server : aiohttp.web.Server
        Knows the open connections.
    now : float
        Time of the event loop.
    """
    limit = idle_limit(gateway)
    for connection in list(server.connections):
        if not isinstance(connection, CallerConnection):
            continue
        if connection.is_idle() and now - connection.used_at > limit:
            connection.force_close()


def make_request_factory(gateway: Gateway):
    """
    Return a function that makes requests whose bodies are limited.

    Parameters
    ----------
    gateway : Gateway
        Whose manifest holds the limit.
    """

    def make(
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

    return make
