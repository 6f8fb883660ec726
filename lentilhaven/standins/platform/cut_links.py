"""
The connections that one gateway opens, some of which can be cut.

Behind a partition between a gateway and some hosts, its connections hang, are reset, or
live on while new ones are refused.  Connections that others open are not affected.
"""

import asyncio
import enum
from typing import Any

import attrs

from lentilhaven.standins.virtual import VirtualConnector

#: Seconds after which the kernel gives up a connection without acknowledgements.
USER_TIMEOUT = 1.5


class Cut(enum.Enum):
    """What happens to connections while a gateway is cut off from their hosts."""

    #: Open connections and new ones hang.
    HANG = "hang"
    #: Open connections are reset, new ones hang.
    RESET = "reset"
    #: Open connections live on, new ones are refused.
    REFUSE_NEW = "refuse-new"
    #: Open connections are reset, new ones are refused.
    REFUSE = "refuse"


@attrs.define(eq=False)
class GatewayLinks:
    """
    The connections that a gateway opens.

    Attributes
    ----------
    cut : Cut or None
        What happens to connections to `hosts` now; None for nothing.
    hosts : set of str
        Hosts from which the gateway is cut off.
    connections : list of LinkedProtocol
        Open connections.
    opened : list of str
        Hosts to which connections were opened, oldest first.
    attempts : int
        Number of connections that were tried.
    """

    cut: Cut | None = None
    hosts: set[str] = attrs.field(factory=set)
    connections: "list[LinkedProtocol]" = attrs.field(factory=list)
    opened: list[str] = attrs.field(factory=list)
    attempts: int = 0

    def is_cut(self, host: str) -> bool:
        """Return whether the gateway is cut off from a host."""
        return self.cut is not None and host in self.hosts

    def hangs(self, host: str) -> bool:
        """Return whether bytes to and from a host are lost."""
        return self.cut is Cut.HANG and host in self.hosts

    def begin_cut(self, cut: Cut, hosts: set[str]) -> None:
        """Cut the gateway off from hosts."""
        self.cut, self.hosts = cut, hosts
        for connection in list(self.connections):
            if connection.host not in hosts or cut is Cut.REFUSE_NEW:
                continue
            if cut is Cut.HANG:
                connection.begin_silence()
            else:
                connection.reset("the connection was reset")

    def end_cut(self) -> None:
        """Let all connections through again; what was lost stays lost."""
        self.cut = None

    async def wait_if_cut(self, host: str) -> None:
        """Let a new connection to a host hang, or refuse it, if that is cut off."""
        self.attempts += 1
        if not self.is_cut(host):
            return
        if self.cut in (Cut.REFUSE, Cut.REFUSE_NEW):
            raise ConnectionRefusedError(f"{host} refuses connections")
        await asyncio.sleep(3600.0)

    async def connect(
        self, make_protocol: Any, host: str, port: int
    ) -> tuple[Any, Any]:
        """Open a connection."""
        await self.wait_if_cut(host)
        loop = asyncio.get_running_loop()
        protocol = LinkedProtocol(self, host, make_protocol())
        await loop.create_connection(lambda: protocol, host, port)
        self.opened.append(host)
        return protocol.transport, protocol.inner


class LinkedConnector(VirtualConnector):
    """Connector of a gateway that can be cut off from hosts."""

    def __init__(self, links: GatewayLinks, **options: Any) -> None:
        super().__init__(**options)
        self.links = links

    async def _wrap_create_connection(self, *args: Any, **kwargs: Any) -> Any:
        """Connect, if the host is not cut off."""
        await self.links.wait_if_cut(kwargs["addr_infos"][0][4][0])
        return await super()._wrap_create_connection(*args, **kwargs)


class LinkedProtocol(asyncio.Protocol):
    """Passes on what arrives on a connection that may be cut."""

    def __init__(self, links: GatewayLinks, host: str, inner: Any) -> None:
        self.links, self.host, self.inner = links, host, inner
        self.transport: LinkedTransport | None = None
        self.is_lost = False
        #: Bytes were lost, so that the connection can't go on.
        self.is_broken = False

    def connection_made(self, transport: Any) -> None:
        """Pass on the start of the connection."""
        self.transport = LinkedTransport(transport, self)
        self.links.connections.append(self)
        self.inner.connection_made(self.transport)

    def data_received(self, data: bytes) -> None:
        """Pass on data unless they are lost."""
        if not self.loses_bytes():
            self.inner.data_received(data)

    def eof_received(self) -> Any:
        """Pass on the end of the data unless it is lost."""
        return None if self.loses_bytes() else self.inner.eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Pass on the end of the connection unless it is lost."""
        if not self.loses_bytes():
            self.lose(exc)

    def pause_writing(self) -> None:
        """Pass on that the buffer is full."""
        if hasattr(self.inner, "pause_writing"):
            self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the buffer has room."""
        if hasattr(self.inner, "resume_writing"):
            self.inner.resume_writing()

    def loses_bytes(self) -> bool:
        """Return whether bytes are lost now, as some were before."""
        self.is_broken |= self.links.hangs(self.host)
        return self.is_broken or self.is_lost

    def begin_silence(self) -> None:
        """Lose all bytes; the kernel gives the connection up after a while."""
        self.is_broken = True
        asyncio.get_running_loop().call_later(
            USER_TIMEOUT, self.reset, "the connection timed out"
        )

    def reset(self, detail: str) -> None:
        """Reset the connection at both ends."""
        if self.transport is not None:
            self.transport.raw.abort()
        self.lose(ConnectionResetError(detail))

    def lose(self, exc: BaseException | None) -> None:
        """Tell the inner protocol once that the connection is lost."""
        if not self.is_lost:
            self.is_lost = True
            if self in self.links.connections:
                self.links.connections.remove(self)
            self.inner.connection_lost(exc)


class LinkedTransport(asyncio.Transport):
    """Transport of a connection that may be cut."""

    def __init__(self, raw: Any, protocol: LinkedProtocol) -> None:
        super().__init__()
        self.raw, self.protocol = raw, protocol

    def write(self, data: Any) -> None:
        """Send data unless they are lost."""
        if not self.protocol.loses_bytes():
            self.raw.write(data)

    def abort(self) -> None:
        """Close the connection at once."""
        if self.protocol.is_broken:
            asyncio.get_running_loop().call_soon(self.protocol.lose, None)
        self.raw.abort()

    def close(self) -> None:
        """Close the connection."""
        if self.protocol.is_broken:
            asyncio.get_running_loop().call_soon(self.protocol.lose, None)
        self.raw.close()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information about the connection."""
        return self.raw.get_extra_info(name, default)

    def is_closing(self) -> bool:
        """Return whether the connection closes."""
        return self.raw.is_closing()

    def pause_reading(self) -> None:
        """Read no more."""
        self.raw.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        self.raw.resume_reading()

    def get_write_buffer_size(self) -> int:
        """Return the bytes that wait to be sent."""
        return 0 if self.protocol.is_broken else self.raw.get_write_buffer_size()

    def set_write_buffer_limits(self, *args: Any, **kwargs: Any) -> None:
        """Bound the bytes that wait to be sent."""
        self.raw.set_write_buffer_limits(*args, **kwargs)

    def write_eof(self) -> None:
        """End the data."""
        self.raw.write_eof()

    def can_write_eof(self) -> bool:
        """Return whether the data can be ended."""
        return self.raw.can_write_eof()
