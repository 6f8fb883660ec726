"""A run of misbehaving clients against one process."""

import asyncio
import tempfile
from pathlib import Path

import attrs

from lentilhaven.bench.crowd.crowd_client import misbehave
from lentilhaven.bench.crowd.misbehaviour import misbehaviours
from lentilhaven.bench.crowd.process_usage import ProcessUsage
from lentilhaven.bench.crowd.targets import (
    Target,
    open_gateway_target,
    open_router_target,
)
from lentilhaven.bench.figure import Figure, at_least, at_most
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.bench.soak.kept_connection import ResponseReader, open_connection
from lentilhaven.core.tasks import running_tasks

#: Seconds for which clients misbehave.
CROWD_TIME = 8.0

#: Seconds for which an ordinary request may try to get its answer afterwards; a process
#: that hangs gives none.
ANSWER_TIME = 60.0

#: Runs by listener, for the scenario: the program, and kinds of misbehaviour; none
#: stands for all but those that need TLS.
RUNS: dict[str, tuple[str, tuple[str, ...]]] = {
    "callers": ("gateway", ()),
    "ready": ("gateway", ("method", "field-value", "silent")),
    "metrics": ("gateway", ("field-value",)),
    "peers": ("gateway", ("upgrade-tail", "silent")),
    "operators": ("router", ("half-handshake", "small-records", "field-value")),
    "router": ("router", ("close-tail", "pipelined-bodies", "silent")),
}

TARGETS = {"gateway": open_gateway_target, "router": open_router_target}


@attrs.frozen
class CrowdOutcome:
    """
    What became of the process.

    Attributes
    ----------
    lives : bool
        Whether the process still runs.
    is_answered : bool
        Whether an ordinary request was answered afterwards.
    memory, memory_bound : int
        Largest resident memory and its bound, in bytes.
    descriptors, descriptor_bound : int
        Largest number of open descriptors and its bound.
    """

    lives: bool
    is_answered: bool
    memory: int
    memory_bound: int
    descriptors: int
    descriptor_bound: int


async def run_crowd(
    program: str, listener: str, name: str, seconds: float = CROWD_TIME
) -> CrowdOutcome:
    """
    Let a crowd misbehave against one listener of a new process.

    Parameters
    ----------
    program : str
        Process: ``gateway`` or ``router``.
    listener : str
        Name of its listener.
    name : str
        Kind of misbehaviour.
    seconds : float
        Time for which the clients misbehave.
    """
    kind = misbehaviours()[name]
    with tempfile.TemporaryDirectory(prefix="crowd-") as folder:
        async with TARGETS[program](Path(folder)) as target:
            address = target.listeners[listener]
            usage = ProcessUsage(target.process.pid)
            async with running_tasks(usage.watch()):
                clients = [misbehave(address, kind) for _ in range(kind.clients)]
                async with running_tasks(*clients):
                    await asyncio.sleep(seconds)
                is_answered = await is_served(target)
            usage.measure()
            return CrowdOutcome(
                target.process.returncode is None,
                is_answered,
                usage.memory,
                target.memory,
                usage.descriptors,
                target.descriptors,
            )


async def is_served(target: Target) -> bool:
    """Send an ordinary request until it is answered; return False if it is not."""
    address = target.listeners["callers"]
    try:
        async with asyncio.timeout(ANSWER_TIME):
            while target.process.returncode is None:
                response = ResponseReader()
                try:
                    host = f"{address.host}:{address.port}"
                    async with open_connection(host, 1.0) as connection:
                        await connection.ensure_open()
                        await connection.exchange(target.ordinary, response)
                except (OSError, TimeoutError):
                    # The process may be short of descriptors for a moment.
                    await asyncio.sleep(0.1)
                if response.complete and target.status in (None, response.status):
                    return True
                await asyncio.sleep(0.1)
    except TimeoutError:
        return False
    return False


def run_clients(options: ScenarioOptions) -> Report:
    """
    Run every kind of misbehaviour and report memory and descriptors.

    Parameters
    ----------
    options : ScenarioOptions
        The size is the seconds for which the clients of each kind misbehave.
    """
    figures: dict[str, Figure] = {}
    seconds = float(options.size or CROWD_TIME)
    plain = [
        name
        for name, kind in misbehaviours().items()
        if name != "half-handshake" and not kind.is_encrypted
    ]
    for listener, (program, names) in RUNS.items():
        at = "callers" if listener == "router" else listener
        for name in names or plain:
            outcome = asyncio.run(run_crowd(program, at, name, seconds))
            title = f"{listener}: {name}"
            served = outcome.lives and outcome.is_answered
            figures[f"{title}: served"] = at_least(served, 1, "requests")
            figures[f"{title}: memory"] = at_most(
                outcome.memory / 1e6, outcome.memory_bound / 1e6, "MB"
            )
            figures[f"{title}: descriptors"] = at_most(
                outcome.descriptors, outcome.descriptor_bound, "descriptors"
            )
    return Report("clients", options.seed, figures)
