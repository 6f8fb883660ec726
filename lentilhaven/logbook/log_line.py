"""Lines of a gateway's log."""

import json
from collections.abc import Iterable
from datetime import datetime
from typing import Any

import attrs


@attrs.frozen
class LogLine:
    """
    One line.

    Attributes
    ----------
    vm : str
        Who wrote it; empty if it does not say.
    event : str
        What happened.
    time : float
        When, by the clock of the VM, in seconds since 1970; 0 if it isn't said.
    fields : dict
        Everything that the line says.
    order : int
        Number of the line among all that were read.
    """

    vm: str
    event: str
    time: float
    fields: dict[str, Any]
    order: int


@attrs.define
class Reading:
    """
    Lines, and what could not be read.

    Attributes
    ----------
    lines : list of LogLine
        In the order of the files.
    unreadable : int
        Lines that are no JSON objects.
    dropped : int
        Lines that the writers say to have left out.
    """

    lines: list[LogLine] = attrs.field(factory=list)
    unreadable: int = 0
    dropped: int = 0


def read_lines(texts: Iterable[str]) -> Reading:
    """
    Read lines; whatever a collector wrote before the JSON object is passed over.

    Parameters
    ----------
    texts : iterable of str
        Lines of one or more logs.

    Examples
    --------
    >>> reading = read_lines(['vm-1 {"event": "stop", "vm": "vm-1"}', "garbage"])
    >>> reading.lines[0].event, reading.unreadable
    ('stop', 1)
    """
    reading = Reading()
    for order, text in enumerate(texts):
        if not text.strip():
            continue
        fields = parse(text)
        if fields is None:
            reading.unreadable += 1
            continue
        reading.dropped += int(fields.get("dropped") or 0)
        reading.lines.append(
            LogLine(
                vm=str(fields.get("vm", "")),
                event=str(fields.get("event", "")),
                time=seconds_of(str(fields.get("timestamp", ""))),
                fields=fields,
                order=order,
            )
        )
    return reading


def parse(text: str) -> dict[str, Any] | None:
    """Return the JSON object of a line, or None."""
    start = text.find("{")
    if start < 0:
        return None
    try:
        found = json.loads(text[start:])
    except ValueError:
        return None
    return found if isinstance(found, dict) else None


def seconds_of(text: str) -> float:
    """Return a time stamp in seconds since 1970, or 0 if it is none."""
    try:
        return datetime.fromisoformat(text.replace("Z", "+00:00")).timestamp()
    except ValueError:
        return 0.0
