"""Datagrams of other gateways with odd addresses and numbers, over loopback."""

import asyncio
import json
import math
import socket
import unittest
import zlib

from lentilhaven.core.tasks import keep_running, running_tasks
from lentilhaven.gateway.connection_factories import ConnectionFactories
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.peer_exchange import open_peer_exchange
from lentilhaven.gateway.tests.platform_testbed import sample_settings
from lentilhaven.peering.member import Member
from lentilhaven.peering.messages import PeerMessage, decode_message, encode_message
from lentilhaven.platform.settings import decode_settings

#: Addresses to which nothing can be sent.
ODD_ADDRESSES = (
    "127.0.0.1:99999",
    "127.0.0.1:-4",
    "127.0.0.1:",
    "127.0.0.1",
    "127.0.0.1:٨٠",
    "\ud800:80",
    "",
)


def free_port():
    """Return a port for datagrams that is free."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def make_gateway(port):
    """Return a gateway that receives datagrams at a port of the loopback interface."""
    settings = sample_settings(0) | {
        "ip_address": "127.0.0.1",
        "internal_ports": [port, port + 9],
        "seeds": [],
    }
    return Gateway(decode_settings(settings))


async def receive_after(message):
    """Return a datagram of a gateway that has received another one before."""
    port = free_port()
    gateway = make_gateway(port)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as peer:
        peer.setblocking(False)
        peer.bind(("127.0.0.1", 0))
        own = f"127.0.0.1:{peer.getsockname()[1]}"
        open_datagrams = ConnectionFactories().open_datagrams
        async with (
            open_peer_exchange(gateway, open_datagrams) as exchange,
            running_tasks(keep_running(exchange.run)),
        ):
            for it in (PeerMessage("vm-x", "r", own, 1), message):
                peer.sendto(encode_message(it), ("127.0.0.1", port))
            await asyncio.sleep(0.5)
            drop_received(peer)
            received = asyncio.get_running_loop().sock_recv(peer, 65_536)
            try:
                return decode_message(await asyncio.wait_for(received, 2.0))
            except TimeoutError:
                return None


def drop_received(sock):
    """Read all datagrams that have arrived."""
    try:
        while True:
            sock.recv(65_536)
    except BlockingIOError:
        pass


class OddAddressTests(unittest.TestCase):
    def test_gateway_sends_on_after_an_odd_address(self):
        """Guard against a socket that an address with a port out of range closes."""
        messages = [PeerMessage("vm-y", "r", it, 1) for it in ODD_ADDRESSES]
        for address in ODD_ADDRESSES:
            members = (Member(address, "", 1.0),)
            messages.append(PeerMessage("vm-y", "r", "127.0.0.1:9", 1, members=members))

        async def main():
            return await asyncio.gather(*map(receive_after, messages))

        for message, found in zip(messages, asyncio.run(main()), strict=True):
            with self.subTest(address=message.address, members=message.members):
                self.assertIsNotNone(found)

    def test_odd_member_hides_no_other(self):
        good = Member("10.0.0.3:7", "dc-a", 2.0)
        odd = [Member(address, "dc-a", 1.0) for address in ODD_ADDRESSES]
        sent = PeerMessage("vm-y", "r", "10.0.0.2:7", 1, members=(*odd, good))
        self.assertEqual(decode_message(encode_message(sent)).members, (good,))

    def test_numbers_that_are_not_finite_are_rejected(self):
        """Guard against a sum of loads that is no number any more."""
        fields = json.loads(
            zlib.decompress(encode_message(PeerMessage("vm-y", "r", "10.0.0.2:7", 1)))
        )
        for number in (math.nan, math.inf, -math.inf):
            for odd in ({"loads": {"e": [1, number]}}, {"heard": {"e": number}}):
                text = json.dumps(fields | odd).encode()
                self.assertIsNone(decode_message(zlib.compress(text)))
