"""Check that gateways answer each whole request while its replica is sound."""

from lentilhaven.bench.soak.soak_callers import Attempt
from lentilhaven.bench.soak.soak_checks import Findings, runs_by_request
from lentilhaven.bench.soak.soak_environment import SoakEnvironment
from lentilhaven.bench.soak.soak_soundness import FAULT_SLACK
from lentilhaven.standins.platform.fake_replica import Run
from lentilhaven.standins.platform.replica_wire import decode_path

#: Seconds for which a gateway that is terminated may go on.
STOP_TIME = 10.0

#: Seconds after which a stream may be cut, since its route allows no more.
STREAM_TIME = 7.5

#: Service of each kind of request.
SERVICES = {"post": "stock", "look": "stock", "draft": "gen", "once": "gen"}


def check_lost(
    environment: SoakEnvironment, attempts: list[Attempt], findings: Findings
) -> None:
    """
    Check that no connection ended before its response while the replica was sound.

    A replica that is silent for at most `MAX_SILENCE` counts as sound.  Excepted are
    gateways that were killed or cut off from replicas, and requests on kept connections
    that no replica received while their gateway was terminated.

    Parameters
    ----------
    environment : SoakEnvironment
        Environment with the replicas and gateways.
    attempts : list of Attempt
        All requests that callers sent.
    findings : Findings
        Receives the violations.
    """
    add_crashes(environment)
    runs = runs_by_request(environment)
    for attempt in attempts:
        if attempt.kind not in SERVICES or not attempt.closed:
            continue
        attempt_runs = [run for _, run in runs.get(attempt.id, [])]
        if is_excepted(environment, attempt, bool(attempt_runs)):
            continue
        replicas = replicas_of(environment, attempt, attempt_runs)
        if all(
            environment.soundness.is_sound(it, attempt.began, attempt.ended)
            for it in replicas
        ):
            findings.add("lost request", describe(attempt, attempt_runs))


def add_crashes(environment: SoakEnvironment) -> None:
    """Record the crashes of engines as times at which they were harmed."""
    for replica in environment.fleet.replicas.values():
        for time in replica.crashes:
            until = time + environment.fleet.crash_time + FAULT_SLACK
            environment.soundness.spans.append([replica.id, time, until])


def overlaps(attempt: Attempt, spans: list[tuple[float, float]]) -> bool:
    """Return whether a request was in progress during one of some spans of time."""
    return any(
        attempt.began <= until and attempt.ended >= since for since, until in spans
    )


def is_excepted(environment: SoakEnvironment, attempt: Attempt, has_run: bool) -> bool:
    """Return whether the gateway's process or the time limit explains the end."""
    gateway = environment.gateways[attempt.gateway]
    # A process still takes connections between the signal and its end.
    if overlaps(attempt, [*gateway.kill_spans, *gateway.cut_spans]):
        return True
    # A request on a kept connection may cross its close.
    may_cross = attempt.reused and not has_run
    if may_cross and any(
        attempt.began - STOP_TIME <= it <= attempt.ended for it in gateway.stop_times
    ):
        return True
    return bool(attempt.events) and attempt.ended - attempt.began >= STREAM_TIME


def replicas_of(
    environment: SoakEnvironment, attempt: Attempt, runs: list[Run]
) -> set[str]:
    """Return the ids of the replicas of a request; without runs, of its service."""
    fleet = environment.fleet
    if not runs:
        service = SERVICES[attempt.kind]
        return {it.id for it in fleet.replicas.values() if it.service == service}
    addresses = {
        address for run in runs if run.path for address, _, _ in decode_path(run.path)
    } | {address for address, _, _ in fleet.replaced_paths.get(attempt.id, [])}
    found = {it.id for it in fleet.replicas.values() if it.address in addresses}
    ids = {replica_id for replica_id, run in runs_by_request(environment)[attempt.id]}
    return found | ids


def describe(attempt: Attempt, runs: list[Run]) -> str:
    """Return a text on a lost request."""
    seconds = attempt.ended - attempt.began
    kept = "kept" if attempt.reused else "new"
    return (
        f"{attempt.id} ({attempt.kind}, gateway {attempt.gateway}, {kept} connection) "
        f"ended after {seconds:.2f} s with status {attempt.status} and "
        f"{len(runs)} runs"
    )
