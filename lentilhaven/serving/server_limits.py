"""Limits of a listener."""

import attrs

from lentilhaven.core.ranges import within


@attrs.frozen
class ServerLimits:
    """
    Limits that hold for every connection from its start.

    Attributes
    ----------
    max_connections : int
        Most open connections; a further one is answered with 503 and closed.
    head_timeout : float
        Seconds from the start of a connection to the end of the first head.
    body_timeout : float
        Seconds in which a request's body must have arrived.
    idle_timeout : float
        Seconds after which a connection without a request is closed.
    max_head_line : int
        Longest request line or header field, in bytes.
    max_headers : int
        Most header fields of one request.
    """

    max_connections: int = attrs.field(default=4096, validator=within(1, 1_000_000))
    head_timeout: float = attrs.field(default=10.0, validator=within(0.01, 3600))
    body_timeout: float = attrs.field(default=30.0, validator=within(0.01, 3600))
    idle_timeout: float = attrs.field(default=75.0, validator=within(0.01, 86_400))
    max_head_line: int = attrs.field(default=8190, validator=within(256, 65_536))
    max_headers: int = attrs.field(default=100, validator=within(8, 1000))
