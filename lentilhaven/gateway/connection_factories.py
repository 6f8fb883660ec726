"""Factories of a gateway's network connections."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import attrs

from lentilhaven.platform.store_client import make_store_connector
from lentilhaven.upstream.connect import Connect, connect_tcp

#: Opens a datagram socket, given a protocol factory, a host and a port.
OpenDatagrams = Callable[
    [Callable[[], asyncio.DatagramProtocol], str, int],
    Awaitable[tuple[asyncio.BaseTransport, asyncio.DatagramProtocol]],
]


async def open_udp(
    make_protocol: Callable[[], asyncio.DatagramProtocol], host: str, port: int
) -> tuple[asyncio.BaseTransport, asyncio.DatagramProtocol]:
    """
    Open a UDP socket.

    Parameters
    ----------
    make_protocol : callable
        Returns the protocol that handles datagrams.
    host : str
        Local IP address.
    port : int
        Local port.
    """
    loop = asyncio.get_running_loop()
    transport, protocol = await loop.create_datagram_endpoint(
        make_protocol, local_addr=(host, port)
    )
    return transport, protocol


def make_single_use_connector() -> aiohttp.BaseConnector:
    """
    Return a connector that uses each connection for one call only.

    Answers to calls have no request ids.  On a connection that has carried another
    call, a late copy of an earlier answer could not be told from the expected one.
    """
    return aiohttp.TCPConnector(force_close=True)


@attrs.frozen
class ConnectionFactories:
    """
    Factories of network connections; tests replace them with in-memory ones.

    Attributes
    ----------
    store_connector : callable
        Returns the connector for calls to the store.
    connector : callable
        Returns the connector for other calls.
    open_datagrams : callable
        Opens the socket for datagrams between gateways.
    connect : callable
        Opens connections to endpoints, and to other gateways on the way to them.
    """

    store_connector: Callable[[], aiohttp.BaseConnector] = make_store_connector
    connector: Callable[[], aiohttp.BaseConnector] = make_single_use_connector
    open_datagrams: OpenDatagrams = open_udp
    connect: Connect = connect_tcp
