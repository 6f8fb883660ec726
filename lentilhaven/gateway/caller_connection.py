"""Connections of callers."""

import asyncio

from aiohttp import web
from aiohttp.http_parser import RawRequestMessage
from aiohttp.http_writer import StreamWriter
from aiohttp.streams import StreamReader

from lentilhaven.gateway.gateway import Gateway

#: Seconds for which a connection is kept beyond the idle time that callers are
#: granted, so that a request which was sent just before arrives.
IDLE_SLACK = 2.0


class CallerConnection(web.RequestHandler):
    """
    A connection that follows the manifest's limits.

    Parameters
    ----------
    server : aiohttp.web.Server
        Knows the open connections.
    gateway : Gateway
        Whose manifest holds.
    """

    __slots__ = ("gateway",)

    def __init__(self, server: web.Server, gateway: Gateway) -> None:
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            access_log=None,  # type: ignore[arg-type]
            keepalive_timeout=idle_limit(gateway),
            lingering_time=0,
        )
        self.gateway = gateway

    def follow_limits(self) -> None:
        """Take the idle time of the manifest that is in force now."""
        self._keepalive_timeout = idle_limit(self.gateway)


def idle_limit(gateway: Gateway) -> float:
    """Return how long a connection may idle, in seconds."""
    manifest = gateway.view.manifest
    return manifest.limits.idle_timeout + IDLE_SLACK if manifest else 10.0


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
