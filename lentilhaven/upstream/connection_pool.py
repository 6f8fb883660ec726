"""Pool of idle connections to endpoints."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

import attrs

from lentilhaven.core.logs import get_logger
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.platform.response_head import ResponseHead
from lentilhaven.upstream.answer_memory import AnswerMemory
from lentilhaven.upstream.connect import Connect, connect_tcp
from lentilhaven.upstream.connection import Activity, UpstreamConnection
from lentilhaven.upstream.exchange import Exchange, UpstreamError

#: Timeout of establishing a connection, in seconds: several round trips between data
#: centres, and less than callers wait for a response.
CONNECT_TIMEOUT = 0.4

#: Seconds after which an idle connection is closed even if the endpoint would keep
#: it: whether a connection still works is known only when it is used.
MAX_IDLE_TIME = 4.0

#: Time before the endpoint's idle timeout within which a connection is no longer
#: reused, in seconds.
KEEP_ALIVE_MARGIN = 0.75

#: Maximum number of idle connections per endpoint.
MAX_IDLE_PER_ENDPOINT = 8

log = get_logger("upstream")


@attrs.define
class ConnectionPool:
    """
    Pool of idle connections, by incarnation (id and start time) of the endpoint.

    Attributes
    ----------
    idle : dict
        Lists of idle connections by incarnation, the most recently used last.
    opened : int
        Number of connections opened since the start, including failed attempts.
    on_head : callable
        Called with an endpoint and the head of an answer, as `UpstreamConnection`
        states.
    memory : AnswerMemory
        Memory that the answers on all connections share.
    connect : callable
        Opens TCP connections.
    establish : callable
        Returns a new connection to an endpoint; `connect_directly` by default.
    may_reuse : callable
        Returns whether an idle connection to an endpoint may be used now.
    activities : dict
        Latest data on the direct connections to each endpoint, by incarnation.
    unnamed : set
        Incarnations of the endpoints that have sent a response without a request id.
        Each of their connections carries one request only, so that the connection tells
        which request a response belongs to.
    """

    idle: dict[tuple[str, int], list[UpstreamConnection]] = attrs.field(factory=dict)
    opened: int = 0
    on_head: Callable[[Endpoint, ResponseHead], None] = lambda endpoint, head: None
    memory: AnswerMemory = attrs.field(factory=AnswerMemory)
    connect: Connect = connect_tcp
    establish: Callable[[Endpoint], Awaitable[UpstreamConnection]] = attrs.field()
    may_reuse: Callable[[Endpoint, UpstreamConnection], bool] = (
        lambda endpoint, connection: True
    )
    activities: dict[tuple[str, int], Activity] = attrs.field(factory=dict)
    unnamed: set[tuple[str, int]] = attrs.field(factory=set)

    @establish.default
    def direct_way(self) -> Callable[[Endpoint], Awaitable[UpstreamConnection]]:
        """Return `connect_directly`."""
        return self.connect_directly

    async def acquire(
        self,
        endpoint: Endpoint,
        request_id: str,
        timeout: float,
        max_idle_time: float = MAX_IDLE_TIME,
    ) -> UpstreamConnection:
        """
        Return an idle or a new connection for one exchange.

        Parameters
        ----------
        endpoint : Endpoint
            Endpoint to connect to.
        request_id : str
            Id of the request to send.  A connection is not used if a late copy of an
            earlier answer could not be told from the new one.
        timeout : float
            Maximum time to wait for a new connection, in seconds.
        max_idle_time : float
            Maximum time for which a pooled connection may have been idle, in
            seconds.

        Raises
        ------
        UpstreamError
            If no connection can be established; nothing is sent in this case.
        """
        idle_connection = self.take_idle(endpoint, request_id, max_idle_time)
        if idle_connection is not None:
            return idle_connection
        self.opened += 1
        try:
            async with asyncio.timeout(min(timeout, CONNECT_TIMEOUT)):
                return await self.establish(endpoint)
        except (OSError, TimeoutError) as error:
            detail = f"{type(error).__name__}: {error}"
            raise UpstreamError("connect", detail, sent=False) from error

    async def connect_directly(self, endpoint: Endpoint) -> UpstreamConnection:
        """
        Return a new connection to an endpoint.

        Raises
        ------
        OSError
            If the connection can't be made.
        """
        host, _, port = endpoint.address.rpartition(":")
        _, connection = await self.connect(
            partial(self.make_connection, endpoint), host, int(port)
        )
        return connection

    def make_connection(
        self, endpoint: Endpoint, relayed: bool = False
    ) -> UpstreamConnection:
        """
        Return the protocol of a new connection to an endpoint.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint.
        relayed : bool
            Whether the connection passes through another gateway.
        """
        activity = None
        if not relayed:
            activity = self.activities.setdefault(endpoint.incarnation, Activity())
        return UpstreamConnection(
            self.remove_lost,
            partial(self.on_head, endpoint),
            self.memory,
            partial(self.note_given_up, endpoint),
            activity,
            relayed,
            partial(self.note_unidentified, endpoint),
        )

    def note_given_up(self, endpoint: Endpoint, exchange: Exchange) -> None:
        """Log that an answer of an endpoint was too large."""
        log.warning(
            "answer given up",
            request=exchange.request_id,
            endpoint=endpoint.id,
            kind=exchange.error.kind if exchange.error else "",
            bytes=exchange.holding.size,
            held=self.memory.held,
            limit=self.memory.limit,
        )

    def note_unidentified(
        self, endpoint: Endpoint, connection: UpstreamConnection, head: ResponseHead
    ) -> None:
        """Log a response that does not name the request, and note one without an id."""
        assert connection.exchange is not None
        log.info(
            "response does not name the request",
            request=connection.exchange.request_id,
            named=head.request_id,
            endpoint=endpoint.id,
            status=head.status,
            not_executed=head.not_executed,
            carried=len(connection.request_ids),
            accepted=connection.matches_request,
        )
        if not head.request_id and endpoint.incarnation not in self.unnamed:
            self.unnamed.add(endpoint.incarnation)
            log.warning("endpoint omits request ids", endpoint=endpoint.id)

    def may_carry(
        self, endpoint: Endpoint, connection: UpstreamConnection, request_id: str
    ) -> bool:
        """Return whether the answer to a request can be told on a connection."""
        return (
            not self.is_spent(endpoint, connection)
            and request_id not in connection.request_ids
        )

    def is_spent(self, endpoint: Endpoint, connection: UpstreamConnection) -> bool:
        """Return whether no other request may follow on a connection."""
        return endpoint.incarnation in self.unnamed and bool(connection.request_ids)

    def take_idle(
        self, endpoint: Endpoint, request_id: str, max_idle_time: float
    ) -> UpstreamConnection | None:
        """
        Remove and return an idle connection, or return None if there is none.

        Connections that are unusable, that the endpoint may have closed, or on which
        something has arrived since the last response, are closed.
        """
        connections = self.idle.get(endpoint.incarnation, [])
        now = asyncio.get_running_loop().time()
        skipped = [it for it in connections if not self.may_reuse(endpoint, it)]
        for connection in skipped:
            connections.remove(connection)
        found = None
        while connections and found is None:
            connection = connections.pop()
            limit = max_idle_time
            if connection.keep_alive is not None:
                limit = min(limit, connection.keep_alive - KEEP_ALIVE_MARGIN)
            is_fresh = connection.usable and now - connection.idle_since < limit
            may_carry = is_fresh and self.may_carry(endpoint, connection, request_id)
            if may_carry and not connection.has_unread_bytes():
                found = connection
            else:
                connection.abort()
        connections[:0] = skipped
        return found

    def release(self, endpoint: Endpoint, connection: UpstreamConnection) -> None:
        """Return a connection to the pool if it can be reused, or close it."""
        is_busy = connection.exchange is not None
        if not connection.usable or is_busy or self.is_spent(endpoint, connection):
            connection.abort()
            return
        connections = self.idle.setdefault(endpoint.incarnation, [])
        connections.append(connection)
        if len(connections) > MAX_IDLE_PER_ENDPOINT:
            connections.pop(0).abort()

    def close_idle(self, endpoint: Endpoint) -> None:
        """Close all idle connections to an endpoint."""
        for connection in self.idle.pop(endpoint.incarnation, []):
            connection.abort()

    def close_stale(self, live: set[tuple[str, int]]) -> None:
        """
        Close connections that have been idle too long or whose endpoint is gone.

        Parameters
        ----------
        live : set
            Incarnations of all known endpoints.
        """
        now = asyncio.get_running_loop().time()
        for incarnation, connections in list(self.idle.items()):
            gone = incarnation not in live
            for connection in list(connections):
                if gone or now - connection.idle_since > MAX_IDLE_TIME:
                    connections.remove(connection)
                    connection.abort()
            if not connections:
                del self.idle[incarnation]
        for incarnation in self.activities.keys() - live:
            del self.activities[incarnation]
        self.unnamed &= live

    def remove_lost(self, connection: UpstreamConnection) -> None:
        """Remove a lost connection from the pool."""
        for connections in self.idle.values():
            if connection in connections:
                connections.remove(connection)
                return
