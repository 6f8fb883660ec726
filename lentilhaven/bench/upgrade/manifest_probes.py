"""Probes of which manifest a gateway uses, and their check."""

import asyncio
import re
from collections.abc import Mapping, Sequence

from lentilhaven.bench.soak.kept_connection import open_connection
from lentilhaven.bench.soak.soak_callers import MAX_IDLE, Attempt
from lentilhaven.bench.soak.soak_checks import Findings
from lentilhaven.bench.soak.soak_environment import SoakEnvironment
from lentilhaven.bench.soak.soak_tables import CONFIG_APPLY, VERSIONS_PER_ROUTE

#: Seconds between two probes of a gateway.
PROBE_INTERVAL = 0.1

#: Seconds after the effect of a manifest was seen from which on the gateway must not
#: use an older one.
ROLLBACK_SLACK = 0.25


async def probe_manifests(
    environment: SoakEnvironment, number: int, stopping: asyncio.Event
) -> None:
    """
    Send requests on the routes of recent manifests to one gateway until an event.

    Parameters
    ----------
    environment : SoakEnvironment
        Environment with the gateway and its callers.
    number : int
        Index of the gateway.
    stopping : asyncio.Event
        Set when no further request is to be sent.
    """
    callers = environment.callers
    address = environment.gateways[number].decoded_settings.callers
    while not stopping.is_set():
        async with open_connection(address, MAX_IDLE) as connection:
            is_reached = True
            while is_reached and not stopping.is_set():
                oldest = max(1, environment.version - VERSIONS_PER_ROUTE)
                version = environment.random.randint(oldest, environment.version)
                attempt = callers.make_attempt("probe", number, f"/v{version}/x")
                await callers.send_request(connection, attempt)
                is_reached = attempt.reached
                await asyncio.sleep(PROBE_INTERVAL)


def probed_version(attempt: Attempt) -> int:
    """Return the version of the manifest that added the route of a probe."""
    match = re.fullmatch(r"/v(\d+)/x", attempt.target)
    assert match is not None
    return int(match[1])


def check_probe(
    probe: Attempt, written_at: Mapping[int, float], findings: Findings
) -> None:
    """
    Check that a gateway uses a manifest `CONFIG_APPLY` after it was written.

    Parameters
    ----------
    probe : Attempt
        The probe; other statuses than 200 and 404 say nothing.
    written_at : mapping
        Time of the event loop at which each version was written, in seconds.
    findings : Findings
        Receives the violations.
    """
    version = probed_version(probe)
    dropped_at = written_at.get(version + VERSIONS_PER_ROUTE)
    is_added = probe.began > written_at[version] + CONFIG_APPLY
    if (
        probe.status == 404
        and is_added
        and (dropped_at is None or probe.ended < dropped_at)
    ):
        findings.add("manifest in force", f"{probe.id} got 404 on {probe.target}")
    if (
        probe.status == 200
        and dropped_at is not None
        and probe.began > dropped_at + CONFIG_APPLY
    ):
        findings.add("manifest in force", f"{probe.id} got 200 on {probe.target}")


def check_reverted(
    probes: Sequence[Attempt], written_at: Mapping[int, float], findings: Findings
) -> None:
    """
    Check that one process of a gateway never returned to an older manifest.

    Parameters
    ----------
    probes : sequence of Attempt
        Probes of the process, in the order in which they were sent.
    written_at : mapping
        Time of the event loop at which each version was written, in seconds.
    findings : Findings
        Receives the violations.
    """
    # Times at which the process was known to use at least some version.
    seen: list[tuple[float, int]] = []
    for probe in probes:
        if probe.status not in (200, 404):
            continue
        version = probed_version(probe)
        known = [it for at, it in seen if at + ROLLBACK_SLACK < probe.began]
        oldest = max(known, default=0)
        last_with_route = version + VERSIONS_PER_ROUTE - 1
        dropped_at = written_at.get(last_with_route + 1)
        is_dropped = dropped_at is not None and probe.ended >= dropped_at
        if probe.status == 200:
            if oldest > last_with_route:
                detail = f"{probe.id} got 200 on {probe.target} after version {oldest}"
                findings.add("manifest reverted", detail)
            seen.append((probe.ended, version))
        elif oldest >= version:
            if not is_dropped:
                detail = f"{probe.id} got 404 on {probe.target} after version {oldest}"
                findings.add("manifest reverted", detail)
            seen.append((probe.ended, last_with_route + 1))
