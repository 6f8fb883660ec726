"""TLS handshakes of a listener, whose number is bounded."""

import asyncio
import ssl
from asyncio.sslproto import SSLProtocol
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import attrs

from lentilhaven.callers.connection_share import READ_BYTES, ConnectionShare
from lentilhaven.callers.drop_cause import DropCause

#: Handshakes in progress at a time; further ones end the oldest.  Each holds a
#: descriptor and the state of a TLS session before the listener's limit on connections
#: applies.
MAX_HANDSHAKES = 64

#: Seconds for which a handshake goes on although another one waits for its place.  The
#: state of a session that has ended is freed some time later, so that ending one for
#: each new connection would fill the memory.
MIN_TIME = 0.5


@attrs.define(eq=False)
class Handshakes:
    """
    The handshakes of one listener.

    Attributes
    ----------
    context : ssl.SSLContext
        Certificate and key.
    timeout : float
        Seconds that a handshake may take.
    share : ConnectionShare
        Counts handshakes that were ended.
    pending : dict
        Handshakes in progress, the oldest first, and the event loop times at which they
        began, in seconds.
    """

    context: ssl.SSLContext
    timeout: float
    share: ConnectionShare
    pending: "dict[HandshakeProtocol, float]" = attrs.field(factory=dict)

    def admit(self, handshake: "HandshakeProtocol") -> bool:
        """
        Add a handshake; return False if there is no place for it.

        If too many are in progress, the oldest one ends unless it has just begun.
        """
        now = asyncio.get_running_loop().time()
        if len(self.pending) >= MAX_HANDSHAKES:
            self.share.note_drop(DropCause.HANDSHAKES)
            oldest, began = next(iter(self.pending.items()))
            if now - began < MIN_TIME:
                return False
            oldest.abort()
        self.pending[handshake] = now
        return True

    def end_all(self) -> None:
        """End the handshakes in progress."""
        for handshake in list(self.pending):
            handshake.abort()


class HandshakeProtocol(asyncio.Protocol):
    """
    Protocol of a connection until its handshake is complete.

    Parameters
    ----------
    handshakes : Handshakes
        The handshakes of the listener.
    make_connection : callable
        Returns the protocol that follows.

    Attributes
    ----------
    transport : asyncio.Transport or None
        Transport without TLS.
    task : asyncio.Task or None
        Task that runs the handshake.
    early : bytes
        Bytes that arrive with the end of the handshake.
    """

    def __init__(
        self,
        handshakes: Handshakes,
        make_connection: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        self.handshakes = handshakes
        self.make_connection = make_connection
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self.early = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin the handshake."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        # Bytes that are read before TLS is set up would be lost.
        transport.pause_reading()
        if not self.handshakes.admit(self):
            transport.abort()
            return
        self.task = asyncio.get_running_loop().create_task(self.run(transport))

    def data_received(self, data: bytes) -> None:
        """Keep bytes that arrive before the connection's own protocol is in place."""
        self.early += data

    def abort(self) -> None:
        """End the connection."""
        self.handshakes.pending.pop(self, None)
        if self.transport is not None:
            self.transport.abort()
        if self.task is not None:
            self.task.cancel()

    async def run(self, transport: asyncio.Transport) -> None:
        """Run the handshake, and hand the connection over."""
        loop, handshakes = asyncio.get_running_loop(), self.handshakes
        try:
            encrypted = await loop.start_tls(
                transport,
                self,
                handshakes.context,
                server_side=True,
                ssl_handshake_timeout=handshakes.timeout,
            )
        except OSError:
            # The client has left, sent something else, or taken too long.
            transport.abort()
            return
        finally:
            handshakes.pending.pop(self, None)
        if encrypted is None or encrypted.is_closing():
            return
        connection = self.make_connection()
        encrypted.set_protocol(connection)
        connection.connection_made(encrypted)
        if self.early and isinstance(connection, asyncio.Protocol):
            connection.data_received(self.early)


@contextmanager
def running_handshakes(
    context: ssl.SSLContext,
    timeout: float,
    share: ConnectionShare,
    make_connection: Callable[[], asyncio.BaseProtocol],
) -> Iterator[Callable[[], asyncio.BaseProtocol]]:
    """
    Yield a function that returns the protocol of a new connection with TLS.

    The handshakes in progress end with the context.

    Parameters
    ----------
    context : ssl.SSLContext
        Certificate and key.
    timeout : float
        Seconds that a handshake may take.
    share : ConnectionShare
        What the connections share.
    make_connection : callable
        Returns the protocol of a connection after its handshake.
    """
    # Each TLS connection has a buffer of this size for as long as it lives, 256 KiB
    # unless it is changed here; asyncio offers no option for it.
    SSLProtocol.max_size = READ_BYTES
    handshakes = Handshakes(context, timeout, share)
    try:
        yield lambda: HandshakeProtocol(handshakes, make_connection)
    finally:
        handshakes.end_all()
