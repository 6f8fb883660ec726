"""
Which headers cross the router.

References
----------
RFC 9110, section 7.6.1, "Connection".
"""

from collections.abc import Iterable

from lentilhaven.core.hop_by_hop import HOP_BY_HOP

#: Headers that the router sets or keeps to itself.
OWN = frozenset({"host", "content-length", "authorization", "content-encoding"})


def forwarded_headers(headers: Iterable[tuple[str, str]]) -> dict[str, str]:
    """
    Return the headers that are passed on.

    Parameters
    ----------
    headers : iterable of (str, str)
        Headers as they came in.

    Examples
    --------
    >>> forwarded_headers([("X-A", "1"), ("Connection", "x-b"), ("X-B", "2")])
    {'X-A': '1'}
    """
    pairs = list(headers)
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP | OWN | named
    return {name: value for name, value in pairs if name.lower() not in dropped}
