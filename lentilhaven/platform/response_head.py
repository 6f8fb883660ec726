"""Response heads (status and headers) from endpoints."""

from collections.abc import Iterable, Sequence

import attrs

from lentilhaven.platform import headers


@attrs.frozen
class ReportedLoad:
    """
    Load that an endpoint reports in a response.

    Attributes
    ----------
    running, waiting, slots : int
        Number of requests that run, that are queued, and that can run
        concurrently.
    """

    running: int
    waiting: int
    slots: int


@attrs.frozen
class ResponseHead:
    """
    Decoded head of an endpoint's response.

    Attributes
    ----------
    status : int
        Status code.
    request_id : str
        Id of the request that the response answers; empty if the head names none.
    not_executed : bool
        Whether the endpoint guarantees that the request has not run.
    failed_address : str
        Address of the part of the chain that refused; empty if none is named.
    weights_version : str
        Version of the model weights; empty if the head names none.
    load : ReportedLoad or None
        Load of the endpoint; None if the head states none.
    keep_alive : float or None
        Seconds after which the endpoint closes an idle connection; None if the
        head does not say.
    closes_connection : bool
        Whether the endpoint closes the connection after this response.
    forwarded_headers : tuple of (str, str)
        Headers that are forwarded unchanged to the caller.
    """

    status: int
    request_id: str
    not_executed: bool = False
    failed_address: str = ""
    weights_version: str = ""
    load: ReportedLoad | None = None
    keep_alive: float | None = None
    closes_connection: bool = False
    forwarded_headers: tuple[tuple[str, str], ...] = ()


def decode_response_head(
    status: int, fields: Sequence[tuple[str, str]]
) -> ResponseHead:
    """
    Decode the head of a response.

    Parameters
    ----------
    status : int
        Status code.
    fields : sequence of (str, str)
        Headers in the order of their arrival; of a repeated one, the last counts.
    """
    named = {name.lower(): value for name, value in fields}
    # Status 421 (Misdirected Request) means that another replica got the request.
    return ResponseHead(
        status=status,
        request_id=named.get(headers.REQUEST_ID.lower(), ""),
        not_executed=headers.NOT_EXECUTED.lower() in named or status == 421,
        failed_address=named.get(headers.AT_SERVER.lower(), ""),
        weights_version=named.get(headers.WEIGHT_VERSIONS.lower(), ""),
        load=decode_load(named.get(headers.REPLICA_LOAD.lower(), "")),
        keep_alive=decode_keep_alive(named.get("keep-alive", "")),
        closes_connection="close" in named.get("connection", "").lower(),
        forwarded_headers=tuple(end_to_end_headers(fields)),
    )


def end_to_end_headers(
    fields: Sequence[tuple[str, str]],
) -> Iterable[tuple[str, str]]:
    """Return the headers that are forwarded unchanged to the caller."""
    return (
        (name, value)
        for name, value in fields
        if name.lower() not in headers.UNFORWARDED_RESPONSE_HEADERS
    )


def decode_load(text: str) -> ReportedLoad | None:
    """
    Decode the load header; return None if it is missing or malformed.

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
    Return the timeout in a Keep-Alive header in seconds, or None without one.

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
