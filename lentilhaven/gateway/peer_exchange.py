"""Sends and receives the datagrams between gateways."""

import asyncio
import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import cast

import attrs

from lentilhaven.gateway.endpoint_board import REFUTE_MARGIN
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.wiring import OpenDatagrams
from lentilhaven.peering.news import PeerNews, decode_news, encode_news

#: Seconds between two datagrams to each peer.
INTERVAL = 0.1

#: Seconds added for each other gateway, so that what a gateway receives grows
#: more slowly than their number.
INTERVAL_PER_PEER = 0.004

#: Addresses that each datagram names, so that new gateways find all others.
MEMBERS_NAMED = 3


@attrs.define(eq=False)
class PeerExchange(asyncio.DatagramProtocol):
    """
    One gateway's side of the datagrams.

    Attributes
    ----------
    gateway : Gateway
        State of the process.
    run : str
        Unique id of this process.
    transport : asyncio.DatagramTransport or None
        The socket.
    number : int
        Datagrams sent.
    told_at : float
        Time of the last datagram.
    """

    gateway: Gateway
    run: str = attrs.field(factory=lambda: uuid.uuid4().hex[:12])
    transport: asyncio.DatagramTransport | None = None
    number: int = 0
    told_at: float = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Take what another gateway says."""
        news = decode_news(data)
        if news is None:
            return
        now = asyncio.get_running_loop().time()
        if self.gateway.peers.take(news, now):
            learn(self.gateway, news, now)

    def error_received(self, exc: Exception) -> None:
        """Leave errors alone: a peer that is down refuses datagrams."""

    async def run_for_ever(self) -> None:
        """Tell the others what has changed, for ever."""
        gateway = self.gateway
        loop = asyncio.get_running_loop()
        while True:
            others = len(gateway.peers.addresses)
            await gateway.urgent.wait_until(
                lambda: False, INTERVAL + INTERVAL_PER_PEER * others
            )
            gateway.peers.expire(loop.time())
            self.tell()

    def tell(self) -> None:
        """Send one datagram to each other gateway."""
        now = asyncio.get_running_loop().time()
        if self.transport is None:
            return
        self.number += 1
        data = encode_news(self.compose(now))
        self.told_at = now
        for address in self.gateway.peers.addresses:
            host, _, port = address.rpartition(":")
            self.transport.sendto(data, (host, int(port)))

    def compose(self, now: float) -> PeerNews:
        """Return what this gateway has to say."""
        gateway = self.gateway
        peers, view = gateway.peers, gateway.view
        names = {it.incarnation: it.id for it in view.endpoints.values()}
        loads: dict[str, tuple[int, float]] = {}
        heard: dict[str, float] = {}
        suspects: dict[str, tuple[float, float]] = {}
        for incarnation, state in gateway.board.states.items():
            name = names.get(incarnation)
            if name is None:
                continue
            if state.requests:
                loads[name] = (state.requests, round(state.state_tokens))
            if state.heard_at > self.told_at:
                heard[name] = round(now - state.heard_at, 3)
            if state.suspected_until > now and state.own_suspicion:
                since = now - state.suspected_since
                left = state.suspected_until - now
                suspects[name] = (round(since, 3), round(left, 3))
        known = list(peers.addresses)
        count = min(MEMBERS_NAMED, len(known))
        return PeerNews(
            vm=peers.vm,
            run=self.run,
            address=peers.own_address,
            number=self.number,
            relay=gateway.settings.peers,
            manifest_revision=view.manifest_revision,
            endpoints_revision=view.endpoints_revision,
            digest=gateway.digest,
            checked=round(min(1e6, now - gateway.checked_at), 3),
            loads=loads,
            pipes={
                pipe: round(rate) for pipe, rate in gateway.pipes.current(now).items()
            },
            heard=heard,
            suspects=suspects,
            members=tuple(gateway.random.sample(known, count)),
            ready=gateway.ready,
            places=gateway.places(),
        )


def learn(gateway: Gateway, news: PeerNews, now: float) -> None:
    """Take over what another gateway has seen of endpoints."""
    gateway.others_checked_at = max(gateway.others_checked_at, now - news.checked)
    if is_ahead(gateway, news):
        gateway.ahead.setdefault(news.vm, (news, now))
    else:
        gateway.ahead.pop(news.vm, None)
    endpoints = gateway.view.endpoints
    for name, age in news.heard.items():
        endpoint = endpoints.get(name)
        if endpoint is not None:
            gateway.board.of(endpoint).note_heard(now - age)
    for name, (age, left) in news.suspects.items():
        endpoint = endpoints.get(name)
        if endpoint is None:
            continue
        state = gateway.board.of(endpoint)
        # A peer may not know yet that the endpoint was heard of since.
        if state.heard_at <= now - age + REFUTE_MARGIN:
            state.note_suspicion(now - age, now + left, own=False)


def is_ahead(gateway: Gateway, news: PeerNews) -> bool:
    """Return whether another gateway knows something newer."""
    view = gateway.view
    if not news.relay:
        return False
    if news.manifest_revision > view.manifest_revision:
        return True
    newer = news.endpoints_revision > view.endpoints_revision
    return newer and news.digest != gateway.digest


@asynccontextmanager
async def open_peer_exchange(
    gateway: Gateway, open_datagrams: OpenDatagrams
) -> AsyncIterator[PeerExchange]:
    """
    Exchange datagrams with the other gateways until the context ends.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    open_datagrams : callable
        Opens the socket.
    """
    loop = asyncio.get_running_loop()
    host, _, port = gateway.peers.own_address.rpartition(":")
    protocol = PeerExchange(gateway)
    transport, _ = await open_datagrams(lambda: protocol, host, int(port))
    seeds = [f"{seed.rpartition(':')[0]}:{port}" for seed in gateway.settings.seeds]
    gateway.peers.add_addresses(seeds, loop.time())
    try:
        yield protocol
    finally:
        transport.close()
