"""Partitions between the processes of a testbed in virtual time."""

import asyncio
from typing import Any

import attrs

from lentilhaven.standins.virtual import VirtualConnector

#: Name of the platform in a network.
STORE = "store"

#: Name of operators and callers in a network.
OPERATOR = "operator"


@attrs.define
class Network:
    """
    Which processes can't reach which.

    Attributes
    ----------
    names : dict
        Name of the process at each port.
    blocked : set
        Pairs of source and target whose requests are lost without an answer.
    latency : float
        Seconds that each request between VMs takes.
    connectors : list of PartitionConnector
        Connectors whose open connections a cut silences.
    """

    names: dict[int, str] = attrs.field(factory=dict)
    blocked: set[tuple[str, str]] = attrs.field(factory=set)
    latency: float = 0.002
    connectors: "list[PartitionConnector]" = attrs.field(factory=list)

    def name_address(self, name: str, url: str) -> None:
        """
        Enter the address of a process.

        Parameters
        ----------
        name : str
            The process.
        url : str
            Its base URL.
        """
        self.names[int(url.rpartition(":")[2])] = name

    def cut(self, inside: set[str], outside: set[str]) -> None:
        """
        Lose every request between two sets of processes.

        Parameters
        ----------
        inside, outside : set of str
            Names.
        """
        pairs = {(one, other) for one in inside for other in outside}
        self.blocked |= pairs | {(other, one) for one, other in pairs}
        for connector in self.connectors:
            connector.silence_blocked()

    def heal(self) -> None:
        """Let every request through again."""
        self.blocked.clear()

    def blocks(self, source: str, port: int | None) -> bool:
        """Return whether requests of a process to a port are lost."""
        return (source, self.names.get(port or 0, "")) in self.blocked


class PartitionConnector(VirtualConnector):
    """
    Loses requests that a network blocks, also on connections that are open.

    Parameters
    ----------
    network : Network
        The network.
    source : str
        The process that uses the connector.
    fresh : bool
        Whether it opens a connection for each request.
    """

    def __init__(self, network: Network, source: str, fresh: bool = False) -> None:
        super().__init__(limit=0, force_close=fresh)
        self.network = network
        self.source = source
        network.connectors.append(self)

    def silence_blocked(self) -> None:
        """Lose what is under way on connections that the network blocks."""
        for protocol in list(self._acquired):
            transport: Any = protocol.transport
            if transport is None:
                continue
            port = transport.get_extra_info("peername")[1]
            if self.network.blocks(self.source, port):
                transport.pause_reading()

    async def connect(self, req: Any, traces: Any, timeout: Any) -> Any:
        """Wait for ever instead of connecting across a cut."""
        if self.network.blocks(self.source, req.url.port):
            await asyncio.Event().wait()
        if self.source:
            await asyncio.sleep(self.network.latency)
        return await super().connect(req, traces, timeout)
