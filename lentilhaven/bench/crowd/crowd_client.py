"""One client of a crowd, which sends bytes and never reads an answer."""

import asyncio
import socket
import ssl

import attrs

from lentilhaven.bench.crowd.misbehaviour import Misbehaviour

#: Seconds until a client connects again after its connection has ended.
RECONNECT_PAUSE = 0.05

#: Receive buffer of a client's socket in bytes; small, so that unread answers stay at
#: the process under test.
RECEIVE_BUFFER = 4096


@attrs.frozen
class Address:
    """
    A listener of the process under test.

    Attributes
    ----------
    host : str
        IP address.
    port : int
        Port.
    """

    host: str
    port: int


async def misbehave(address: Address, kind: Misbehaviour) -> None:
    """Connect and send, again after each end of the connection, until cancelled."""
    while True:
        try:
            if kind.is_encrypted:
                await send_encrypted(address, kind)
            else:
                await send_plain(address, kind)
        except OSError:
            # The process has refused the connection or closed it.
            pass
        await asyncio.sleep(RECONNECT_PAUSE)


async def send_plain(address: Address, kind: Misbehaviour) -> None:
    """Send on one connection without TLS until it ends."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        sock.setblocking(False)
        await loop.sock_connect(sock, (address.host, address.port))
        await loop.sock_sendall(sock, kind.opening)
        number = 0
        while piece := kind.piece(number):
            await loop.sock_sendall(sock, piece)
            await asyncio.sleep(kind.pause)
            number += 1
        # A silent client notices that its connection has ended.
        while await loop.sock_recv(sock, 1024):
            pass


async def send_encrypted(address: Address, kind: Misbehaviour) -> None:
    """Send on one connection with TLS, each piece in a record of its own."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    _, writer = await asyncio.open_connection(address.host, address.port, ssl=context)
    try:
        writer.write(kind.opening)
        number = 0
        while True:
            writer.write(kind.piece(number))
            await writer.drain()
            await asyncio.sleep(kind.pause)
            number += 1
    finally:
        writer.transport.abort()
