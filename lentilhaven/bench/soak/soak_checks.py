"""Checks of the gateway's guarantees on what callers and replicas observed."""

from collections import defaultdict

import attrs

from lentilhaven.bench.soak.soak_callers import HOT_TARGET, NOT_RUN_STATUSES, Attempt
from lentilhaven.bench.soak.soak_environment import SoakEnvironment
from lentilhaven.standins.platform.fake_replica import Run

#: Kinds of requests that may run at most once.
AT_MOST_ONCE_KINDS = ("post", "once")

#: Maximum number of runs of a request by kind, as the routes in the manifest allow.
MAX_RUNS = {"post": 1, "once": 1, "look": 2, "probe": 2, "draft": 2}

#: Minimum number of hot requests of a caller that are checked, and minimum fraction of
#: them that must be served after faults.
MIN_HOT_COUNT, MIN_HOT_SERVED = 4, 0.5


@attrs.define
class Findings:
    """
    Violated guarantees.

    Attributes
    ----------
    texts : list of str
        One line per violation: the guarantee, the request and what was observed.
    """

    texts: list[str] = attrs.field(factory=list)

    def add(self, guarantee: str, detail: str) -> None:
        """Record a violated guarantee."""
        self.texts.append(f"{guarantee}: {detail}")


def runs_by_request(environment: SoakEnvironment) -> dict[str, list[tuple[str, Run]]]:
    """Return the runs of each request, each with the id of its replica."""
    runs: dict[str, list[tuple[str, Run]]] = defaultdict(list)
    for replica in environment.fleet.replicas.values():
        for run in replica.runs:
            runs[run.request_id].append((replica.id, run))
    return runs


def check_attempts(
    environment: SoakEnvironment, attempts: list[Attempt], findings: Findings
) -> None:
    """
    Check the guarantees that hold at any time, whatever fails.

    Parameters
    ----------
    environment : SoakEnvironment
        Environment with the replicas and their runs.
    attempts : list of Attempt
        All requests that callers sent.
    findings : Findings
        Receives the violations.
    """
    runs = runs_by_request(environment)
    check_requested(environment, runs, attempts, findings)
    for attempt in attempts:
        check_attempt(attempt, runs.get(attempt.id, []), findings)


def check_requested(
    environment: SoakEnvironment,
    runs: dict[str, list[tuple[str, Run]]],
    attempts: list[Attempt],
    findings: Findings,
) -> None:
    """Check that callers sent all that ran, and that each chain has all layers."""
    sent_ids = {it.id for it in attempts}
    for request_id in runs.keys() - sent_ids:
        findings.add("nobody asked for it", f"{request_id} ran")
    for path in environment.fleet.invalid_paths:
        findings.add("each layer once and in order", path)


def check_attempt(
    attempt: Attempt, runs: list[tuple[str, Run]], findings: Findings
) -> None:
    """Check the runs of a request and its answer."""
    check_runs(attempt, runs, findings)
    check_answer(attempt, runs, findings)


def check_runs(
    attempt: Attempt, runs: list[tuple[str, Run]], findings: Findings
) -> None:
    """Check how often a request ran, and what its replicas received."""
    if attempt.kind in AT_MOST_ONCE_KINDS and len(runs) > 1:
        findings.add("at most once", f"{attempt.id} ran {len(runs)} times")
    if len(runs) > MAX_RUNS[attempt.kind]:
        findings.add("attempts", f"{attempt.id} ran {len(runs)} times")
    if (
        attempt.status in NOT_RUN_STATUSES
        and runs
        and attempt.kind in AT_MOST_ONCE_KINDS
    ):
        findings.add("not run", f"{attempt.id} got status {attempt.status} but ran")
    for _, run in runs:
        check_run(attempt, run, findings)


def check_run(attempt: Attempt, run: Run, findings: Findings) -> None:
    """Check that a replica received the caller's request and workspace, but no key."""
    if run.fields.get("tenant") != attempt.workspace:
        findings.add("workspace", f"{attempt.id} ran as {run.fields.get('tenant')}")
    if "authorization" in run.fields:
        findings.add("key passed on", attempt.id)
    if run.prompt != attempt.prompt:
        findings.add("prompt", f"{attempt.id} ran with {run.fields}")
    if run.target != attempt.target:
        findings.add("target", f"{attempt.id} ran as {run.target}")
    if (run.method, run.body) != (attempt.method, attempt.sent_body):
        findings.add("body", f"{attempt.id} ran with {run.body[:40]!r}")


def check_answer(
    attempt: Attempt, runs: list[tuple[str, Run]], findings: Findings
) -> None:
    """Check that a successful response is what a replica sent for this request."""
    if attempt.status != 200:
        return
    replicas_by_signature = {f"{replica}.{attempt.id}": replica for replica, _ in runs}
    if attempt.signature not in replicas_by_signature:
        findings.add("answer of another", f"{attempt.id} got {attempt.signature!r}")
        return
    if attempt.events:
        check_events(attempt, findings)
        return
    replica = replicas_by_signature[attempt.signature]
    expected_body = f"{replica} {attempt.method} {attempt.target}".encode() * 3
    if attempt.complete and attempt.body != expected_body:
        findings.add("whole answer", f"{attempt.id} got {attempt.body[:60]!r}")


def check_events(attempt: Attempt, findings: Findings) -> None:
    """Check that the events of a stream arrive once, in order and completely."""
    complete_events, _, rest = attempt.body.rpartition(b"\n\n")
    events = complete_events.split(b"\n\n") if complete_events else []
    expected = [
        f"id: {number}\ndata: word-{number}".encode()
        for number in range(1, len(events) + 1)
    ]
    if events != expected:
        findings.add("order of events", f"{attempt.id} got {events[:3]!r}...")
    if attempt.complete and (len(events) != attempt.events or rest):
        count = f"{len(events)} of {attempt.events}"
        findings.add("complete stream", f"{attempt.id} got {count} events")


def check_fault_free(
    environment: SoakEnvironment, attempts: list[Attempt], findings: Findings
) -> None:
    """Check that planned operations without faults interrupted or denied no request."""
    runs = runs_by_request(environment)
    for attempt in attempts:
        if attempt.kind == "probe":
            continue
        if attempt.id in runs and attempt.ended and not attempt.complete:
            request = f"{attempt.id} ({attempt.kind}, gateway {attempt.gateway}) got "
            findings.add(
                "cut off", request + f"status {attempt.status} and no complete response"
            )
        if attempt.ended and attempt.status in (401, 404):
            findings.add("denied", f"{attempt.id} got status {attempt.status}")


def check_hot_requests(attempts: list[Attempt], findings: Findings) -> None:
    """Check that no hot request is refused for long after replicas crashed under it."""
    groups: dict[tuple[str, str], list[Attempt]] = defaultdict(list)
    for attempt in attempts:
        if attempt.target == HOT_TARGET.format(attempt.kind):
            groups[attempt.workspace, attempt.target].append(attempt)
    for (workspace, target), group in sorted(groups.items()):
        served = sum(it.served for it in group)
        if len(group) >= MIN_HOT_COUNT and served < MIN_HOT_SERVED * len(group):
            detail = f"{served} of {len(group)} {target} of {workspace} were served"
            findings.add("hot request", detail)
