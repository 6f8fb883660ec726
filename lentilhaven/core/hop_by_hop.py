"""
Hop-by-hop header fields of HTTP.

References
----------
RFC 9110, section 7.6.1, "Connection".
"""

#: Header fields that apply to a single connection and are never forwarded.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
