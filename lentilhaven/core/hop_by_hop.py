"""
Headers that concern one connection only.

References
----------
RFC 9110, section 7.6.1, "Connection".
"""

#: Headers that belong to one connection.
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
