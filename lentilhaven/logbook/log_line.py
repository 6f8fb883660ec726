"""Parsing of gateway log lines."""

import json
from collections.abc import Iterable
from datetime import datetime
from typing import Any

import attrs


@attrs.frozen
class LogLine:
    """
    One parsed line of a log.

    Attributes
    ----------
    vm : str
        VM that wrote the line; empty if the line does not name it.
    event : str
        Event text of the line.
    time : float
        Timestamp by the clock of the VM, in seconds since 1970; 0 if the line has no
        valid timestamp.
    fields : dict
        All fields of the line.
    index : int
        Position among all input lines, from 0.
    """

    vm: str
    event: str
    time: float
    fields: dict[str, Any]
    index: int


@attrs.define
class ParsedLog:
    """
    Parsed lines, and counts of unreadable and dropped lines.

    Attributes
    ----------
    lines : list of LogLine
        Parsed lines, in the order of the input.
    unreadable : int
        Number of lines for which `parse_json_object` returns None; blank lines do not
        count.
    dropped : int
        Number of lines that the writers report as dropped.
    """

    lines: list[LogLine] = attrs.field(factory=list)
    unreadable: int = 0
    dropped: int = 0


def read_lines(texts: Iterable[str]) -> ParsedLog:
    """
    Parse log lines.

    Blank lines and text before the JSON object, such as a prefix that a log collector
    adds, are ignored.

    Parameters
    ----------
    texts : iterable of str
        Lines of one or more logs.

    Examples
    --------
    >>> log = read_lines(['vm-1 {"event": "stop", "vm": "vm-1"}', "garbage"])
    >>> log.lines[0].event, log.unreadable
    ('stop', 1)
    """
    log = ParsedLog()
    for index, text in enumerate(texts):
        if not text.strip():
            continue
        fields = parse_json_object(text)
        if fields is None:
            log.unreadable += 1
            continue
        log.dropped += int(fields.get("dropped") or 0)
        log.lines.append(
            LogLine(
                vm=str(fields.get("vm", "")),
                event=str(fields.get("event", "")),
                time=parse_timestamp(str(fields.get("timestamp", ""))),
                fields=fields,
                index=index,
            )
        )
    return log


def parse_json_object(text: str) -> dict[str, Any] | None:
    """
    Return the JSON object that extends from the first ``{`` to the end of a line.

    Returns None if there is no ``{`` or the text from there is not valid JSON.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        document = json.loads(text[start:])
    except ValueError:
        return None
    return document if isinstance(document, dict) else None


def parse_timestamp(text: str) -> float:
    """Convert an ISO 8601 timestamp to seconds since 1970; 0 if it is invalid."""
    try:
        return datetime.fromisoformat(text.replace("Z", "+00:00")).timestamp()
    except ValueError:
        return 0.0
