"""
Bytes of datagrams that report queues, beside those that report the load only.

Run ``python -m lentilhaven.bench.datagram_bytes``.  The content is made up from a fixed
seed: 99 engines, of which every one has requests and an unread prompt in the sum of all
gateways and each 9th in the report of one; one service of engines and a plain one, each
with 3 priorities.
"""

import time
from collections.abc import Callable
from functools import partial
from random import Random

import attrs

from lentilhaven.peering.load_sums import LoadSums
from lentilhaven.peering.messages import (
    PeerMessage,
    Scope,
    decode_message,
    encode_message,
)
from lentilhaven.peering.queue_state import QueueState, heaviest

#: Seed of the content.
SEED = 1

ENGINES = 99
SERVICES = ("generate", "bookings")
PRIORITIES = 3

#: Numbers of gateways and of workspaces that are measured.
GATEWAYS = (1, 11, 22, 44, 88)
WORKSPACES = (0, 1, 2, 4, 8, 24)

#: Number of times that a duration is measured; the shortest counts.
REPEATS = 15


def make_report(random: Random, number: int, workspaces: int) -> PeerMessage:
    """Return the report of one gateway for callers of some workspaces."""
    engines = [f"i-{index:010x}" for index in range(number % 9, ENGINES, 9)]
    queues = {service: make_queue(random, workspaces) for service in SERVICES}
    return PeerMessage(
        f"front-{number}",
        "5c1e91bd0a12",
        f"10.2.{number % 3}.{number}:7000",
        4321,
        loads={it: (1, float(random.randrange(9000))) for it in engines},
        attempts={service: 1.5 for service in SERVICES},
        queues=queues,
        unread={it: float(random.randrange(16000)) for it in engines},
    )


def make_queue(random: Random, workspaces: int) -> QueueState:
    """Return the state of a queue with requests of all priorities."""
    rates = {
        (f"workspace-{number}", number % PRIORITIES): random.uniform(1.0, 900.0)
        for number in range(workspaces)
    }
    return QueueState(
        {
            key: (random.randrange(1, 4), random.uniform(1, 3000))
            for key in range(PRIORITIES)
        },
        {key: random.uniform(1.0, 2000.0) for key in range(PRIORITIES)},
        heaviest(rates),
    )


def make_sum(gateways: int, workspaces: int) -> PeerMessage:
    """Return the sum over some gateways, in the form in which leaders send it."""
    random = Random(SEED)
    reports = [make_report(random, number, workspaces) for number in range(gateways)]
    if gateways == 1:
        return reports[0]
    sums = LoadSums()
    for report in reports:
        received = decode_message(encode_message(report))
        if received is not None:
            sums.add(received)
    return attrs.evolve(
        reports[0],
        scope=Scope.FLEET,
        gateways=gateways,
        loads={it: (sums.requests[it], sums.token_layers[it]) for it in sums.requests},
        attempts=dict(sums.attempts),
        queues=sums.queues.states(),
        unread=sums.queues.unread,
    )


def shortest(run: Callable[[], object]) -> float:
    """Return the shortest duration of a call, in milliseconds."""
    durations = []
    for _ in range(REPEATS):
        began = time.perf_counter()
        run()
        durations.append(time.perf_counter() - began)
    return min(durations) * 1000


def main() -> None:
    """Print the bytes and durations of each form of datagram."""
    print("gateways workspaces bytes without queues unread encode_ms decode_ms")
    for gateways in GATEWAYS:
        for workspaces in WORKSPACES:
            message = make_sum(gateways, workspaces)
            data = encode_message(message)
            plain = encode_message(attrs.evolve(message, queues={}, unread={}))
            queues = encode_message(attrs.evolve(message, unread={}))
            unread = encode_message(attrs.evolve(message, queues={}))
            print(
                f"{gateways:8} {workspaces:10} {len(data):5} {len(plain):7} "
                f"{len(queues) - len(plain):6} {len(unread) - len(plain):6} "
                f"{shortest(partial(encode_message, message)):9.3f} "
                f"{shortest(partial(decode_message, data)):9.3f}"
            )


if __name__ == "__main__":
    main()
