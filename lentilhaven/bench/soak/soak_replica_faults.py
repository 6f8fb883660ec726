"""Faults of replicas and of the links to them."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import attrs

from lentilhaven.bench.soak.loopback_proxy import LinkFault
from lentilhaven.bench.soak.soak_environment import SoakEnvironment
from lentilhaven.bench.soak.soak_soundness import MAX_SILENCE
from lentilhaven.standins.platform.fake_replica import FakeReplica, ReplicaFaults

#: Maximum number of replicas that are silent at the same time.
MAX_SILENT = 3

#: Seconds after which a crashed replica is back.
CRASH_TIME = 2.0

#: Faults of a replica of a plain service, with their weights.  A lost response has the
#: largest weight because it tests the handling of retries most.
PLAIN_REPLICA_FAULTS = (
    (ReplicaFaults(lose_answer=True), 4),
    (ReplicaFaults(dark=True), 1),
    (ReplicaFaults(shed=True), 1),
    (ReplicaFaults(shed=True, pause="1"), 1),
    (ReplicaFaults(truncate=True), 1),
    (ReplicaFaults(extra=True), 1),
    (ReplicaFaults(unframed=True), 1),
    (ReplicaFaults(early=True), 1),
    (ReplicaFaults(fail=True), 1),
    (ReplicaFaults(delay=0.3), 1),
    (ReplicaFaults(truncate=True, unframed=True), 1),
    (ReplicaFaults(endless="head"), 1),
    (ReplicaFaults(endless="body"), 1),
)

#: Faults of an engine, with their weights.
ENGINE_FAULTS = (
    (ReplicaFaults(dark=True), 2),
    (ReplicaFaults(shed=True), 1),
    (ReplicaFaults(shed=True, pause="0.5"), 1),
    (ReplicaFaults(stop_after=3), 1),
    (ReplicaFaults(stop_after=3, ends_inside=True), 1),
    (ReplicaFaults(unframed=True), 1),
    (ReplicaFaults(unframed=True, stop_after=3), 1),
    (ReplicaFaults(unframed=True, stop_after=3, ends_inside=True), 1),
    (ReplicaFaults(endless="head"), 1),
    (ReplicaFaults(endless="body"), 1),
    (ReplicaFaults(endless="event"), 1),
    (ReplicaFaults(endless="event", unframed=True), 1),
    (ReplicaFaults(delay=0.3), 1),
)


async def harm_replica(environment: SoakEnvironment, seconds: float) -> None:
    """Inject a fault into a replica for some time."""
    replica = pick_replica(environment)
    faults = ENGINE_FAULTS if replica.card else PLAIN_REPLICA_FAULTS
    weights = [weight for _, weight in faults]
    drawn = environment.random.choices([fault for fault, _ in faults], weights)[0]
    with environment.soundness.harmed(replica.id):
        replica.faults = attrs.evolve(drawn)
        await asyncio.sleep(seconds)
        replica.faults = ReplicaFaults()


async def harm_replica_link(environment: SoakEnvironment, seconds: float) -> None:
    """Inject a fault into the connections to one replica."""
    replica = environment.random.choice(sorted(environment.replica_proxies))
    proxy = environment.replica_proxies[replica]
    with environment.soundness.harmed(replica):
        proxy.set_fault(
            environment.random.choice(
                [it for it in LinkFault if it is not LinkFault.NONE]
            )
        )
        await asyncio.sleep(seconds)
        proxy.set_fault(LinkFault.NONE)
        if environment.random.random() < 0.5:
            proxy.reset()


async def reset_replica_link(environment: SoakEnvironment, seconds: float) -> None:
    """Reset all connections to one replica."""
    replica = environment.random.choice(sorted(environment.replica_proxies))
    with environment.soundness.harmed(replica):
        environment.replica_proxies[replica].reset()


async def restart_replica(environment: SoakEnvironment, seconds: float) -> None:
    """Crash a replica and restart it with the same id."""
    replica = pick_replica(environment)
    with environment.soundness.harmed(replica.id):
        replica.faults.dark = True
        environment.replica_proxies[replica.id].reset()
        await asyncio.sleep(seconds)
        replica.restart()
        environment.fleet.register(replica)


async def crash_replica(environment: SoakEnvironment, seconds: float) -> None:
    """Crash a replica as if its process ended: nothing listens until it is back."""
    environment.fleet.begin_crash(pick_replica(environment))


async def announce_leaving(environment: SoakEnvironment, seconds: float) -> None:
    """Let a replica say in its answers that it leaves, and restart it later."""
    replica = pick_replica(environment)
    with environment.soundness.harmed(replica.id):
        replica.announces_leaving = True
        await asyncio.sleep(seconds)
        replica.restart()
        environment.fleet.register(replica)


async def silence_replicas(environment: SoakEnvironment, seconds: float) -> None:
    """
    Let some replicas send nothing for a while and then go on.

    A replica counts as sound meanwhile, so that no two silences may add up.
    """
    if environment.soundness.is_silent:
        return
    replicas = [environment.fleet.replicas[it] for it in environment.replica_proxies]
    count = environment.random.randint(1, MAX_SILENT)
    until = asyncio.get_running_loop().time() + min(seconds, MAX_SILENCE)
    with environment.soundness.silence():
        for replica in environment.random.sample(replicas, count):
            replica.faults.silent_until = until
        # A request that is held up by one silence must not meet another one.
        await asyncio.sleep(2 * MAX_SILENCE)


async def crash_engines(environment: SoakEnvironment, seconds: float) -> None:
    """Let engines crash for a while on a part of the prompt that some callers send."""
    if not environment.fleet.crashing_part:
        with crashing_part(environment):
            await asyncio.sleep(seconds)


@contextmanager
def crashing_part(environment: SoakEnvironment) -> Iterator[None]:
    """Let engines crash on a new part of the prompt, which some callers send."""
    fleet = environment.fleet
    part = f"{environment.random.getrandbits(32):08x}"
    fleet.crash_time = CRASH_TIME
    fleet.keeps_layers = environment.random.random() < 0.5
    fleet.crashing_part = environment.callers.crashing_part = part
    try:
        yield
    finally:
        fleet.crashing_part = environment.callers.crashing_part = ""


def pick_replica(environment: SoakEnvironment) -> FakeReplica:
    """Return a random replica, a plain one or an engine with equal probability."""
    wants_engine = environment.random.random() < 0.5
    names = sorted(
        name
        for name, it in environment.fleet.replicas.items()
        if bool(it.card) is wants_engine
    )
    return environment.fleet.replicas[environment.random.choice(names)]
