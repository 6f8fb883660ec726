"""Faults that are drawn from the seed; several may be active at the same time."""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from lentilhaven.bench.soak.loopback_proxy import LinkFault
from lentilhaven.bench.soak.soak_crashing_requests import repeat_crashing_request
from lentilhaven.bench.soak.soak_environment import SoakEnvironment
from lentilhaven.bench.soak.soak_limits import name_limit
from lentilhaven.bench.soak.soak_replica_faults import (
    announce_leaving,
    crash_engines,
    crash_replica,
    harm_replica,
    harm_replica_link,
    reset_replica_link,
    restart_replica,
    silence_replicas,
)
from lentilhaven.standins.platform.cut_links import Cut
from lentilhaven.standins.platform.fake_store import StoreState
from lentilhaven.standins.platform.sample_files import set_retry_slack

Fault = Callable[[SoakEnvironment, float], Coroutine[Any, Any, None]]

#: Minimum and maximum duration of a fault, in seconds.
MIN_DURATION, MAX_DURATION = 0.2, 3.0

#: Maximum number of gateways that are cut off from replicas at the same time, of five.
MAX_CUT_OFF = 3

#: Seconds after a cut until the gateways use their own links again.
CUT_SLACK = 5.0

#: Maximum time for which the store is away before it is restored, in seconds.
MAX_RESTORE_TIME = 0.5

#: Maximum time after a restore at which an object is written again, in seconds.
MAX_REWRITE_TIME = 1.5


async def pause_gateway(environment: SoakEnvironment, seconds: float) -> None:
    """Suspend a gateway by SIGSTOP and resume it later."""
    gateway = environment.random.choice(environment.gateways)
    gateway.send_signal(signal.SIGSTOP)
    began = asyncio.get_running_loop().time()
    await asyncio.sleep(seconds)
    gateway.send_signal(signal.SIGCONT)
    environment.disturbances.append((began, asyncio.get_running_loop().time()))


async def kill_gateway(environment: SoakEnvironment, seconds: float) -> None:
    """Kill a gateway and start it again."""
    gateway = environment.random.choice(environment.gateways)
    await gateway.kill()
    await asyncio.sleep(seconds / 2)
    await gateway.start()


async def kill_all(environment: SoakEnvironment, seconds: float) -> None:
    """Kill all gateways at once and start them again."""
    await asyncio.gather(*(it.kill() for it in environment.gateways))
    await asyncio.sleep(seconds / 2)
    for gateway in environment.gateways:
        await gateway.start()


async def restart_gateway(environment: SoakEnvironment, seconds: float) -> None:
    """Stop a gateway gracefully and start it again."""
    gateway = environment.random.choice(environment.gateways)
    if gateway.running:
        await gateway.stop()
    await gateway.start()


async def reload_gateway(environment: SoakEnvironment, seconds: float) -> None:
    """Change the retry budget in the settings file of a gateway and let it reload."""
    gateway = environment.random.choice(environment.gateways)
    set_retry_slack(gateway.settings, environment.random.randint(50, 300))
    gateway.write_settings()
    # Until the process ignores the signal, its default action ends it.
    async with gateway.start_lock:
        gateway.send_signal(signal.SIGHUP)


async def harm_store_link(environment: SoakEnvironment, seconds: float) -> None:
    """Inject a fault into the connections of one gateway to the store."""
    proxy = environment.random.choice(environment.store_proxies)
    proxy.set_fault(
        environment.random.choice([it for it in LinkFault if it is not LinkFault.NONE])
    )
    await asyncio.sleep(seconds)
    proxy.set_fault(LinkFault.NONE)
    proxy.reset()


async def reset_store_link(environment: SoakEnvironment, seconds: float) -> None:
    """Reset all connections of one gateway to the store."""
    environment.random.choice(environment.store_proxies).reset()


async def cut_gateways_off(environment: SoakEnvironment, seconds: float) -> None:
    """Cut some gateways off from all replicas, or from those of one service."""
    random = environment.random
    replicas = list(environment.fleet.replicas.values())
    service = random.choice(["", *sorted({it.service for it in replicas})])
    hosts = [it.host for it in replicas if service in ("", it.service)]
    cut = random.choice(list(Cut))
    gateways = random.sample(environment.gateways, random.randint(1, MAX_CUT_OFF))
    began = asyncio.get_running_loop().time()
    for gateway in gateways:
        gateway.write_cut(cut, hosts)
    await asyncio.sleep(seconds)
    for gateway in gateways:
        gateway.write_cut(None, [])
        ended = asyncio.get_running_loop().time()
        gateway.cut_spans.append((began, ended + CUT_SLACK))


async def harm_store(environment: SoakEnvironment, seconds: float) -> None:
    """Make the store busy or silent, or make it refuse one gateway."""
    state = environment.random.choice([*StoreState])
    name = environment.random.choice(environment.gateways).name
    if state is StoreState.UP:
        environment.store.refused_callers.add(name)
    environment.store.state = state
    await asyncio.sleep(seconds)
    environment.store.state = StoreState.UP
    environment.store.refused_callers.discard(name)


async def confuse_store(environment: SoakEnvironment, seconds: float) -> None:
    """Make the store compact its history, lose write responses or ignore watches."""
    store = environment.store
    kind = environment.random.choice(("compact", "lose", "deaf"))
    if kind == "compact":
        store.compact()
    elif kind == "lose":
        store.unanswered_writes += 2
    else:
        store.unresponsive_watches = True
        await asyncio.sleep(seconds)
        store.unresponsive_watches = False


async def restore_store(environment: SoakEnvironment, seconds: float) -> None:
    """
    Restore the store from a copy that is some time old.

    The operator and the replicas then write their objects again, each at its own time.
    """
    store, random = environment.store, environment.random
    earlier = store.make_copy()
    await asyncio.sleep(seconds)
    store.state = StoreState.BUSY
    await asyncio.sleep(random.uniform(0.0, MAX_RESTORE_TIME))
    store.restore(earlier)
    store.state = StoreState.UP
    replicas = list(environment.fleet.replicas.values())
    await asyncio.gather(
        rewrite(random.uniform(0.0, MAX_REWRITE_TIME), environment.rewrite_manifest),
        *(
            rewrite(
                random.uniform(0.0, MAX_REWRITE_TIME),
                partial(environment.fleet.register, replica),
            )
            for replica in replicas
        ),
    )


async def rewrite(delay: float, write: Callable[[], None]) -> None:
    """Write an object again after a delay, in seconds."""
    await asyncio.sleep(delay)
    write()


async def edit_manifest(environment: SoakEnvironment, seconds: float) -> None:
    """Write new manifests in quick succession, with other limits and services."""
    for _ in range(environment.random.randint(1, 8)):
        environment.edit_manifest()
        await asyncio.sleep(environment.random.uniform(0.05, 0.3))


#: Faults to draw from; one that is listed several times is drawn more often.
FAULTS: tuple[Fault, ...] = (
    pause_gateway,
    kill_gateway,
    restart_gateway,
    reload_gateway,
    harm_store_link,
    harm_replica_link,
    reset_store_link,
    reset_replica_link,
    harm_store,
    cut_gateways_off,
    cut_gateways_off,
    name_limit,
    confuse_store,
    harm_replica,
    harm_replica,
    harm_replica,
    harm_replica,
    restart_replica,
    announce_leaving,
    silence_replicas,
    silence_replicas,
    crash_replica,
    crash_replica,
    crash_engines,
    repeat_crashing_request,
    restore_store,
    edit_manifest,
    edit_manifest,
    kill_all,
)


async def inject_faults(environment: SoakEnvironment, seconds: float) -> list[str]:
    """
    Inject random faults, and return their names when all of them are over.

    Then resume paused gateways and start those that are not running.

    Parameters
    ----------
    environment : SoakEnvironment
        Environment into which the faults are injected.
    seconds : float
        Duration of the period in which faults begin, in seconds.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + seconds
    names = []
    async with asyncio.TaskGroup() as group:
        while loop.time() < deadline:
            fault = environment.random.choice(FAULTS)
            duration = environment.random.uniform(MIN_DURATION, MAX_DURATION)
            names.append(fault.__name__)
            group.create_task(fault(environment, duration))
            await asyncio.sleep(environment.random.expovariate(2.0))
    for gateway in environment.gateways:
        gateway.send_signal(signal.SIGCONT)
        await gateway.start()
    return names
