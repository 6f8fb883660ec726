"""The scenario ``upgrade``: gateways replaced by another version and back."""

import asyncio
import signal
import tempfile
from collections.abc import Coroutine
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from lentilhaven.bench.figure import Figure, at_least, at_most, observed
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.bench.soak.gateway_program import PRESENT_FOLDER, GatewayProgram
from lentilhaven.bench.soak.soak_callers import MAX_IDLE
from lentilhaven.bench.soak.soak_environment import SoakEnvironment, open_environment
from lentilhaven.bench.soak.soak_memory import check_memory, watch_memory
from lentilhaven.bench.upgrade.manifest_probes import probe_manifests
from lentilhaven.bench.upgrade.older_checkout import extract_commit
from lentilhaven.bench.upgrade.upgrade_callers import send_requests
from lentilhaven.bench.upgrade.upgrade_checks import (
    UpgradeFindings,
    check_logs,
    check_manifests,
    check_requests,
)
from lentilhaven.bench.upgrade.upgrade_run import UpgradeRun
from lentilhaven.bench.upgrade.upgrade_steps import check_layers, replace_gateways
from lentilhaven.core.tasks import running_tasks

#: Commit whose gateways are replaced if none is named.
DEFAULT_COMMIT = "6e24445fe19bfe591a49935fda1027b964595dca"

#: Number of upgrades with a rollback if no size is given.
DEFAULT_ROUNDS = 1

#: Module that runs a gateway, as the deploy file of either version names it.
GATEWAY_MODULE = "lentilhaven.gateway"

#: Number of gateways, and of callers per gateway that keep their connections and that
#: open a new one for each request.
GATEWAY_COUNT, KEEPING_CALLERS, OPENING_CALLERS = 4, 2, 2

#: Seconds under load before the first replacement and after the last one.
CALM_TIME = 2.0

#: Minimum fraction of the requests that must be served.
MIN_SERVED_FRACTION = 0.9

#: Maximum number of lines that are printed of the requests that older gateways lost.
MAX_LINES = 10


def run_upgrade(options: ScenarioOptions) -> Report:
    """
    Replace gateways of an older commit by this code and back.

    If guarantees are violated, print them and the folder of the logs.  Without the
    older commit the report fails.

    Parameters
    ----------
    options : ScenarioOptions
        Seed, number of rounds, and the older commit.
    """
    commit = options.older or DEFAULT_COMMIT
    with tempfile.TemporaryDirectory(prefix="older-") as name:
        checkout = extract_commit(commit, PRESENT_FOLDER, Path(name))
        if checkout.is_error():
            print(f"upgrade: {checkout.error}")
            figures = {"older checkout": at_least(0, 1, "checkouts")}
            return Report("upgrade", options.seed, figures)
        older = GatewayProgram("older", GATEWAY_MODULE, checkout.ok)
        folder = Path(tempfile.mkdtemp(prefix=f"upgrade-{options.seed}-"))
        found = UpgradeFindings()
        figures = asyncio.run(measure(options, older, folder, found))
    print_findings(found, folder)
    broken = at_most(len(found.broken.texts), 0, "findings")
    return Report("upgrade", options.seed, {"broken promises": broken} | figures)


def print_findings(found: UpgradeFindings, folder: Path) -> None:
    """Print what was violated, and the folder of the logs."""
    for text in found.broken.texts:
        print(f"broken: {text}")
    for text in found.older_stops.texts[:MAX_LINES]:
        print(f"lost by the older code at its own stop: {text}")
    if found.broken.texts or found.older_stops.texts:
        print(f"logs of the gateways: {folder}")


async def measure(
    options: ScenarioOptions,
    older: GatewayProgram,
    folder: Path,
    found: UpgradeFindings,
) -> dict[str, Figure]:
    """Run upgrades and rollbacks; return figures, and add violations to `found`."""
    # An interrupted run ends its processes.
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    present = GatewayProgram("present", GATEWAY_MODULE, PRESENT_FOLDER)
    rounds = options.size or DEFAULT_ROUNDS
    async with AsyncExitStack() as stack:
        environment = await stack.enter_async_context(
            open_environment(options.seed, GATEWAY_COUNT, folder, older)
        )
        run = UpgradeRun(environment, older, present, stack, found.broken)
        run.written_at[environment.version] = asyncio.get_running_loop().time()
        await check_layers(run)
        async with running_tasks(watch_memory(environment)):
            await run_rounds(run, rounds)
        check_run(run, found)
        return make_figures(run, found, rounds)


async def run_rounds(run: UpgradeRun, rounds: int) -> None:
    """Run upgrades and rollbacks beside the callers."""
    stopping = asyncio.Event()
    async with asyncio.TaskGroup() as group:
        for caller in make_callers(run.environment, stopping):
            group.create_task(caller)
        await asyncio.sleep(CALM_TIME)
        for _ in range(rounds):
            await replace_gateways(run, run.present)
            await replace_gateways(run, run.older)
        await asyncio.sleep(CALM_TIME)
        stopping.set()


def make_callers(
    environment: SoakEnvironment, stopping: asyncio.Event
) -> list[Coroutine[Any, Any, None]]:
    """Return the coroutines of all callers; they end after an event."""
    gateways = range(len(environment.gateways))
    requests = [
        send_requests(environment.callers, number, max_idle, stopping)
        for number in gateways
        for max_idle in [MAX_IDLE] * KEEPING_CALLERS + [0.0] * OPENING_CALLERS
    ]
    probes = [probe_manifests(environment, number, stopping) for number in gateways]
    return requests + probes


def check_run(run: UpgradeRun, found: UpgradeFindings) -> None:
    """Check what callers, replicas and logs show."""
    check_requests(run, found)
    check_manifests(run, found.broken)
    check_logs(run, found.broken)
    check_memory(run.environment, found.broken)
    for gateway in run.environment.gateways:
        run.check_running(gateway)
        for code in gateway.failed_exits:
            found.broken.add("exit", f"{gateway.name} exited with code {code}")


def make_figures(
    run: UpgradeRun, found: UpgradeFindings, rounds: int
) -> dict[str, Figure]:
    """Return what was measured."""
    attempts = run.environment.callers.attempts
    sent = [it for it in attempts if it.reached and it.ended and it.kind != "probe"]
    served = sum(it.served for it in sent) / max(1, len(sent))
    by_present = sum(run.program_of(it) == run.present for it in sent)
    kills = sum(len(it.kill_spans) for it in run.environment.gateways)
    return {
        "served": at_least(served, MIN_SERVED_FRACTION, "ratio"),
        "rounds": observed(rounds, "rounds"),
        "replacements": observed(run.replacements, "gateways"),
        "kills": observed(kills, "gateways"),
        "requests": observed(len(sent), "requests"),
        "requests to present gateways": observed(by_present, "requests"),
        "probes": observed(sum(it.kind == "probe" for it in attempts), "requests"),
        "met the close of a kept connection": observed(found.crossings, "requests"),
        "lost at the stop of an older gateway": observed(
            len(found.older_stops.texts), "requests"
        ),
    }
