"""Connections to endpoints that are kept for the next request."""

import asyncio

import attrs

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.upstream.connection import UpstreamConnection
from lentilhaven.upstream.exchange import UpstreamError

#: Seconds in which a new connection must be established; several round trips
#: between data centres, and less than a caller's patience.
CONNECT_TIMEOUT = 0.4

#: Seconds after which an idle connection is closed even if the endpoint would
#: keep it: a connection that has gone silent shows it only when it is used.
MOST_IDLE = 4.0

#: Seconds before the endpoint's own timeout at which a connection is closed.
IDLE_MARGIN = 0.75

#: Idle connections kept for each endpoint.
MOST_KEPT = 8


@attrs.define
class ConnectionPool:
    """
    Idle connections by the incarnation of the endpoint.

    Attributes
    ----------
    idle : dict
        Connections, the most recently used last.
    opened : int
        Connections opened since the start.
    """

    idle: dict[tuple[str, int], list[UpstreamConnection]] = attrs.field(factory=dict)
    opened: int = 0

    async def acquire(
        self, endpoint: Endpoint, timeout: float, most_idle: float = MOST_IDLE
    ) -> UpstreamConnection:
        """
        Return a connection for one exchange.

        Parameters
        ----------
        endpoint : Endpoint
            Whom to connect to.
        timeout : float
            Most seconds to wait for a new connection.
        most_idle : float
            Most seconds for which a kept connection may have been idle.

        Raises
        ------
        UpstreamError
            If no connection can be had; nothing was sent.
        """
        kept = self.take_kept(endpoint, most_idle)
        if kept is not None:
            return kept
        host, _, port = endpoint.address.rpartition(":")
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            async with asyncio.timeout(min(timeout, CONNECT_TIMEOUT)):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(self.forget), host, int(port)
                )
        except (OSError, TimeoutError) as error:
            detail = f"{type(error).__name__}: {error}"
            raise UpstreamError("connect", detail, sent=False) from error
        return connection

    def take_kept(
        self, endpoint: Endpoint, most_idle: float
    ) -> UpstreamConnection | None:
        """Return an idle connection that the endpoint has surely not closed."""
        kept = self.idle.get(endpoint.incarnation, [])
        now = asyncio.get_running_loop().time()
        while kept:
            connection = kept.pop()
            limit = most_idle
            if connection.keep_alive is not None:
                limit = min(limit, connection.keep_alive - IDLE_MARGIN)
            if connection.usable and now - connection.idle_since < limit:
                return connection
            connection.abort()
        return None

    def release(self, endpoint: Endpoint, connection: UpstreamConnection) -> None:
        """Keep a connection whose exchange is over, or close it."""
        if not connection.usable or connection.exchange is not None:
            connection.abort()
            return
        kept = self.idle.setdefault(endpoint.incarnation, [])
        kept.append(connection)
        if len(kept) > MOST_KEPT:
            kept.pop(0).abort()

    def drop_idle(self, endpoint: Endpoint) -> None:
        """Close all idle connections to an endpoint."""
        for connection in self.idle.pop(endpoint.incarnation, []):
            connection.abort()

    def sweep(self, live: set[tuple[str, int]]) -> None:
        """
        Close connections that have been idle for long or whose endpoint is gone.

        Parameters
        ----------
        live : set
            Incarnations of the endpoints that are known.
        """
        now = asyncio.get_running_loop().time()
        for incarnation, kept in list(self.idle.items()):
            gone = incarnation not in live
            for connection in list(kept):
                if gone or now - connection.idle_since > MOST_IDLE:
                    kept.remove(connection)
                    connection.abort()
            if not kept:
                del self.idle[incarnation]

    def forget(self, connection: UpstreamConnection) -> None:
        """Drop a lost connection."""
        for kept in self.idle.values():
            if connection in kept:
                kept.remove(connection)
                return
