"""State of an upgrade."""

import asyncio
import time
from contextlib import AsyncExitStack

import attrs

from lentilhaven.bench.soak.gateway_process import GatewayProcess
from lentilhaven.bench.soak.gateway_program import GatewayProgram
from lentilhaven.bench.soak.soak_callers import Attempt
from lentilhaven.bench.soak.soak_checks import Findings
from lentilhaven.bench.soak.soak_environment import SoakEnvironment
from lentilhaven.bench.upgrade.gateway_logs import Life


@attrs.define(eq=False)
class UpgradeRun:
    """
    Gateways of two versions, and what was done to them.

    Attributes
    ----------
    environment : SoakEnvironment
        Store, replicas, callers and gateways.
    older, present : GatewayProgram
        The two versions.
    stack : AsyncExitStack
        Holds what is opened during the run.
    findings : Findings
        Violated guarantees.
    written_at : dict
        Time of the event loop at which each manifest was written, in seconds, by
        version.
    joined_at : dict
        Unix time at which each new replica was registered, in seconds, by id.
    replacements : int
        Number of gateways that were replaced.
    """

    environment: SoakEnvironment
    older: GatewayProgram
    present: GatewayProgram
    stack: AsyncExitStack
    findings: Findings
    written_at: dict[int, float] = attrs.field(factory=dict)
    joined_at: dict[str, float] = attrs.field(factory=dict)
    replacements: int = 0

    def edit_manifest(self) -> None:
        """Write the next manifest."""
        self.environment.edit_manifest()
        self.written_at[self.environment.version] = asyncio.get_running_loop().time()

    def check_running(self, gateway: GatewayProcess) -> None:
        """Record a gateway that has ended without a signal of the run."""
        if not gateway.running:
            detail = f"{gateway.name} ({gateway.program.name}) is not running"
            self.findings.add("exit", detail)

    def program_of(self, attempt: Attempt) -> GatewayProgram:
        """Return the version of the gateway to which a request was sent."""
        starts = self.environment.gateways[attempt.gateway].starts
        return program_at(starts, attempt.began)

    def lives(self) -> list[Life]:
        """Return the processes of all gateways; those that run end now."""
        now = asyncio.get_running_loop().time()
        to_unix = time.time() - now
        return [
            Life(gateway.name, program.name, began + to_unix, ended + to_unix)
            for gateway in self.environment.gateways
            for began, ended, program in spans_of(gateway, now)
        ]


def program_at(starts: list[tuple[float, GatewayProgram]], at: float) -> GatewayProgram:
    """Return the version that ran at a time, given all starts in ascending order."""
    earlier = [program for began, program in starts if began <= at]
    return earlier[-1] if earlier else starts[0][1]


def spans_of(
    gateway: GatewayProcess, now: float
) -> list[tuple[float, float, GatewayProgram]]:
    """Return start, end or signal to end, and version of each process of a gateway."""
    ends = [*gateway.stop_times, *(since for since, _ in gateway.kill_spans)]
    return [
        (began, min((it for it in ends if it >= began), default=now), program)
        for began, program in gateway.starts
    ]
