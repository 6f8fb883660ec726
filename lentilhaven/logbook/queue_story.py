"""What the log says about a request's wait, and which requests went before it."""

from collections.abc import Iterable

from lentilhaven.logbook.log_line import LogLine

#: Events of a request's decision to wait or to refuse.
WAITS = "request waits"
REFUSED = "request refused"

#: Event of a request that starts after it has waited.
STARTS = "request starts after a wait"


def describe_queue_refusal(line: LogLine) -> str:
    """
    Return why a request was refused instead of waiting; empty if it was not.

    Examples
    --------
    >>> fields = {"cause": "wait-too-long", "predicted_ms": 2400, "waiting": 3}
    >>> describe_queue_refusal(LogLine("", REFUSED, 0.0, fields, 0))
    'refused, as it would have waited too long (2400 ms) behind 3 waiting requests'
    """
    cause = line.fields.get("cause")
    if not cause:
        return ""
    reason = REASONS.get(str(cause), f"refused by its queue: {cause}")
    predicted = line.fields.get("predicted_ms")
    wait = f" ({predicted} ms)" if predicted else ""
    return f"{reason}{wait}{describe_circumstances(line)}"


#: What the causes of a refusal mean.
REASONS = {
    "wait-too-long": "refused, as it would have waited too long",
    "brown-out": "refused, as less urgent requests may wait only briefly now",
    "queue-full": "refused, as the queue was full and others go before it",
    "not-started": "refused, as nothing could run it until its wait was over",
}


def describe_wait(lines: Iterable[LogLine]) -> str:
    """
    Return how a request waited, from its lines; empty if it did not.

    Examples
    --------
    >>> line = LogLine("", WAITS, 5.0, {"predicted_ms": 400, "ahead": 800}, 0)
    >>> start = LogLine("", STARTS, 5.3, {}, 1)
    >>> describe_wait([line, start])
    'waited for 300 ms (400 ms predicted) behind 800 tokens'
    """
    waits = [line for line in lines if line.event == WAITS]
    if not waits:
        return ""
    first = waits[0]
    ends = [line for line in lines if line.index > first.index]
    waited = f"waited for {(ends[0].time - first.time) * 1000:.0f} ms" if ends else ""
    predicted = first.fields.get("predicted_ms")
    note = f" ({predicted} ms predicted)" if predicted is not None else ""
    return f"{waited or 'waits'}{note}{describe_circumstances(first)}"


def describe_circumstances(line: LogLine) -> str:
    """Return what a decision of a queue rested on."""
    fields = line.fields
    parts = []
    if fields.get("ahead"):
        parts.append(f" behind {fields['ahead']} tokens")
    if fields.get("waiting"):
        joint = "of" if parts else "behind"
        parts.append(f" {joint} {fields['waiting']} waiting requests")
    if fields.get("priority") is not None:
        parts.append(f", with priority {fields['priority']}")
    if fields.get("service"):
        parts.append(f", for the service {fields['service']}")
    if fields.get("peers_age_ms") is not None:
        age = fields["peers_age_ms"]
        parts.append(f"; what other gateways report was {age} ms old")
    return "".join(parts)


def find_lines_ahead(
    lines: Iterable[LogLine], request_lines: list[LogLine]
) -> list[LogLine]:
    """
    Return the lines of requests that went before a request in its queue.

    These are the requests of the same service at the same gateway that had begun to
    wait before it, were no less urgent and still waited when it was decided, and those
    that started from the queue while it waited.  The lines are in the order of the
    input, which is that of the gateway's decisions.

    Parameters
    ----------
    lines : iterable of LogLine
        Lines of all gateways.
    request_lines : list of LogLine
        Lines that name the request.
    """
    decisions = [line for line in request_lines if is_queue_decision(line)]
    if not decisions:
        return []
    first = decisions[0]
    left = next((it for it in request_lines if it.index > first.index), first)
    request, queue = first.fields.get("request"), queue_of(first)
    waiting: dict[str, LogLine] = {}
    found: list[LogLine] = []
    for line in lines:
        other = str(line.fields.get("request") or "")
        if not other or other == request or line.vm != first.vm:
            continue
        if line.index > left.index:
            break
        if line.index > first.index:
            if line.event == STARTS and queue_of(line) == queue:
                found.append(line)
        elif line.event == WAITS and queue_of(line) == queue:
            waiting[other] = line
        else:
            waiting.pop(other, None)
    urgent = [
        line for line in waiting.values() if priority_of(line) <= priority_of(first)
    ]
    started = {line.fields["request"] for line in found}
    ahead = [line for line in urgent if line.fields["request"] not in started]
    return sorted([*ahead, *found], key=lambda line: line.index)


def is_queue_decision(line: LogLine) -> bool:
    """Return whether a line says that a request waits, or that its queue refused it."""
    return line.event == WAITS or (line.event == REFUSED and "cause" in line.fields)


def queue_of(line: LogLine) -> str:
    """Return the service in whose queue a request waits."""
    return str(line.fields.get("service", ""))


def priority_of(line: LogLine) -> float:
    """Return the priority of a request; one without a valid priority is last."""
    priority = line.fields.get("priority")
    return priority if isinstance(priority, int) else float("inf")
