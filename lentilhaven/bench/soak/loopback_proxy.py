"""TCP proxy that injects faults into the connections through it."""

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs

from lentilhaven.core.signal import Signal
from lentilhaven.standins.platform.replica_wire import reset_connection

#: Maximum number of bytes that are read at a time.
CHUNK_SIZE = 65_536

#: Seconds after which a connection that holds bytes back checks the fault again even
#: if no change was notified.
RECHECK_INTERVAL = 60.0


class LinkFault(enum.Enum):
    """Fault that a proxy injects into its connections."""

    NONE = "none"
    #: Forwards each chunk after a delay.
    DELAY = "delay"
    #: Holds bytes that are sent to the server.
    CUT_TO_SERVER = "cut-to-server"
    #: Holds bytes that are sent by the server.
    CUT_FROM_SERVER = "cut-from-server"
    #: Holds bytes in both directions.
    SILENCE = "silence"


HOLD_TO_SERVER = (LinkFault.CUT_TO_SERVER, LinkFault.SILENCE)
HOLD_FROM_SERVER = (LinkFault.CUT_FROM_SERVER, LinkFault.SILENCE)


@attrs.define(eq=False)
class LoopbackProxy:
    """
    Forwards connections to one server.

    Attributes
    ----------
    listen_host, listen_port : str and int
        Address on which the proxy listens.
    host, port : str and int
        Address of the server.
    fault : LinkFault
        Fault that is currently injected.
    delay : float
        Seconds by which `LinkFault.DELAY` delays each chunk.
    writers : set of asyncio.StreamWriter
        Writers to both ends of the open connections.
    fault_changed : Signal
        Notifies connections whose bytes are held.
    listener : asyncio.Server or None
        Listener for new connections; None while they are refused.
    """

    listen_host: str
    listen_port: int
    host: str
    port: int
    fault: LinkFault = LinkFault.NONE
    delay: float = 0.2
    writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    fault_changed: Signal = attrs.field(factory=Signal)
    listener: asyncio.Server | None = None

    async def listen(self) -> None:
        """Accept connections."""
        self.listener = await asyncio.start_server(
            self.serve, self.listen_host, self.listen_port
        )

    def refuse(self) -> None:
        """Refuse new connections, as if no process listened."""
        if self.listener is not None:
            self.listener.close()
        self.listener = None

    def set_fault(self, fault: LinkFault) -> None:
        """Change the injected fault."""
        self.fault = fault
        self.fault_changed.notify()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in self.writers:
            if writer.transport.is_closing():
                continue
            reset_connection(writer)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions."""
        try:
            server_reader, server_writer = await asyncio.open_connection(
                self.host, self.port
            )
        except OSError:
            reset_connection(writer)
            return
        writers = {writer, server_writer}
        self.writers |= writers
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.forward(reader, server_writer, HOLD_TO_SERVER))
                group.create_task(self.forward(server_reader, writer, HOLD_FROM_SERVER))
        finally:
            self.writers -= writers
            for it in writers:
                it.close()

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        holding: tuple[LinkFault, ...],
    ) -> None:
        """Forward one direction until its end, holding bytes during some faults."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_SIZE):
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(self.delay)
                while self.fault in holding:
                    await self.fault_changed.wait(RECHECK_INTERVAL)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
            return
        # Reached only after an error, which `suppress` has caught.
        if not writer.transport.is_closing():
            reset_connection(writer)


@asynccontextmanager
async def open_proxy(
    listen_host: str, listen_port: int, host: str, port: int
) -> AsyncIterator[LoopbackProxy]:
    """
    Listen on one address and forward connections to another.

    Parameters
    ----------
    listen_host, listen_port : str and int
        Address on which the proxy listens.
    host, port : str and int
        Address of the server.
    """
    proxy = LoopbackProxy(listen_host, listen_port, host, port)
    await proxy.listen()
    try:
        yield proxy
    finally:
        proxy.refuse()
        proxy.reset()
