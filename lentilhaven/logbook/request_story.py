"""The lines that bear on one request, and what follows from them."""

from collections.abc import Iterable

import attrs

from lentilhaven.logbook.log_line import LogLine, Reading

#: Seconds around a request within which a change of belief may bear on it: the
#: longest suspicion, and as much again for clocks that differ.
NEARBY = 8.0

#: Events that change what a gateway believes about endpoints, and count at the
#: gateway that served the request only: all gateways note them.
BELIEFS = frozenset({"endpoint changed", "endpoint gone"})

#: The same, at whichever gateway noticed or caused them.
SHARED_BELIEFS = frozenset(
    {"endpoints suspected", "engine ordered", "order did not take effect"}
)

#: Events about what a gateway depends on.
DEPENDENCIES = frozenset(
    {"store lost", "store regained", "history is gone", "gateway silent"}
)


@attrs.frozen
class RequestStory:
    """
    What the logs tell of a request.

    Attributes
    ----------
    request : str
        Its id.
    vm : str
        The gateway that served it; empty if no line is there.
    own : list of LogLine
        Its own lines, in order.
    beliefs : list of LogLine
        What was believed about its endpoints around it.
    cause : str
        What follows from these lines, in a sentence.
    missing : list of str
        What is not in the logs.
    """

    request: str
    vm: str
    own: list[LogLine]
    beliefs: list[LogLine]
    cause: str
    missing: list[str]


def tell_story(reading: Reading, request: str) -> RequestStory:
    """
    Return what the logs tell of a request.

    Parameters
    ----------
    reading : Reading
        The lines.
    request : str
        Id of the request.
    """
    own = [it for it in reading.lines if it.fields.get("request") == request]
    vm = own[0].vm if own else ""
    endpoints = {name for line in own for name in endpoints_of(line)}
    return RequestStory(
        request=request,
        vm=vm,
        own=own,
        beliefs=related(reading.lines, own, vm, endpoints),
        cause=find_cause(own),
        missing=find_missing(reading, own),
    )


def endpoints_of(line: LogLine) -> set[str]:
    """
    Return the endpoints that a line names.

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


def related(
    lines: Iterable[LogLine], own: list[LogLine], vm: str, endpoints: set[str]
) -> list[LogLine]:
    """Return the changes of belief near a request that concern its endpoints."""
    if not own:
        return []
    begin, end = own[0].time - NEARBY, own[-1].time + NEARBY
    found = []
    for line in lines:
        if line in own or not begin <= line.time <= end:
            continue
        own_belief = line.event in BELIEFS and line.vm == vm
        if line.event in DEPENDENCIES and line.vm == vm:
            found.append(line)
        elif own_belief or line.event in SHARED_BELIEFS:
            if endpoints & endpoints_of(line):
                found.append(line)
    return sorted(found, key=lambda line: (line.time, line.order))


def find_cause(own: list[LogLine]) -> str:
    """Return what follows from a request's own lines."""
    if not own:
        return "no line names this request"
    last = {line.event: line for line in own}
    for event, explain in CAUSES:
        if event in last:
            found = explain(last[event], own)
            if found:
                return found
    return "it ended as its endpoint answered it"


def explain_defect(line: LogLine, own: list[LogLine]) -> str:
    """Explain an error of the gateway itself."""
    frames = "; ".join(line.fields.get("frames") or ())
    return f"the gateway failed: {line.fields.get('error')} at {frames}"


def explain_refusal(line: LogLine, own: list[LogLine]) -> str:
    """Explain a request that was refused before it was passed on."""
    return f"refused at the step {line.fields.get('step')}: {line.fields.get('kind')}"


def explain_absence(line: LogLine, own: list[LogLine]) -> str:
    """Explain that no chain was free."""
    fields = line.fields
    layers = fields.get("missing") or []
    place = f"layers {layers[0]} to {layers[-1]}" if layers else "some layers"
    suspected = fields.get("suspected") or []
    reason = "were full" if not suspected else "were full or thought dead"
    before = "" if len(own) < 3 else f" after {explain_tries(own)}"
    return (
        f"no chain had room{before}: the endpoints that hold {place} {reason} "
        f"({fields.get('unusable')} of {unusable_of(fields)} not usable)"
    )


def unusable_of(fields: dict) -> int:
    """Return how many endpoints were looked at."""
    return int(fields.get("usable") or 0) + int(fields.get("unusable") or 0)


def explain_tries(own: list[LogLine]) -> str:
    """Say how the tries on chains ended."""
    tries = [line for line in own if line.event == "chain tried"]
    return ", then ".join(str(line.fields.get("outcome")) for line in tries) or "a wait"


def explain_break(line: LogLine, own: list[LogLine]) -> str:
    """Explain a stream that was broken off."""
    return (
        f"the stream was broken off after {line.fields.get('events')} events: "
        f"{line.fields.get('kind')} ({line.fields.get('detail')}); "
        f"tries: {explain_tries(own)}"
    )


def explain_replicas(line: LogLine, own: list[LogLine]) -> str:
    """Explain how the tries at a plain service's replicas ended."""
    tries = [it.fields for it in own if it.event == "replica tried"]
    outcomes = [f"{it.get('endpoint')}: {it.get('outcome')}" for it in tries]
    if str(tries[-1].get("outcome")).startswith("status 2"):
        return ""
    unknown = any("ran unknown" in outcome for outcome in outcomes)
    note = "; whether it has run is not known" if unknown else ""
    return f"no replica answered well: {', '.join(outcomes)}{note}"


def explain_leave(line: LogLine, own: list[LogLine]) -> str:
    """Explain a request whose caller left."""
    return f"the caller left after {line.fields.get('ms')} ms"


#: How a request's end is explained, by the event that tells most; the first that
#: applies counts.
CAUSES = (
    ("request failed here", explain_defect),
    ("caller left", explain_leave),
    ("stream broken off", explain_break),
    ("no chain", explain_absence),
    ("replica tried", explain_replicas),
    ("request refused", explain_refusal),
)


def find_missing(reading: Reading, own: list[LogLine]) -> list[str]:
    """Return what the logs should hold and do not."""
    events = {line.event for line in own}
    found = []
    if own and not events & {"request ended", "caller left", "request refused"}:
        found.append("its end: the process ended first, or the log is cut")
    if not own:
        found.append("all of its lines: another gateway's log, or another id")
    if reading.dropped:
        found.append(f"{reading.dropped} lines that the writers left out under load")
    if reading.unreadable:
        found.append(f"{reading.unreadable} lines that can't be read")
    return found
