"""Checks of an upgrade, and which version answers for each violation."""

from collections import defaultdict

import attrs

from lentilhaven.bench.soak.soak_callers import Attempt
from lentilhaven.bench.soak.soak_checks import (
    Findings,
    check_attempt,
    check_fault_free,
    check_requested,
    runs_by_request,
)
from lentilhaven.bench.soak.soak_lost import check_lost, overlaps
from lentilhaven.bench.upgrade.gateway_logs import (
    check_defects,
    check_found,
    check_learned,
    check_silences,
    lines_of,
    read_log,
)
from lentilhaven.bench.upgrade.manifest_probes import check_probe, check_reverted
from lentilhaven.bench.upgrade.upgrade_run import UpgradeRun, spans_of

#: Seconds after a request within which a gateway that stops may close a kept connection
#: on which the request crosses the close.
LOSS_SLACK = 0.2


@attrs.define
class UpgradeFindings:
    """
    Violations by what is demanded.

    Attributes
    ----------
    broken : Findings
        Violations of what both versions must keep, and of what the present one must
        keep at its own stop.
    older_stops : Findings
        Requests that an older gateway lost at its own stop, which is the work of the
        older code alone.
    crossings : int
        Number of requests that crossed the close of a kept connection and did not run.
    """

    broken: Findings = attrs.field(factory=Findings)
    older_stops: Findings = attrs.field(factory=Findings)
    crossings: int = 0


def check_requests(run: UpgradeRun, found: UpgradeFindings) -> None:
    """Check all requests of the callers."""
    environment = run.environment
    attempts = environment.callers.attempts
    runs = runs_by_request(environment)
    check_requested(environment, runs, attempts, found.broken)
    groups: dict[tuple[str, bool], list[Attempt]] = defaultdict(list)
    for attempt in attempts:
        program = run.program_of(attempt).name
        findings = Findings()
        check_attempt(attempt, runs.get(attempt.id, []), findings)
        found.broken.texts += label(findings, program)
        gateway = environment.gateways[attempt.gateway]
        if attempt.reached and not overlaps(attempt, gateway.kill_spans):
            groups[program, is_beside_stop(run, attempt)].append(attempt)
    for (program, is_beside), group in groups.items():
        findings = Findings()
        found.crossings += check_answered(run, group, set(runs), findings)
        is_excused = is_beside and program == run.older.name
        kept = found.older_stops if is_excused else found.broken
        kept.texts += label(findings, program)


def label(findings: Findings, program: str) -> list[str]:
    """Return violations with the version of the gateway."""
    return [f"{text} ({program} gateway)" for text in findings.texts]


def check_answered(
    run: UpgradeRun, attempts: list[Attempt], run_ids: set[str], findings: Findings
) -> int:
    """
    Check that requests have an answer or a refusal; return the number of crossings.

    Excepted are crossings: requests on kept connections that have not run and that met
    the close.

    Parameters
    ----------
    run : UpgradeRun
        Gateways and replicas.
    attempts : list of Attempt
        The requests; none whose gateway was killed meanwhile.
    run_ids : set of str
        Ids of all requests that replicas have received.
    findings : Findings
        Receives the violations.
    """
    not_run = [it for it in attempts if it.closed and it.id not in run_ids]
    for attempt in not_run:
        if not is_crossing(attempt):
            findings.add("no answer", describe(attempt))
    have_run = [it for it in attempts if it.closed and it.id in run_ids]
    check_lost(run.environment, have_run, findings)
    still_open = [it for it in attempts if not it.closed]
    check_fault_free(run.environment, still_open, findings)
    return sum(is_crossing(it) for it in not_run)


def is_crossing(attempt: Attempt) -> bool:
    """Return whether a request on a kept connection met the close of the gateway."""
    return (
        attempt.reused
        and attempt.status == 0
        and attempt.ended - attempt.began <= LOSS_SLACK
    )


def describe(attempt: Attempt) -> str:
    """Return a text on a request without an answer."""
    kept = "kept" if attempt.reused else "new"
    seconds = attempt.ended - attempt.began
    return (
        f"{attempt.id} ({attempt.kind}, gateway {attempt.gateway}, {kept} connection) "
        f"was closed after {seconds:.3f} s with status {attempt.status} and no run"
    )


def is_beside_stop(run: UpgradeRun, attempt: Attempt) -> bool:
    """Return whether the process that took a request was told to stop meanwhile."""
    gateway = run.environment.gateways[attempt.gateway]
    spans = spans_of(gateway, attempt.ended)
    ends = [ended for began, ended, _ in spans if began <= attempt.began]
    return bool(ends) and ends[-1] in gateway.stop_times and ends[-1] <= attempt.ended


def check_manifests(run: UpgradeRun, findings: Findings) -> None:
    """Check which manifests the probes of all gateways met."""
    probes: dict[tuple[int, float], list[Attempt]] = defaultdict(list)
    for attempt in run.environment.callers.attempts:
        if attempt.kind != "probe":
            continue
        starts = run.environment.gateways[attempt.gateway].starts
        began = max((at for at, _ in starts if at <= attempt.began), default=0.0)
        probes[attempt.gateway, began].append(attempt)
    for group in probes.values():
        of_process = Findings()
        for probe in group:
            check_probe(probe, run.written_at, of_process)
        check_reverted(group, run.written_at, of_process)
        findings.texts += label(of_process, run.program_of(group[0]).name)


def check_logs(run: UpgradeRun, findings: Findings) -> None:
    """Check what the gateways of both versions logged of each other."""
    lives = run.lives()
    for gateway in run.environment.gateways:
        lines, others = read_log(gateway.folder / f"{gateway.name}.log")
        for text in others:
            if text.startswith("Traceback"):
                findings.add("defect", f"{gateway.name} wrote a traceback")
        for life in lives:
            if life.gateway != gateway.name:
                continue
            own_lines = lines_of(life, lines)
            check_found(life, own_lines, lives, findings)
            check_silences(life, own_lines, lives, findings)
            check_learned(life, own_lines, run.joined_at, findings)
            check_defects(life, own_lines, findings)
