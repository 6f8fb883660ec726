"""Response heads (status and headers) from endpoints."""

import email.utils
import math
import time
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs

from lentilhaven.core.json_numbers import is_count
from lentilhaven.platform import headers

#: Longest pause that an endpoint may ask for, in seconds.
MAX_REFUSAL_PAUSE = 3600.0


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
    leaving : bool
        Whether the endpoint is leaving the fleet.
    refusal_pause : float
        Seconds for which the endpoint wants no further requests; 0 without a refusal.
    rate_limit : float or None
        Requests per second that the endpoint takes from all gateways together; None if
        it names no limit.
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
    leaving: bool = False
    refusal_pause: float = 0.0
    rate_limit: float | None = None
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
        leaving=decode_leaving(named),
        refusal_pause=decode_refusal_pause(status, named),
        rate_limit=decode_rate_limit(fields),
        forwarded_headers=tuple(end_to_end_headers(fields)),
    )


def decode_leaving(named: Mapping[str, str]) -> bool:
    """
    Return whether the headers of an answer, by lower-case name, say "leaving".

    Examples
    --------
    >>> decode_leaving({"server-leaving": "1"}), decode_leaving({})
    (True, False)
    >>> decode_leaving({"server-leaving": "0"})
    False
    """
    return named.get(headers.SERVER_LEAVING.lower(), "").strip() not in ("", "0")


def decode_refusal_pause(
    status: int, named: Mapping[str, str], clock: Callable[[], float] = time.time
) -> float:
    """
    Return for how many seconds an endpoint that refuses wants no requests.

    Parameters
    ----------
    status : int
        Status of the answer.
    named : mapping
        Its headers by lower-case name.
    clock : callable
        Returns the Unix time in seconds, for a value that is a date.

    Returns
    -------
    float
        Zero without a pause, or if its value is invalid; `MAX_REFUSAL_PAUSE` at most.

    Examples
    --------
    >>> decode_refusal_pause(503, {"retry-after": "2.5"})
    2.5
    >>> [decode_refusal_pause(503, {"retry-after": it}) for it in ("-1", "nan", "soon")]
    [0.0, 0.0, 0.0]
    >>> decode_refusal_pause(200, {"retry-after": "2"})
    0.0
    >>> date = {"retry-after": "Thu, 01 Jan 1970 00:01:40 GMT"}
    >>> decode_refusal_pause(503, date, lambda: 90.0)
    10.0
    """
    text = named.get(headers.RETRY_AFTER.lower(), "").strip()
    if status != 503 or not text:
        return 0.0
    try:
        seconds = float(text)
    except ValueError:
        try:
            seconds = email.utils.parsedate_to_datetime(text).timestamp() - clock()
        except (ValueError, OverflowError):
            return 0.0
    if math.isnan(seconds):
        return 0.0
    return min(max(seconds, 0.0), MAX_REFUSAL_PAUSE)


def decode_rate_limit(fields: Sequence[tuple[str, str]]) -> float | None:
    """
    Return the requests per second that an endpoint takes from all gateways together.

    Parameters
    ----------
    fields : sequence of (str, str)
        Headers of its answer.

    Returns
    -------
    float or None
        None if no valid limit is named; of several, the smallest counts.

    Examples
    --------
    >>> decode_rate_limit([("Server-Limit", "6.25")])
    6.25
    >>> decode_rate_limit([("server-limit", "9, 4"), ("Server-Limit", "5")])
    4.0
    >>> [decode_rate_limit([("Server-Limit", it)]) for it in ("-1", "nan", "", "all")]
    [None, None, None, None]
    """
    limits = [
        limit
        for name, value in fields
        if name.lower() == headers.SERVER_LIMIT.lower()
        for text in value.split(",")
        if (limit := parse_rate(text)) is not None
    ]
    return min(limits, default=None)


def parse_rate(text: str) -> float | None:
    """Return a finite number that is not negative; None for any other text."""
    try:
        rate = float(text)
    except ValueError:
        return None
    return rate if 0.0 <= rate < math.inf else None


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
    >>> decode_load("3,0," + "9" * 400)
    """
    try:
        running, waiting, slots = map(int, text.split(","))
    except ValueError:
        return None
    if not all(map(is_count, (running, waiting, slots))):
        return None
    return ReportedLoad(running, waiting, slots)


def decode_keep_alive(text: str) -> float | None:
    """
    Return the timeout in a Keep-Alive header in seconds, or None without one.

    Examples
    --------
    >>> decode_keep_alive("timeout=5, max=100")
    5.0
    >>> decode_keep_alive("timeout=\N{SUPERSCRIPT TWO}")
    """
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isascii() and value.strip().isdigit():
            return float(value)
    return None
