"""Finds the log lines that concern a request and derives the cause of its outcome."""

from collections.abc import Iterable

import attrs

from lentilhaven.logbook.log_line import LogLine, ParsedLog
from lentilhaven.logbook.queue_story import (
    describe_queue_refusal,
    describe_wait,
    find_lines_ahead,
)

#: Time before and after a request within which other events may concern it, in seconds:
#: the maximum duration of an endpoint's suspicion, plus the same time for differences
#: between clocks.
CORRELATION_WINDOW = 8.0

#: Events that change the state of an endpoint as a gateway knows it.  Every gateway
#: logs them, so only those of the gateway that served the request count.
ENDPOINT_EVENTS = frozenset(
    {"endpoint changed", "endpoint gone", "endpoint wants no requests"}
)

#: Events that change the state of endpoints and count at any gateway: the gateway that
#: noticed or caused the change logs them.
SHARED_ENDPOINT_EVENTS = frozenset(
    {
        "endpoints suspected",
        "engine ordered",
        "order did not take effect",
        "endpoint is leaving",
        "pace of an engine",
        "run lost with its endpoint",
    }
)

#: Events about the store and the other gateways, which a gateway depends on.
DEPENDENCY_EVENTS = frozenset(
    {
        "store lost",
        "store regained",
        "store restored",
        "history is gone",
        "object ignored",
        "gateway silent",
    }
)


@attrs.frozen
class RequestDiagnosis:
    """
    Log lines that concern a request, and the cause of its outcome.

    Attributes
    ----------
    request : str
        Id of the request.
    vm : str
        VM of the gateway that served the request; empty if the request has no lines.
    request_lines : list of LogLine
        Lines that name the request, in the order of the input.
    related_lines : list of LogLine
        Other events near the request that concern its endpoints or the store and
        gateways that its gateway depends on, ordered by timestamp.
    ahead_lines : list of LogLine
        Lines of the requests that went before it in its queue, in the order of the
        input.
    wait : str
        How the request waited in its queue, in one sentence; empty if it did not.
    cause : str
        Cause of the outcome as derived from the request's lines, in one sentence.
    missing : list of str
        Descriptions of what is missing from the logs.
    """

    request: str
    vm: str
    request_lines: list[LogLine]
    related_lines: list[LogLine]
    ahead_lines: list[LogLine]
    wait: str
    cause: str
    missing: list[str]


def diagnose_request(log: ParsedLog, request: str) -> RequestDiagnosis:
    """
    Select the lines that concern a request and derive the cause of its outcome.

    Parameters
    ----------
    log : ParsedLog
        Lines of any number of gateways.
    request : str
        Id of the request.
    """
    request_lines = [it for it in log.lines if it.fields.get("request") == request]
    vm = request_lines[0].vm if request_lines else ""
    endpoints = {name for line in request_lines for name in endpoints_of(line)}
    return RequestDiagnosis(
        request=request,
        vm=vm,
        request_lines=request_lines,
        related_lines=find_related_lines(log.lines, request_lines, vm, endpoints),
        ahead_lines=find_lines_ahead(log.lines, request_lines),
        wait=describe_wait(request_lines),
        cause=find_cause(request_lines),
        missing=find_missing(log, request_lines),
    )


def endpoints_of(line: LogLine) -> set[str]:
    """
    Return the names of the endpoints in a line.

    Each item of the field ``parts`` consists of an endpoint and its layers.

    Examples
    --------
    >>> line = LogLine("", "chain tried", 0.0, {"parts": ["e1=0-4", "e2=4-8"]}, 0)
    >>> sorted(endpoints_of(line))
    ['e1', 'e2']
    """
    found = set(line.fields.get("endpoints") or ())
    found |= {part.partition("=")[0] for part in line.fields.get("parts") or ()}
    if line.fields.get("endpoint"):
        found.add(line.fields["endpoint"])
    return found


def find_related_lines(
    lines: Iterable[LogLine], request_lines: list[LogLine], vm: str, endpoints: set[str]
) -> list[LogLine]:
    """
    Return other events near a request that concern its endpoints or its gateway.

    Parameters
    ----------
    lines : iterable of LogLine
        Lines of all gateways.
    request_lines : list of LogLine
        Lines that name the request.
    vm : str
        VM of the gateway that served the request.
    endpoints : set of str
        Endpoints that the request used.
    """
    if not request_lines:
        return []
    begin, end = (
        request_lines[0].time - CORRELATION_WINDOW,
        request_lines[-1].time + CORRELATION_WINDOW,
    )
    found = []
    for line in lines:
        if line in request_lines or not begin <= line.time <= end:
            continue
        is_local = line.event in ENDPOINT_EVENTS and line.vm == vm
        if line.event in DEPENDENCY_EVENTS and line.vm == vm:
            found.append(line)
        elif is_local or line.event in SHARED_ENDPOINT_EVENTS:
            if endpoints & endpoints_of(line):
                found.append(line)
    return sorted(found, key=lambda line: (line.time, line.index))


def find_cause(lines: list[LogLine]) -> str:
    """Return the cause of a request's outcome, derived from the request's lines."""
    if not lines:
        return "no line names this request"
    last = {line.event: line for line in lines}
    for event, explain in EXPLAINERS:
        if event in last:
            cause = explain(last[event], lines)
            if cause:
                return cause
    return "it ended as its endpoint answered it"


def explain_internal_error(line: LogLine, lines: list[LogLine]) -> str:
    """Explain an internal error of the gateway."""
    frames = "; ".join(line.fields.get("frames") or ())
    return f"the gateway failed: {line.fields.get('error')} at {frames}"


def explain_refusal(line: LogLine, lines: list[LogLine]) -> str:
    """Explain a request that was refused before it was forwarded."""
    by_queue = describe_queue_refusal(line)
    if by_queue:
        return by_queue
    return f"refused at the step {line.fields.get('step')}: {line.fields.get('kind')}"


def explain_harmful(line: LogLine, lines: list[LogLine]) -> str:
    """Explain a refusal of a request that has ended endpoints, or whose prompt has."""
    fields = line.fields
    subject = fields.get("subject")
    what = f"part {subject} of its prompt"
    if fields.get("kind") == "request":
        what = f"the same request, {subject}"
    return (
        f"refused, as {fields.get('ends')} endpoints have ended under {what}, "
        f"the first {fields.get('age')} s before; "
        f"it is refused for {fields.get('seconds')} s more"
    )


def explain_slow_chain(line: LogLine, lines: list[LogLine]) -> str:
    """Explain a refusal because of a slow chain; empty if layers were missing too."""
    if any(it.event == "no chain" and it.fields.get("missing") for it in lines):
        return ""
    if not any(it.fields.get("status") == 503 for it in lines):
        return ""
    fields = line.fields
    return (
        f"refused, as the best of the chains ({fields.get('length')} parts) would have "
        f"paused for {fields.get('pause')} s on average, and callers leave after "
        f"{fields.get('patience')} s: its engines or pipes are overloaded"
    )


def explain_no_chain(line: LogLine, lines: list[LogLine]) -> str:
    """Explain that no chain had free capacity."""
    fields = line.fields
    layers = fields.get("missing") or []
    place = f"layers {layers[0]} to {layers[-1]}" if layers else "some layers"
    suspected = fields.get("suspected") or []
    reason = "were full" if not suspected else "were full or thought dead"
    before = "" if len(lines) < 3 else f" after {describe_chain_attempts(lines)}"
    return (
        f"no chain had room{before}: the endpoints that hold {place} {reason} "
        f"({fields.get('unusable')} of {count_endpoints(fields)} not usable)"
    )


def count_endpoints(fields: dict) -> int:
    """Return the number of endpoints that were considered, usable or not."""
    return int(fields.get("usable") or 0) + int(fields.get("unusable") or 0)


def describe_chain_attempts(lines: list[LogLine]) -> str:
    """Return the outcomes of the attempts on chains; "a wait" if there were none."""
    attempts = [line for line in lines if line.event == "chain tried"]
    return (
        ", then ".join(str(line.fields.get("outcome")) for line in attempts) or "a wait"
    )


def explain_broken_stream(line: LogLine, lines: list[LogLine]) -> str:
    """Explain a stream that was broken off."""
    return (
        f"the stream was broken off after {line.fields.get('events')} events: "
        f"{line.fields.get('kind')} ({line.fields.get('detail')}); "
        f"tries: {describe_chain_attempts(lines)}"
    )


def explain_replica_attempts(line: LogLine, lines: list[LogLine]) -> str:
    """Explain failed attempts on replicas of a service; empty if the last succeeded."""
    attempts = [it.fields for it in lines if it.event == "replica tried"]
    outcomes = [f"{it.get('endpoint')}: {it.get('outcome')}" for it in attempts]
    if str(attempts[-1].get("outcome")).startswith("status 2"):
        return ""
    ran_unknown = any("ran unknown" in outcome for outcome in outcomes)
    note = "; whether it has run is not known" if ran_unknown else ""
    return f"no replica answered well: {', '.join(outcomes)}{note}"


def explain_disconnect(line: LogLine, lines: list[LogLine]) -> str:
    """Explain a request whose caller disconnected."""
    return f"the caller left after {line.fields.get('ms')} ms"


#: Functions that explain a request's outcome, by event, most informative event first.
#: Each takes the last line with the event and all lines of the request, and returns one
#: sentence, or an empty string if it does not apply.  The first that applies is used.
EXPLAINERS = (
    ("request failed here", explain_internal_error),
    ("caller left", explain_disconnect),
    ("stream broken off", explain_broken_stream),
    ("request refused since it ends endpoints", explain_harmful),
    ("chain too slow", explain_slow_chain),
    ("no chain", explain_no_chain),
    ("replica tried", explain_replica_attempts),
    ("request refused", explain_refusal),
)


def find_missing(log: ParsedLog, lines: list[LogLine]) -> list[str]:
    """Return descriptions of what the logs should contain but do not."""
    events = {line.event for line in lines}
    missing = []
    if lines and not events & {"request ended", "caller left", "request refused"}:
        missing.append("its end: the process ended first, or the log is cut")
    if not lines:
        missing.append("all of its lines: another gateway's log, or another id")
    if log.dropped:
        missing.append(f"{log.dropped} lines that the writers left out under load")
    if log.unreadable:
        missing.append(f"{log.unreadable} lines that can't be read")
    return missing
