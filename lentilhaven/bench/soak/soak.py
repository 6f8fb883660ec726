"""Rounds of a soak: faults, recovery, planned operations, then harmful requests."""

import asyncio
import tempfile
import time
from pathlib import Path

from lentilhaven.bench.figure import Figure, at_least, at_most, observed
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.bench.soak.kept_connection import open_connection
from lentilhaven.bench.soak.soak_callers import CALLER_TIMEOUT, MAX_IDLE, SoakCallers
from lentilhaven.bench.soak.soak_checks import (
    Findings,
    check_attempts,
    check_fault_free,
    check_hot_requests,
)
from lentilhaven.bench.soak.soak_crashes import COUNTED_TIME, crash_on_part
from lentilhaven.bench.soak.soak_crashing_requests import crash_on_request
from lentilhaven.bench.soak.soak_environment import SoakEnvironment, open_environment
from lentilhaven.bench.soak.soak_faults import inject_faults
from lentilhaven.bench.soak.soak_leaving import leave_and_return
from lentilhaven.bench.soak.soak_limits import check_limits
from lentilhaven.bench.soak.soak_lost import check_lost
from lentilhaven.bench.soak.soak_memory import MEGABYTE, check_memory, watch_memory
from lentilhaven.bench.soak.soak_tables import CONFIG_APPLY
from lentilhaven.core.logs import get_logger
from lentilhaven.core.tasks import running_tasks

#: Number of rounds if neither a size nor a duration is given.
DEFAULT_ROUNDS = 1

#: Number of gateways, and of callers per gateway.
GATEWAY_COUNT, CALLERS_PER_GATEWAY = 5, 3

#: Seconds of a round during which faults begin, and seconds of recovery after them, in
#: which store entries, a lost lease and suspicions settle and requests in flight end.
FAULT_TIME, RECOVERY_TIME = 6.0, 8.0

#: Seconds between the crashes by a part of prompts and those by a request, in which the
#: engines load their layers again.
RELOAD_TIME = 5.0

#: Minimum fraction of the requests after the recovery that must be served.
MIN_SERVED_FRACTION = 0.9

log = get_logger("soak")


def run_soak(options: ScenarioOptions) -> Report:
    """
    Run a soak; if guarantees are violated, print them and the folder of the logs.

    Parameters
    ----------
    options : ScenarioOptions
        Seed, number of rounds, and minutes after which no new round starts.
    """
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{options.seed}-"))
    findings = Findings()
    figures = asyncio.run(run_rounds(options, folder, findings))
    for text in findings.texts:
        print(f"broken: {text}")
    if findings.texts:
        print(f"logs of the gateways: {folder}")
    figures = {"broken promises": at_most(len(findings.texts), 0, "findings")} | figures
    return Report("soak", options.seed, figures)


async def run_rounds(
    options: ScenarioOptions, folder: Path, findings: Findings
) -> dict[str, Figure]:
    """Run rounds; return what was measured, and add violations to `findings`."""
    deadline = time.monotonic() + 60.0 * options.minutes
    max_rounds = options.size or (10**6 if options.minutes else DEFAULT_ROUNDS)
    rounds = served = sent = crashing = 0
    async with open_environment(options.seed, GATEWAY_COUNT, folder) as environment:
        callers = environment.callers
        calls = [
            callers.send_requests(number, has_faulty_prompts=caller == 0)
            for number in range(GATEWAY_COUNT)
            for caller in range(CALLERS_PER_GATEWAY)
        ]
        async with running_tasks(*calls, watch_memory(environment)):
            while rounds < max_rounds and (
                not options.minutes or time.monotonic() < deadline
            ):
                round_served, round_sent = await run_round(
                    environment, callers, findings
                )
                served, sent = served + round_served, sent + round_sent
                crashing += await play_crashes(environment, findings)
                rounds += 1
        check_attempts(environment, callers.attempts, findings)
        check_lost(environment, callers.attempts, findings)
        check_limits(environment, findings)
        check_memory(environment, findings)
        for gateway in environment.gateways:
            for code in gateway.failed_exits:
                findings.add("exit", f"{gateway.name} exited with code {code}")
        peak = max(environment.peak_memory.values(), default=0) / MEGABYTE
        return {
            "served in calm": at_least(
                served / max(1, sent), MIN_SERVED_FRACTION, "ratio"
            ),
            "rounds": observed(rounds, "rounds"),
            "rounds with a crashing request": observed(crashing, "rounds"),
            "requests": observed(len(callers.attempts), "requests"),
            "ended without a response": observed(
                sum(it.closed for it in callers.attempts), "requests"
            ),
            "peak memory of a gateway": observed(peak, "MB"),
        }


async def run_round(
    environment: SoakEnvironment, callers: SoakCallers, findings: Findings
) -> tuple[int, int]:
    """Run a round; return the numbers of requests served and sent without faults."""
    faults = await inject_faults(environment, FAULT_TIME)
    log.info("faults are over", faults=faults)
    await asyncio.gather(*(it.wait_until_ready() for it in environment.gateways))
    await asyncio.sleep(RECOVERY_TIME)
    start = len(callers.attempts)
    await change_manifest(environment, callers, findings)
    await drain_replica(environment, findings)
    await rolling_restart(environment)
    stop = len(callers.attempts)
    await asyncio.sleep(CALLER_TIMEOUT)
    fault_free = [it for it in callers.attempts[start:stop] if it.reached]
    check_fault_free(environment, fault_free, findings)
    check_hot_requests(fault_free, findings)
    return sum(it.served for it in fault_free), len(fault_free)


async def play_crashes(environment: SoakEnvironment, findings: Findings) -> bool:
    """Let a part of prompts, then a request, crash replicas; see `crash_on_request`."""
    now = asyncio.get_running_loop().time()
    # The last of the counted requests have ended.
    before = (now - COUNTED_TIME - 1.0, now - 1.0)
    await crash_on_part(environment, before, findings)
    await asyncio.sleep(RELOAD_TIME)
    return await crash_on_request(environment, before, findings)


async def change_manifest(
    environment: SoakEnvironment, callers: SoakCallers, findings: Findings
) -> None:
    """Edit the manifest and check that every gateway applies it in time."""
    # The next manifest no longer contains the route of this version.
    replaced_version = environment.version - 1
    environment.edit_manifest()
    await asyncio.sleep(CONFIG_APPLY)
    for number, gateway in enumerate(environment.gateways):
        address = gateway.decoded_settings.callers
        async with open_connection(address, MAX_IDLE) as connection:
            for version, expected in (
                (environment.version, 200),
                (replaced_version, 404),
            ):
                path = f"/v{version}/x"
                attempt = callers.make_attempt("probe", number, path)
                await callers.send_request(connection, attempt)
                if (attempt.status == 404) != (expected == 404):
                    detail = f"{gateway.name} answers {attempt.status} on {path}"
                    findings.add("manifest in force", detail)


async def drain_replica(environment: SoakEnvironment, findings: Findings) -> None:
    """Let a replica announce that it leaves; check that it gets no new requests."""
    names = sorted(it for it in environment.fleet.replicas if it.startswith("i-stock"))
    replica = environment.fleet.replicas[environment.random.choice(names)]
    late_runs = await leave_and_return(environment, replica)
    if late_runs:
        detail = f"{replica.id} got {len(late_runs)} requests"
        findings.add("leaving replica", detail)


async def rolling_restart(environment: SoakEnvironment) -> None:
    """Restart two gateways gracefully, one after the other."""
    for gateway in environment.random.sample(environment.gateways, 2):
        await gateway.stop()
        await gateway.start()
        await gateway.wait_until_ready()
