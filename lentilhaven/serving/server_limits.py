"""Limits of an HTTP listener."""

import attrs

from lentilhaven.core.validators import within


@attrs.frozen
class ServerLimits:
    """
    Limits that apply to every connection from the moment it is opened.

    Attributes
    ----------
    max_connections : int
        Maximum number of open connections; a further one gets a 503 and is closed.
    head_timeout : float
        Maximum time from the start of a connection to the end of the first
        request's head, in seconds.
    body_timeout : float
        Maximum time until a request's body has arrived, in seconds.
    idle_timeout : float
        Time after which a connection without a request is closed, in seconds.
    max_head_line : int
        Maximum length of the request line or a header field, in bytes.
    max_headers : int
        Maximum number of header fields in one request.
    max_head_bytes : int
        Maximum size of a request's head, and of bytes around a body such as trailers,
        in bytes.
    max_held_bytes : int
        Bytes that all connections hold at most of requests that are not read and of
        answers that are not sent; above it, the ones that hold most are closed.
    """

    max_connections: int = attrs.field(default=4096, validator=within(1, 1_000_000))
    head_timeout: float = attrs.field(default=10.0, validator=within(0.01, 3600))
    body_timeout: float = attrs.field(default=30.0, validator=within(0.01, 3600))
    idle_timeout: float = attrs.field(default=75.0, validator=within(0.01, 86_400))
    max_head_line: int = attrs.field(default=8190, validator=within(256, 65_536))
    max_headers: int = attrs.field(default=100, validator=within(8, 1000))
    max_head_bytes: int = attrs.field(default=65_536, validator=within(256, 1_000_000))
    max_held_bytes: int = attrs.field(
        default=32_000_000, validator=within(100_000, 1_000_000_000_000)
    )
