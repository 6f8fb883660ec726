"""Requests from callers, whose responses state how long their connection is kept."""

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.http_parser import RawRequestMessage
from aiohttp.http_writer import StreamWriter
from aiohttp.streams import StreamReader

from lentilhaven.gateway.caller_connection import CallerConnection, current_limits
from lentilhaven.gateway.gateway import Gateway


class CallerRequest(web.BaseRequest):
    """
    A request whose response states how long its connection may stay idle.

    Parameters
    ----------
    args, options
        Arguments of `aiohttp.web.BaseRequest`.
    gateway : Gateway
        Gateway whose manifest contains the idle timeout.
    """

    def __init__(self, *args: Any, gateway: Gateway, **options: Any) -> None:
        super().__init__(*args, **options)
        self.gateway = gateway

    async def _prepare_hook(self, response: web.StreamResponse) -> None:
        """Complete the head of the response, which aiohttp is about to send."""
        connection = self.protocol
        if not response.keep_alive or not isinstance(connection, CallerConnection):
            return
        idle_time = self.choose_idle_time(connection)
        if idle_time > 0:
            connection.promised_time = idle_time
            response.headers["Connection"] = "keep-alive"
            response.headers["Keep-Alive"] = f"timeout={idle_time}"
        else:
            response.force_close()
            response.headers["Connection"] = "close"

    def choose_idle_time(self, connection: CallerConnection) -> int:
        """
        Return for how long the connection may stay idle, or 0 if it closes.

        The time is in seconds, rounded down, as the header has no fractions.
        """
        idle_time = int(current_limits(self.gateway).idle_timeout)
        if connection.has_queued_request():
            # Only the response to the last of several requests may end the connection.
            return max(1, idle_time)
        if self.gateway.leaving:
            return 0
        if not self.content.is_eof():
            # The rest of the body may arrive too late to keep the connection.
            return 0
        return idle_time


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
        return CallerRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            loop,
            client_max_size=limit,
            gateway=gateway,
        )

    return make_request
