"""Sends and receives the datagrams between gateways."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import cast

import attrs

from lentilhaven.gateway.endpoint_board import REFUTE_MARGIN
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.news_composer import NewsComposer
from lentilhaven.gateway.wiring import OpenDatagrams
from lentilhaven.peering.member import Member
from lentilhaven.peering.news import PeerNews, Scope, decode_news, encode_news

#: Seconds between two datagrams to the same gateway.
INTERVAL = 0.1

#: Seconds for which urgent news wait for more of them: one failure is noticed by
#: many requests.
URGENT_DELAY = 0.01

#: Seconds added for each other gateway of a small fleet, so that what a gateway
#: receives grows more slowly than their number.
INTERVAL_PER_PEER = 0.004

#: Seconds that a leader of a large fleet adds for each gateway that reports to it:
#: at 366 of them, a third of 1,100, it decodes 800 datagrams a second.
INTERVAL_PER_MEMBER = 0.001

#: Seconds without the sum of all after which it is asked of every leader; three
#: datagrams.
LEADER_SILENCE = 0.4

#: Reports of which one is answered by the leaders that need not; two such answers
#: come within the time in which a leader is thought to be gone.
ANSWERS_APART = 4

#: Seconds between two datagrams to gateways chosen at random, in a large fleet.
EXPLORE_INTERVAL = 1.0


@attrs.define(eq=False)
class PeerExchange(asyncio.DatagramProtocol):
    """
    One gateway's side of the datagrams.

    In a small fleet each gateway tells all others of itself.  In a large one it
    tells the leaders of its data centre, which sum up what they hear, exchange
    their sums, and tell everyone the sum of all.

    Attributes
    ----------
    gateway : Gateway
        State of the process.
    composer : NewsComposer
        Makes the datagrams.
    transport : asyncio.DatagramTransport or None
        The socket.
    explored_at : float
        Time of the last datagram to a gateway chosen at random.
    reports : int
        How often the leaders were told of the own load.
    """

    gateway: Gateway
    composer: NewsComposer = attrs.field()
    transport: asyncio.DatagramTransport | None = None
    explored_at: float = 0.0
    reports: int = 0

    @composer.default
    def make_composer(self) -> NewsComposer:
        """Return the composer of this gateway's datagrams."""
        return NewsComposer(self.gateway)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Take what another gateway says."""
        news = decode_news(data)
        if news is None:
            return
        now = asyncio.get_running_loop().time()
        if not self.gateway.peers.take(news, now):
            return
        if learn(self.gateway, news, now) and self.gateway.peers.is_large(now):
            self.gateway.urgent.notify()
        if news.scope is Scope.PROBE:
            self.send(Scope.MEMBERS, [news.address], now)

    def error_received(self, exc: Exception) -> None:
        """Leave errors alone: a peer that is down refuses datagrams."""

    async def run_for_ever(self) -> None:
        """Tell the others what has changed, for ever."""
        gateway = self.gateway
        loop = asyncio.get_running_loop()
        while True:
            if await gateway.urgent.wait(self.interval(loop.time())):
                await asyncio.sleep(URGENT_DELAY)
            gateway.peers.expire(loop.time())
            self.tell()

    def interval(self, now: float) -> float:
        """Return the seconds between two datagrams to the same gateway."""
        peers = self.gateway.peers
        if not peers.is_large(now):
            return INTERVAL + INTERVAL_PER_PEER * len(peers.directory.listed)
        return INTERVAL + INTERVAL_PER_MEMBER * len(peers.peers)

    def tell(self) -> None:
        """Send each datagram that is due to whoever should have it."""
        now = asyncio.get_running_loop().time()
        peers = self.gateway.peers
        directory = peers.directory
        if not peers.is_large(now):
            self.send(Scope.OWN, directory.addresses(), now)
            return
        own = peers.own
        leaders = directory.leaders(own.data_centre, now)
        self.report([it.address for it in leaders if it != own], now)
        if own in leaders:
            self.send(Scope.DATA_CENTRE, self.other_leaders(now), now)
        asking = [
            it.news.address
            for it in peers.peers.values()
            if it.is_fresh(now) and it.news.wants_answer
        ]
        self.send(Scope.FLEET, asking, now)
        if now - self.explored_at > EXPLORE_INTERVAL:
            self.explored_at = now
            self.send(Scope.PROBE, self.pick_unknown(), now)

    def report(self, leaders: Sequence[str], now: float) -> None:
        """
        Tell the leaders of the own load.

        One of them answers each time; the others do seldom, so that it shows
        whether they live, and all do once the first has fallen silent.
        """
        if not leaders:
            return
        self.reports += 1
        news = self.composer.compose(Scope.OWN, now)
        self.send_news(news, leaders[:1], now)
        heard = [
            it.heard_at
            for it in self.gateway.peers.fleets.values()
            if it.news.address == leaders[0]
        ]
        silent = not heard or now - heard[0] > LEADER_SILENCE
        wanted = silent or self.reports % ANSWERS_APART == 0
        later = attrs.evolve(news, wants_answer=wanted)
        self.send_news(later, leaders[1:], now)

    def other_leaders(self, now: float) -> list[str]:
        """Return the leaders of the other data centres, and who tells us as one."""
        peers = self.gateway.peers
        directory = peers.directory
        found = {
            leader.address
            for name in directory.data_centres() - {peers.own.data_centre}
            for leader in directory.leaders(name, now)
        }
        for shelf in peers.data_centres.values():
            found |= {it.news.address for it in shelf.values() if it.is_fresh(now)}
        return sorted(found)

    def pick_unknown(self) -> list[str]:
        """
        Return a seed and another gateway by chance.

        Gateways that know only each other find the rest in this way.
        """
        gateway = self.gateway
        seeds = self.seeds()
        known = gateway.peers.directory.addresses()
        found = {gateway.random.choice(it) for it in (seeds, known) if it}
        return sorted(found - {gateway.peers.own.address})

    def seeds(self) -> list[str]:
        """Return the addresses of the seeds' datagrams."""
        settings = self.gateway.settings
        port = settings.internal_ports[0]
        return [f"{seed.rpartition(':')[0]}:{port}" for seed in settings.seeds]

    def send(self, scope: Scope, addresses: Sequence[str], now: float) -> None:
        """Compose a datagram and send it to some gateways."""
        if addresses:
            self.send_news(self.composer.compose(scope, now), addresses, now)

    def send_news(self, news: PeerNews, addresses: Sequence[str], now: float) -> None:
        """Send one datagram to some gateways."""
        if self.transport is None or not addresses:
            return
        data = encode_news(news)
        for address in addresses:
            host, _, port = address.rpartition(":")
            self.transport.sendto(data, (host, int(port)))
            self.gateway.peers.directory.note_sent(address, now)


def learn(gateway: Gateway, news: PeerNews, now: float) -> bool:
    """Take over what another gateway says; return whether a suspicion is new."""
    gateway.others_checked_at = max(gateway.others_checked_at, now - news.checked)
    if news.changes is not None:
        gateway.view.follow_changes(news.changes, news.vm)
    if is_ahead(gateway, news):
        gateway.ahead.setdefault(news.vm, (news, now))
        gateway.behind.notify()
    else:
        gateway.ahead.pop(news.vm, None)
    endpoints = gateway.view.endpoints
    for name, age in news.heard.items():
        endpoint = endpoints.get(name)
        if endpoint is not None:
            gateway.board.of(endpoint).note_heard(now - age, own=False)
    fresh = False
    for name, (age, left) in news.suspects.items():
        endpoint = endpoints.get(name)
        if endpoint is None:
            continue
        state = gateway.board.of(endpoint)
        # A peer may not know yet that the endpoint was heard of since.
        if state.heard_at <= now - age + REFUTE_MARGIN:
            fresh |= state.note_suspicion(now - age, now + left, own=False)
    return fresh


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
    host, _, port = gateway.peers.own.address.rpartition(":")
    protocol = PeerExchange(gateway)
    transport, _ = await open_datagrams(lambda: protocol, host, int(port))
    for seed in protocol.seeds():
        gateway.peers.directory.name(Member(seed), loop.time())
    try:
        yield protocol
    finally:
        transport.close()
