"""The promises, checked from what callers and replicas saw."""

from collections import defaultdict

import attrs

from lentilhaven.bench.soak.soak_callers import NOT_RUN, Attempt
from lentilhaven.bench.soak.soak_world import SoakWorld
from lentilhaven.standins.platform.fake_replica import Run

#: Kinds of requests that may run once at most.
ONCE = ("post", "once")

#: Most replicas that one attempt may run on, as the routes say.
ATTEMPTS = {"post": 1, "once": 1, "look": 2, "probe": 2, "draft": 2}


@attrs.define
class Findings:
    """
    Broken promises.

    Attributes
    ----------
    texts : list of str
        One line each: which promise, which request, what was seen.
    """

    texts: list[str] = attrs.field(factory=list)

    def add(self, promise: str, detail: str) -> None:
        """Note a broken promise."""
        self.texts.append(f"{promise}: {detail}")


def runs_by_request(world: SoakWorld) -> dict[str, list[tuple[str, Run]]]:
    """Return the runs of each request with the id of the replica."""
    found: dict[str, list[tuple[str, Run]]] = defaultdict(list)
    for replica in world.fleet.replicas.values():
        for run in replica.runs:
            found[run.request_id].append((replica.id, run))
    return found


def check_attempts(
    world: SoakWorld, attempts: list[Attempt], findings: Findings
) -> None:
    """
    Check everything that holds at any time, whatever fails.

    Parameters
    ----------
    world : SoakWorld
        The replicas.
    attempts : list of Attempt
        What callers have seen.
    findings : Findings
        Takes what is broken.
    """
    runs = runs_by_request(world)
    asked = {it.id for it in attempts}
    for name in runs.keys() - asked:
        findings.add("nobody asked for it", f"{name} ran")
    for attempt in attempts:
        own = runs.get(attempt.id, [])
        check_runs(attempt, own, findings)
        check_answer(attempt, own, findings)
    for path in world.fleet.wrong_paths:
        findings.add("each layer once and in order", path)


def check_runs(
    attempt: Attempt, runs: list[tuple[str, Run]], findings: Findings
) -> None:
    """Check how often and with what a request has run."""
    if attempt.kind in ONCE and len(runs) > 1:
        findings.add("at most once", f"{attempt.id} ran {len(runs)} times")
    if len(runs) > ATTEMPTS[attempt.kind]:
        findings.add("attempts", f"{attempt.id} ran {len(runs)} times")
    if attempt.status in NOT_RUN and runs and attempt.kind in ONCE:
        findings.add("not run", f"{attempt.id} got {attempt.status} and ran")
    for _, run in runs:
        check_run(attempt, run, findings)


def check_run(attempt: Attempt, run: Run, findings: Findings) -> None:
    """Check that a replica got what the caller sent, and as whom."""
    if run.fields.get("tenant") != attempt.tenant:
        findings.add("workspace", f"{attempt.id} ran as {run.fields.get('tenant')}")
    if "authorization" in run.fields:
        findings.add("key passed on", attempt.id)
    if run.target != attempt.target:
        findings.add("target", f"{attempt.id} ran as {run.target}")
    if attempt.method == "POST" and run.body != f"body of {attempt.id}".encode():
        findings.add("body", f"{attempt.id} ran with {run.body[:40]!r}")


def check_answer(
    attempt: Attempt, runs: list[tuple[str, Run]], findings: Findings
) -> None:
    """Check that a success is the replica's whole answer to this request."""
    if attempt.status != 200:
        return
    signers = {f"{replica}.{attempt.id}": replica for replica, _ in runs}
    if attempt.signature not in signers:
        findings.add("answer of another", f"{attempt.id} got {attempt.signature!r}")
        return
    if attempt.events:
        check_events(attempt, findings)
        return
    replica = signers[attempt.signature]
    whole = f"{replica} {attempt.method} {attempt.target}".encode() * 3
    if attempt.complete and attempt.body != whole:
        findings.add("whole answer", f"{attempt.id} got {attempt.body[:60]!r}")


def check_events(attempt: Attempt, findings: Findings) -> None:
    """Check that the events of a stream come once, in order and all."""
    whole, _, rest = attempt.body.rpartition(b"\n\n")
    events = whole.split(b"\n\n") if whole else []
    expected = [
        f"id: {number}\ndata: word-{number}".encode()
        for number in range(1, len(events) + 1)
    ]
    if events != expected:
        findings.add("order of events", f"{attempt.id} got {events[:3]!r}...")
    if attempt.complete and (len(events) != attempt.events or rest):
        count = f"{len(events)} of {attempt.events}"
        findings.add("complete stream", f"{attempt.id} got {count} events")


def check_calm(world: SoakWorld, attempts: list[Attempt], findings: Findings) -> None:
    """Check that planned work, without faults, has cut nothing off."""
    runs = runs_by_request(world)
    for attempt in attempts:
        if attempt.kind == "probe":
            continue
        if attempt.id in runs and attempt.ended and not attempt.complete:
            got = f"{attempt.id} ({attempt.kind}, gateway {attempt.gateway}) got "
            findings.add("cut off", got + f"{attempt.status} and no end")
        if attempt.ended and attempt.status in (401, 404):
            findings.add("denied", f"{attempt.id} got {attempt.status}")
