"""A proxy that harms the connections that go through it."""

import asyncio
import contextlib
import enum
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs

from lentilhaven.core.signal import Signal

#: Bytes that are passed on at a time.
CHUNK = 65_536

#: Seconds after which it is looked again although nothing has changed.
LONGEST_HARM = 60.0

#: Lingers for no time, so that closing a socket resets its connection.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class Harm(enum.Enum):
    """What a proxy does to bytes."""

    NONE = "none"
    DELAY = "delay"
    #: Bytes towards the server are held back.
    CUT_TO_SERVER = "cut-to-server"
    #: Bytes from the server are held back.
    CUT_FROM_SERVER = "cut-from-server"
    SILENCE = "silence"


HOLDS_TO_SERVER = (Harm.CUT_TO_SERVER, Harm.SILENCE)
HOLDS_FROM_SERVER = (Harm.CUT_FROM_SERVER, Harm.SILENCE)


@attrs.define(eq=False)
class LoopbackProxy:
    """
    Passes connections on to one server.

    Attributes
    ----------
    host, port : str and int
        Where the server listens.
    harm : Harm
        What happens to connections now.
    delay : float
        Seconds by which `Harm.DELAY` holds each piece back.
    writers : set of asyncio.StreamWriter
        Both ends of the open connections.
    changed : Signal
        Wakes connections that are held up.
    """

    host: str
    port: int
    harm: Harm = Harm.NONE
    delay: float = 0.2
    writers: set[asyncio.StreamWriter] = attrs.field(factory=set)
    changed: Signal = attrs.field(factory=Signal)

    def set_harm(self, harm: Harm) -> None:
        """Change what happens to connections."""
        self.harm = harm
        self.changed.notify()

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in self.writers:
            if writer.transport.is_closing():
                continue
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass one connection on in both directions."""
        try:
            far_reader, far_writer = await asyncio.open_connection(self.host, self.port)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self.writers |= ends
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.pump(reader, far_writer, HOLDS_TO_SERVER))
                group.create_task(self.pump(far_reader, writer, HOLDS_FROM_SERVER))
        finally:
            self.writers -= ends
            for end in ends:
                end.close()

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        held_by: tuple[Harm, ...],
    ) -> None:
        """Pass one direction on until it ends."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                if self.harm is Harm.DELAY:
                    await asyncio.sleep(self.delay)
                while self.harm in held_by:
                    await self.changed.wait(LONGEST_HARM)
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
            return
        writer.transport.abort()


@asynccontextmanager
async def open_proxy(
    listen_host: str, listen_port: int, host: str, port: int
) -> AsyncIterator[LoopbackProxy]:
    """
    Listen on one address and pass connections on to another.

    Parameters
    ----------
    listen_host, listen_port : str and int
        Where callers connect.
    host, port : str and int
        The server.
    """
    proxy = LoopbackProxy(host, port)
    server = await asyncio.start_server(proxy.serve, listen_host, listen_port)
    try:
        yield proxy
    finally:
        server.close()
        proxy.reset()
