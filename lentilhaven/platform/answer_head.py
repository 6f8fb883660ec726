"""Heads of answers from endpoints."""

from collections.abc import Iterable, Sequence

import attrs

from lentilhaven.platform import headers


@attrs.frozen
class ReportedLoad:
    """
    What an endpoint says of its load.

    Attributes
    ----------
    running, waiting, slots : int
        Requests that run and wait, and requests that can run.
    """

    running: int
    waiting: int
    slots: int


@attrs.frozen
class AnswerHead:
    """
    What the head of an endpoint's answer says.

    Attributes
    ----------
    status : int
        Status code.
    request_id : str
        The request that it answers.
    not_executed : bool
        Whether the endpoint promises that the request has not run.
    at_fault : str
        Address of the part of the chain that refused; empty if none is named.
    weights : str
        Version of the weights; empty if it isn't given.
    load : ReportedLoad or None
        The endpoint's load.
    keep_alive : float or None
        Seconds after which the endpoint closes the connection if it is idle.
    closes : bool
        Whether the endpoint closes the connection after this answer.
    passed_on : tuple of (str, str)
        Headers that go on to the caller as they are.
    """

    status: int
    request_id: str
    not_executed: bool = False
    at_fault: str = ""
    weights: str = ""
    load: ReportedLoad | None = None
    keep_alive: float | None = None
    closes: bool = False
    passed_on: tuple[tuple[str, str], ...] = ()


def decode_answer_head(status: int, fields: Sequence[tuple[str, str]]) -> AnswerHead:
    """
    Decode the head of an answer.

    Parameters
    ----------
    status : int
        Status code.
    fields : sequence of (str, str)
        Headers in the order of their arrival.
    """
    named = {name.lower(): value for name, value in fields}
    return AnswerHead(
        status=status,
        request_id=named.get(headers.REQUEST_ID.lower(), ""),
        not_executed=headers.NOT_EXECUTED.lower() in named or status == 421,
        at_fault=named.get(headers.AT_SERVER.lower(), ""),
        weights=named.get(headers.WEIGHT_VERSIONS.lower(), ""),
        load=decode_load(named.get(headers.REPLICA_LOAD.lower(), "")),
        keep_alive=decode_keep_alive(named.get("keep-alive", "")),
        closes="close" in named.get("connection", "").lower(),
        passed_on=tuple(keep_end_to_end(fields)),
    )


def keep_end_to_end(
    fields: Sequence[tuple[str, str]],
) -> Iterable[tuple[str, str]]:
    """Yield the headers that go on to the caller."""
    return (
        (name, value)
        for name, value in fields
        if name.lower() not in headers.OWN_ANSWER_HEADERS
    )


def decode_load(text: str) -> ReportedLoad | None:
    """
    Decode the load header.

    Examples
    --------
    >>> decode_load("3,0,8")
    ReportedLoad(running=3, waiting=0, slots=8)
    >>> decode_load("many")
    """
    try:
        running, waiting, slots = (int(part) for part in text.split(","))
    except ValueError:
        return None
    return ReportedLoad(running, waiting, slots)


def decode_keep_alive(text: str) -> float | None:
    """
    Return the idle timeout that a Keep-Alive header states, in seconds.

    Examples
    --------
    >>> decode_keep_alive("timeout=5, max=100")
    5.0
    """
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.strip().isdigit():
            return float(value)
    return None
