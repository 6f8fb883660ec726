"""
Selection of the headers that the router forwards.

References
----------
RFC 9110, section 7.6.1, "Connection".
"""

from collections.abc import Iterable

from lentilhaven.core.hop_by_hop import HOP_BY_HOP

#: Headers that the router sets itself or does not forward.
ROUTER_HEADERS = frozenset(
    {"host", "content-length", "authorization", "content-encoding"}
)


def forwarded_headers(headers: Iterable[tuple[str, str]]) -> dict[str, str]:
    """
    Return the end-to-end headers, without those that the router handles itself.

    Parameters
    ----------
    headers : iterable of (str, str)
        Headers as received.

    Examples
    --------
    >>> forwarded_headers([("X-A", "1"), ("Connection", "x-b"), ("X-B", "2")])
    {'X-A': '1'}
    """
    pairs = list(headers)
    connection_options = {
        option.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for option in value.split(",")
    }
    dropped = HOP_BY_HOP | ROUTER_HEADERS | connection_options
    return {name: value for name, value in pairs if name.lower() not in dropped}
