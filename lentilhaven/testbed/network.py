"""Network partitions between the processes of a testbed in virtual time."""

import asyncio
from typing import Any

import attrs

from lentilhaven.standins.virtual import VirtualConnector

#: Name of the platform in a network.
STORE = "store"

#: Name that operators and callers share in a network.
OPERATOR = "operator"


@attrs.define
class Network:
    """
    Simulated network that can block requests between pairs of processes.

    Attributes
    ----------
    names_by_port : dict
        Name of the process at each port.
    blocked : set
        Pairs of source and target whose requests are lost without an answer.
    latency : float
        Seconds by which each request of a named process is delayed.
    connectors : list of PartitionConnector
        Connectors whose open connections stop reading when they are blocked.
    """

    names_by_port: dict[int, str] = attrs.field(factory=dict)
    blocked: set[tuple[str, str]] = attrs.field(factory=set)
    latency: float = 0.002
    connectors: "list[PartitionConnector]" = attrs.field(factory=list)

    def register_address(self, name: str, url: str) -> None:
        """
        Register the address of a process.

        Parameters
        ----------
        name : str
            Name of the process.
        url : str
            Base URL of the process.
        """
        self.names_by_port[int(url.rpartition(":")[2])] = name

    def partition(self, inside: set[str], outside: set[str]) -> None:
        """
        Block every request between two sets of processes, in both directions.

        Open connections between them stop reading, so responses under way are lost.

        Parameters
        ----------
        inside, outside : set of str
            Names of the processes on each side.
        """
        pairs = {(source, target) for source in inside for target in outside}
        self.blocked |= pairs | {(target, source) for source, target in pairs}
        for connector in self.connectors:
            connector.pause_blocked_connections()

    def heal(self) -> None:
        """
        Stop blocking requests.

        Connections that `partition` has paused are not resumed.
        """
        self.blocked.clear()

    def is_blocked(self, source: str, port: int | None) -> bool:
        """Return whether requests from a process to a port are lost."""
        return (source, self.names_by_port.get(port or 0, "")) in self.blocked


class PartitionConnector(VirtualConnector):
    """
    Connector on which blocked requests wait forever instead of being sent.

    Requests in progress on open connections get no further response when they are
    blocked, although the target may handle them.  Other requests of a named process
    are delayed by the network's latency.

    Parameters
    ----------
    network : Network
        Network that decides which requests are blocked.
    source : str
        Name of the process that uses the connector; empty for a process whose
        requests are neither blocked nor delayed.
    force_close : bool
        Whether to open a new connection for each request.
    """

    def __init__(
        self, network: Network, source: str, force_close: bool = False
    ) -> None:
        super().__init__(limit=0, force_close=force_close)
        self.network = network
        self.source = source
        network.connectors.append(self)

    def pause_blocked_connections(self) -> None:
        """Stop reading on open connections that the network blocks."""
        for protocol in list(self._acquired):
            transport: Any = protocol.transport
            if transport is None:
                continue
            port = transport.get_extra_info("peername")[1]
            if self.network.is_blocked(self.source, port):
                transport.pause_reading()

    async def connect(self, req: Any, traces: Any, timeout: Any) -> Any:
        """Connect after a delay; wait forever if the target is blocked."""
        if self.network.is_blocked(self.source, req.url.port):
            await asyncio.Event().wait()
        if self.source:
            await asyncio.sleep(self.network.latency)
        return await super().connect(req, traces, timeout)
