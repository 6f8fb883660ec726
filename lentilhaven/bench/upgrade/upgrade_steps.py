"""Steps of an upgrade or a rollback."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from lentilhaven.bench.soak.gateway_process import GatewayProcess
from lentilhaven.bench.soak.gateway_program import GatewayProgram
from lentilhaven.bench.soak.soak_environment import open_replicas, replica_address
from lentilhaven.bench.soak.soak_leaving import leave_and_return
from lentilhaven.bench.upgrade.upgrade_run import UpgradeRun
from lentilhaven.platform.store_kinds import LEASES
from lentilhaven.standins.platform import FakeReplica
from lentilhaven.standins.platform.fake_replica import ReplicaFaults

Step = Callable[[UpgradeRun], Coroutine[Any, Any, None]]

#: Seconds for which the requests of a replica count as recent.
RECENT_TIME = 2.0

#: Seconds after which the platform starts a process that was killed.
RESTART_DELAY = 0.5

#: Seconds within which engines must have layers, also if the lease first has to pass to
#: another gateway.
PLACEMENT_TIMEOUT = 12.0

#: Seconds between two looks at the engines.
POLL_INTERVAL = 0.1

#: Faults of the replicas that break answers off, by service, and seconds for which they
#: do.  A gateway must not send again what may have run, and resumes streams in order.
BREAKING = {
    "stock": ReplicaFaults(lose_answer=True),
    "gen": ReplicaFaults(stop_after=3),
}
BREAKING_TIME = 1.5

#: Minimum and maximum number of edits in quick succession, and seconds between them.
MIN_EDITS, MAX_EDITS, EDIT_INTERVAL = 1, 3, 0.2


async def replace_gateways(run: UpgradeRun, program: GatewayProgram) -> None:
    """
    Replace all gateways by another version, one after the other.

    Beside each replacement one other thing happens; between two of them, the holder of
    the placement lease is killed while replicas break answers off.  Once all are
    replaced, replicas are added.

    Parameters
    ----------
    run : UpgradeRun
        Gateways and replicas.
    program : GatewayProgram
        Version that the gateways run afterwards.
    """
    random = run.environment.random
    gateways = random.sample(run.environment.gateways, len(run.environment.gateways))
    steps: list[Step] = [
        edit_manifests,
        edit_manifests,
        let_replica_leave,
        add_replicas,
    ]
    random.shuffle(steps)
    kill_at = random.randrange(1, len(gateways))
    for number, gateway in enumerate(gateways):
        if number == kill_at:
            async with asyncio.TaskGroup() as group:
                group.create_task(kill_lease_holder(run))
                for service, faults in BREAKING.items():
                    group.create_task(harm_replica(run, service, faults))
        async with asyncio.TaskGroup() as group:
            group.create_task(replace_gateway(run, gateway, program))
            group.create_task(steps[number % len(steps)](run))
    # One of the new version has to place the layers now.
    await add_replicas(run)


async def replace_gateway(
    run: UpgradeRun, gateway: GatewayProcess, program: GatewayProgram
) -> None:
    """Stop a gateway and start a version of it at the same address."""
    run.check_running(gateway)
    if not await gateway.stop():
        detail = f"{gateway.name} ({gateway.program.name}) did not end in time"
        run.findings.add("stop", detail)
    gateway.program = program
    await start_gateway(run, gateway)
    run.replacements += 1


async def start_gateway(run: UpgradeRun, gateway: GatewayProcess) -> None:
    """Start a gateway and wait until it is ready."""
    await gateway.start()
    if not await gateway.wait_until_ready():
        detail = f"{gateway.name} ({gateway.program.name}) did not get ready"
        run.findings.add("start", detail)


async def kill_lease_holder(run: UpgradeRun) -> None:
    """Kill the gateway that places layers, and start the same version of it again."""
    gateway = find_lease_holder(run)
    run.check_running(gateway)
    await gateway.kill()
    await asyncio.sleep(RESTART_DELAY)
    await start_gateway(run, gateway)


async def harm_replica(run: UpgradeRun, service: str, faults: ReplicaFaults) -> None:
    """Inject faults into the replica of a service that gets most requests."""
    replica = most_used(run, service)
    with run.environment.soundness.harmed(replica.id):
        replica.faults = attrs.evolve(faults)
        await asyncio.sleep(BREAKING_TIME)
        replica.faults = ReplicaFaults()


def most_used(run: UpgradeRun, service: str) -> FakeReplica:
    """Return the replica of a service that has got most requests lately."""
    since = asyncio.get_running_loop().time() - RECENT_TIME
    replicas = [
        it for it in run.environment.fleet.replicas.values() if it.service == service
    ]
    return max(replicas, key=lambda it: sum(at >= since for at in it.arrivals))


def find_lease_holder(run: UpgradeRun) -> GatewayProcess:
    """Return the holder of the placement lease, or any gateway if nobody holds it."""
    entry = run.environment.store.kinds.get(LEASES, {}).get("placement")
    holder = entry.value.get("vm") if entry is not None else None
    for gateway in run.environment.gateways:
        if gateway.name == holder:
            return gateway
    return run.environment.random.choice(run.environment.gateways)


async def edit_manifests(run: UpgradeRun) -> None:
    """Write some manifests in quick succession."""
    for _ in range(run.environment.random.randint(MIN_EDITS, MAX_EDITS)):
        run.edit_manifest()
        await asyncio.sleep(EDIT_INTERVAL)


async def let_replica_leave(run: UpgradeRun) -> None:
    """Let a replica leave; each request that it gets too late is a finding."""
    replica = most_used(run, "stock")
    late_runs = await leave_and_return(run.environment, replica)
    attempts = {it.id: it for it in run.environment.callers.attempts}
    for it in late_runs:
        program = run.program_of(attempts[it.request_id]).name
        detail = f"{replica.id} got {it.request_id} from a gateway ({program})"
        run.findings.add("leaving replica", detail)


async def add_replicas(run: UpgradeRun) -> None:
    """Add a plain replica and an engine; check that the engine gets layers."""
    number = len(run.environment.replica_proxies)
    plain = FakeReplica(f"i-stock-{number}", "stock", replica_address(number))
    engine = FakeReplica(
        f"i-gen-{number}",
        "gen",
        replica_address(number + 1),
        card="small",
        load_time=0.3,
    )
    await open_replicas(run.stack, run.environment, [plain, engine])
    run.joined_at |= dict.fromkeys((plain.id, engine.id), time.time())
    await check_layers(run)


async def check_layers(run: UpgradeRun) -> None:
    """Check that all engines load layers in time."""
    engines = [it for it in run.environment.fleet.replicas.values() if it.card]
    await wait_for(lambda: all(it.span is not None for it in engines))
    for engine in engines:
        if engine.span is None:
            run.findings.add("layers placed", f"{engine.id} holds none")


async def wait_for(condition: Callable[[], bool]) -> bool:
    """Wait for a condition; return whether it held within `PLACEMENT_TIMEOUT`."""
    deadline = asyncio.get_running_loop().time() + PLACEMENT_TIMEOUT
    while not condition():
        if asyncio.get_running_loop().time() >= deadline:
            return False
        await asyncio.sleep(POLL_INTERVAL)
    return True
