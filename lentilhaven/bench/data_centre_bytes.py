"""
Bytes of datagrams between data centres, from the real encoder in virtual time.

Usage: ``python -m lentilhaven.bench.data_centre_bytes GATEWAYS RATE LOCAL``

Gateways in three data centres find each other and report RATE streams a second on 99
engines, of which a share LOCAL runs in the data centre of its gateway.  The result is
printed by scope: datagrams and bytes per second between data centres.  Without
arguments, the sizes of other messages are printed.
"""

import asyncio
import json
import sys
from collections import Counter, deque
from random import Random
from typing import Any

import attrs

from lentilhaven.core.store_position import StorePosition
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.peer_exchange import PeerExchange
from lentilhaven.gateway.peer_relay import make_answer
from lentilhaven.peering.member import Member
from lentilhaven.peering.messages import decode_message
from lentilhaven.platform.request_head import (
    RequestHead,
    encode_request,
    gateway_headers,
)
from lentilhaven.platform.settings import decode_settings
from lentilhaven.rate_limits import ServiceDemand
from lentilhaven.standins.platform import FakeReplica
from lentilhaven.standins.platform.sample_files import request_headers, settings_file
from lentilhaven.standins.virtual import run_virtual

DATA_CENTRES = ("fukuoka", "kumamoto", "kagoshima")
ENGINES = 99
LAYERS = 80

#: Parts of a chain, seconds for which a stream lasts, and its tokens.
PARTS = 9
STREAM_TIME = 2.3
TOKENS = 829.0

#: Seconds before the count begins, and seconds that are counted.
SETTLING, COUNTED = 4.0, 10.0


@attrs.define
class Wire:
    """
    Delivers datagrams, and counts the bytes that pass between data centres.

    Attributes
    ----------
    exchanges : dict
        `PeerExchange` of each gateway, by host.
    counts : Counter
        Bytes, and numbers of datagrams, by scope.
    """

    exchanges: dict[str, PeerExchange] = attrs.field(factory=dict)
    counts: Counter[tuple[str, str]] = attrs.field(factory=Counter)

    def send(self, sender: PeerExchange, data: bytes, host: str) -> None:
        """Deliver a datagram to a host."""
        receiver = self.exchanges[host]
        own = sender.gateway.settings.data_centre
        if receiver.gateway.settings.data_centre != own:
            message = decode_message(data)
            assert message is not None
            self.counts[message.scope.value, "datagrams"] += 1
            self.counts[message.scope.value, "bytes"] += len(data)
        loop = asyncio.get_running_loop()
        loop.call_later(0.001, receiver.datagram_received, data, (host, 0))


@attrs.define
class WireEnd:
    """The transport of one gateway."""

    wire: Wire
    exchange: PeerExchange

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""
        self.wire.send(self.exchange, data, address[0])


def make_engines() -> list[Endpoint]:
    """Return engines, of which each group of `PARTS` holds all layers."""
    size = LAYERS // PARTS
    return [
        Endpoint(
            f"i-{Random(number).getrandbits(40):010x}",
            "assist",
            f"10.{number % 3}.2.{number}:8000",
            DATA_CENTRES[number % 3],
            layers=LayerSpan(number % PARTS * size, (number % PARTS + 1) * size),
        )
        for number in range(ENGINES)
    ]


def make_gateway(number: int, wire: Wire, engines: list[Endpoint]) -> Gateway:
    """Return a gateway whose datagrams go through a wire."""
    host = f"10.{number % 3}.0.{number + 1}"
    seeds = [f"10.{it}.0.{it + 1}" for it in range(3)]
    settings = settings_file(number, host, DATA_CENTRES[number % 3], seeds, "")
    settings["limits"]["cpu_share"] = 0.5
    gateway = Gateway(decode_settings(settings), random=Random(number))
    gateway.view.endpoints = {it.id: it for it in engines}
    exchange = PeerExchange(gateway)
    exchange.transport = WireEnd(wire, exchange)  # type: ignore[assignment]
    wire.exchanges[host] = exchange
    return gateway


async def serve_streams(
    gateways: list[Gateway], engines: list[Endpoint], rate: float, local: float
) -> None:
    """Run streams on random chains, each in one data centre, until cancelled."""
    random, loop = Random(1), asyncio.get_running_loop()
    running: deque[tuple[float, Gateway, list[Any]]] = deque()
    while True:
        now = loop.time()
        while running and running[0][0] <= now:
            _, gateway, states = running.popleft()
            for state in states:
                state.requests -= 1
                state.kv_token_layers -= TOKENS * LAYERS / PARTS
        gateway = random.choice(gateways)
        place = gateway.settings.data_centre
        if random.random() >= local:
            place = random.choice([it for it in DATA_CENTRES if it != place])
        parts = [it for it in engines if it.data_centre == place]
        states = [gateway.endpoint_states.of(it) for it in random.sample(parts, PARTS)]
        for state in states:
            state.requests += 1
            state.kv_token_layers += TOKENS * LAYERS / PARTS
        demand = gateway.demands.setdefault("assist", ServiceDemand())
        demand.record("depot", now)
        running.append((now + STREAM_TIME, gateway, states))
        for _, _, active in running:
            for state in active:
                state.note_heard(now - random.uniform(0.0, 0.03))
        await asyncio.sleep(random.expovariate(rate))


async def count_bytes(
    gateway_count: int, rate: float, local: float
) -> Counter[tuple[str, str]]:
    """Return the bytes and datagrams between data centres in `COUNTED` seconds."""
    wire, engines = Wire(), make_engines()
    gateways = [make_gateway(it, wire, engines) for it in range(gateway_count)]
    for exchange in wire.exchanges.values():
        for seed in exchange.seed_addresses():
            exchange.gateway.peers.directory.note_member(Member(seed), 0.0)
    tasks = [asyncio.ensure_future(it.run()) for it in wire.exchanges.values()]
    tasks.append(asyncio.ensure_future(serve_streams(gateways, engines, rate, local)))
    await asyncio.sleep(SETTLING)
    wire.counts.clear()
    await asyncio.sleep(COUNTED)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return wire.counts


def other_sizes() -> dict[str, int]:
    """Return the bytes of other messages, compact and without HTTP's own."""
    engines = make_engines()
    parts = [(it, it.layers or LayerSpan(0, 1)) for it in engines[:PARTS]]
    own = gateway_headers(engines[0], 2.0, "depot", 1, parts)
    fields = request_headers("4f6a2c1d9e3b7a50", "", 2.0, 69)
    del fields["Authorization"]
    caller = RequestHead("r", forwarded_headers=tuple(fields.items()))
    head = encode_request("POST", "/assist/generate", caller, 0, own)
    wire = Wire()
    gateway = make_gateway(0, wire, engines)
    gateway.view.endpoints_position = StorePosition(0, 1)
    state = make_answer(gateway, {"manifest_version": 0, "era": 0, "endpoints": 0})
    entry = FakeReplica("i-1", "assist", "10.0.2.1", card="large", span=(0, 8)).entry()
    return {
        "head of a request": len(head),
        "entry of a replica": len(json.dumps(entry, separators=(",", ":"))),
        "state from another gateway": len(json.dumps(state, separators=(",", ":"))),
    }


def main() -> None:
    """Count and print."""
    if len(sys.argv) == 1:
        for name, count in other_sizes().items():
            print(f"{name}: {count} bytes")
        return
    gateways, rate, local = int(sys.argv[1]), float(sys.argv[2]), float(sys.argv[3])
    counts = run_virtual(count_bytes(gateways, rate, local))
    for scope in sorted({scope for scope, _ in counts}):
        datagrams, size = counts[scope, "datagrams"], counts[scope, "bytes"]
        print(
            f"{scope}: {datagrams / COUNTED:.1f} datagrams and "
            f"{size / COUNTED:.0f} bytes a second, {size / datagrams:.0f} bytes each"
        )


if __name__ == "__main__":
    main()
