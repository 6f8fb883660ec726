"""What the logs of gateways of two versions must say of each other."""

import datetime
import json
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import attrs

from lentilhaven.bench.soak.soak_checks import Findings

#: Seconds after the start of a gateway within which it must have found each other one.
FIND_TIME = 4.0

#: Seconds after a gateway was down for which others may find it silent.
SILENCE_SLACK = 3.0

#: Seconds within which a gateway must learn of a replica that was registered.
LEARN_TIME = 2.0

#: Events that a gateway logs only because of a defect or of input that it can't read.
DEFECTS = (
    "background task failed",
    "request failed here",
    "manifest can't be read",
    "settings can't be read; the old ones stay",
)


@attrs.frozen
class LogLine:
    """
    A line of a gateway's log.

    Attributes
    ----------
    at : float
        Unix time, in seconds.
    fields : dict
        Fields of the line.
    """

    at: float
    fields: dict[str, Any]


@attrs.frozen
class Life:
    """
    One process of a gateway.

    Attributes
    ----------
    gateway : str
        Name of the gateway's VM.
    program : str
        Name of the version that it ran.
    began, ended : float
        Unix times of its start and of the signal that ended it, in seconds.
    """

    gateway: str
    program: str
    began: float
    ended: float

    def covers(self, since: float, until: float) -> bool:
        """Return whether the process ran between two times."""
        return self.began <= since and self.ended >= until

    def __str__(self) -> str:
        """Return the gateway and its version."""
        return f"{self.gateway} ({self.program})"


def read_log(path: Path) -> tuple[list[LogLine], list[str]]:
    """
    Return the lines of a log, and those that are no JSON objects.

    The line that a killed process could not finish is among the latter.
    """
    lines, others = [], []
    for text in path.read_text(errors="replace").splitlines():
        try:
            fields = json.loads(text)
            at = datetime.datetime.fromisoformat(fields["timestamp"]).timestamp()
        except (ValueError, KeyError, TypeError):
            others.append(text)
            continue
        lines.append(LogLine(at, fields))
    return lines, others


def lines_of(life: Life, lines: Sequence[LogLine]) -> list[LogLine]:
    """Return the lines of a gateway's log until its process was told to end."""
    return [it for it in lines if life.began <= it.at < life.ended]


def check_found(
    life: Life, lines: Sequence[LogLine], lives: Sequence[Life], findings: Findings
) -> None:
    """
    Check that a process has found each gateway that ran when it started.

    It finds another gateway by a datagram that it can read.

    Parameters
    ----------
    life : Life
        The process.
    lines : sequence of LogLine
        Lines of the process.
    lives : sequence of Life
        Processes of all gateways.
    findings : Findings
        Receives the violations.
    """
    since, until = life.began, life.began + FIND_TIME
    if life.ended < until:
        return
    found = {
        it.fields.get("peer")
        for it in lines
        if it.fields.get("event") == "gateway found" and it.at <= until
    }
    for peer in lives:
        if (
            peer.gateway != life.gateway
            and peer.covers(since, until)
            and peer.gateway not in found
        ):
            findings.add("gateway found", f"{life} has not found {peer}")


def check_silences(
    life: Life, lines: Sequence[LogLine], lives: Sequence[Life], findings: Findings
) -> None:
    """
    Check that a process found others silent only when they were down.

    Parameters are those of `check_found`.
    """
    for line in lines:
        if line.fields.get("event") != "gateway silent":
            continue
        since = line.at - SILENCE_SLACK
        for peer in lives:
            # A process that has just started may not have sent anything yet.
            if peer.gateway == line.fields.get("peer") and peer.covers(since, line.at):
                findings.add("gateway silent", f"{life} has not heard {peer}")


def check_learned(
    life: Life,
    lines: Sequence[LogLine],
    joined_at: Mapping[str, float],
    findings: Findings,
) -> None:
    """
    Check that a process has learned of new replicas in time.

    Parameters
    ----------
    life : Life
        The process.
    lines : sequence of LogLine
        Lines of the process.
    joined_at : mapping
        Unix time at which each replica was registered, in seconds, by id.
    findings : Findings
        Receives the violations.
    """
    for replica, at in joined_at.items():
        until = at + LEARN_TIME
        if life.covers(at, until) and not any(
            it.fields.get("event") == "endpoint changed"
            and it.fields.get("endpoint") == replica
            and it.at <= until
            for it in lines
        ):
            findings.add("new replica", f"{life} has not learned of {replica}")


def check_defects(life: Life, lines: Sequence[LogLine], findings: Findings) -> None:
    """Check that a process has logged no defect and no unreadable input."""
    for line in lines:
        if line.fields.get("event") in DEFECTS:
            findings.add("defect", f"{life} logged {json.dumps(line.fields)}")
