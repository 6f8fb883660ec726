"""The soak itself: rounds of faults, of quiet and of planned work."""

import asyncio
import tempfile
import time
from pathlib import Path

import aiohttp

from lentilhaven.bench.figure import at_least, at_most, observed
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.bench.soak.soak_callers import PATIENCE, SoakCallers
from lentilhaven.bench.soak.soak_checks import Findings, check_attempts, check_calm
from lentilhaven.bench.soak.soak_faults import inflict_faults
from lentilhaven.bench.soak.soak_tables import CONFIG_APPLY, DRAIN_TIMEOUT
from lentilhaven.bench.soak.soak_world import SoakWorld, open_world
from lentilhaven.core.logs import get_logger
from lentilhaven.core.tasks import running_tasks

#: Rounds if neither a size nor a time is given.
DEFAULT_ROUNDS = 1

#: Gateways of a soak, and callers of each.
GATEWAYS, CALLERS = 5, 3

#: Seconds of faults in a round, and of quiet after them: entries of the store, a
#: lost lease and suspicions settle, and what was under way ends.
FAULT_TIME, QUIET_TIME = 6.0, 8.0

#: Share of the requests after the quiet that must be served.
LEAST_SERVED = 0.9

log = get_logger("soak")


def run_soak(options: ScenarioOptions) -> Report:
    """
    Run a soak.

    Parameters
    ----------
    options : ScenarioOptions
        Seed, number of rounds, and minutes after which no round begins.
    """
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{options.seed}-"))
    findings = Findings()
    served, rounds, count = asyncio.run(soak(options, folder, findings))
    for text in findings.texts:
        print(f"broken: {text}")
    if findings.texts:
        print(f"logs of the gateways: {folder}")
    figures = {
        "broken promises": at_most(len(findings.texts), 0, "findings"),
        "served in calm": at_least(served, LEAST_SERVED, "ratio"),
        "rounds": observed(rounds, "rounds"),
        "requests": observed(count, "requests"),
    }
    return Report("soak", options.seed, figures)


async def soak(
    options: ScenarioOptions, folder: Path, findings: Findings
) -> tuple[float, int, int]:
    """Return the share served in calm, the rounds and the requests."""
    end = time.monotonic() + 60.0 * options.minutes
    most = options.size or (10**6 if options.minutes else DEFAULT_ROUNDS)
    rounds = served = asked = 0
    async with open_world(options.seed, GATEWAYS, folder) as world:
        addresses = [it.decoded.callers for it in world.gateways]
        callers = SoakCallers(world.random, addresses)
        calls = [
            callers.call_for_ever(number)
            for number in range(GATEWAYS)
            for _ in range(CALLERS)
        ]
        async with running_tasks(*calls):
            while rounds < most and (not options.minutes or time.monotonic() < end):
                good, all_of_them = await run_round(world, callers, findings)
                served, asked = served + good, asked + all_of_them
                rounds += 1
        check_attempts(world, callers.attempts, findings)
        for gateway in world.gateways:
            for code in gateway.failed_exits:
                findings.add("exit", f"{gateway.name} ended with {code}")
        return served / max(1, asked), rounds, len(callers.attempts)


async def run_round(
    world: SoakWorld, callers: SoakCallers, findings: Findings
) -> tuple[int, int]:
    """Run a round; return how many requests were served in calm, and how many sent."""
    faults = await inflict_faults(world, FAULT_TIME)
    log.info("faults are over", faults=faults)
    await asyncio.gather(*(it.wait_until_ready() for it in world.gateways))
    await asyncio.sleep(QUIET_TIME)
    first = len(callers.attempts)
    await change_manifest(world, callers, findings)
    await drain_replica(world, findings)
    await restart_in_turn(world)
    last = len(callers.attempts)
    await asyncio.sleep(PATIENCE)
    calm = [it for it in callers.attempts[first:last] if it.reached]
    check_calm(world, calm, findings)
    return sum(it.status == 200 and it.complete for it in calm), len(calm)


async def change_manifest(
    world: SoakWorld, callers: SoakCallers, findings: Findings
) -> None:
    """Edit the manifest and look whether it is in force everywhere in time."""
    old = world.version - 1
    world.edit_manifest()
    await asyncio.sleep(CONFIG_APPLY)
    async with aiohttp.ClientSession() as session:
        for number, gateway in enumerate(world.gateways):
            for version, expected in ((world.version, 200), (old, 404)):
                path = f"/v{version}/x"
                attempt = callers.make_attempt("probe", number, path)
                await callers.perform(session, attempt)
                if (attempt.status == 404) != (expected == 404):
                    seen = f"{gateway.name} answers {attempt.status} on {path}"
                    findings.add("manifest in force", seen)


async def drain_replica(world: SoakWorld, findings: Findings) -> None:
    """Let a replica announce that it leaves; look whether it gets new work."""
    names = sorted(it for it in world.fleet.replicas if it.startswith("i-stock"))
    replica = world.fleet.replicas[world.random.choice(names)]
    replica.draining = True
    world.fleet.register(replica)
    await asyncio.sleep(DRAIN_TIMEOUT)
    before = len(replica.runs)
    await asyncio.sleep(1.0)
    if len(replica.runs) > before:
        late = len(replica.runs) - before
        findings.add("leaving replica", f"{replica.id} got {late} requests")
    world.store.delete("servers", replica.id)
    await asyncio.sleep(0.5)
    replica.draining = False
    replica.born += 1000
    world.fleet.register(replica)


async def restart_in_turn(world: SoakWorld) -> None:
    """End two gateways in the planned way, one after the other."""
    for gateway in world.random.sample(world.gateways, 2):
        await gateway.stop()
        await gateway.start()
        await gateway.wait_until_ready()
