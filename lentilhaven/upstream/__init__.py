"""
HTTP/1.1 connections to endpoints.

An endpoint may respond before it has read the whole request, respond twice, mark
the end of a response by closing the connection, or stop in the middle of one.  A
request may be retried only if it has certainly not run, and a response may be
forwarded as complete only if it is.  `UpstreamConnection` therefore distinguishes
cases that a general HTTP client reports as one error: whether any byte of the
request was written, which request a response belongs to, and whether the
connection was closed or reset.  The library ``httptools`` parses responses.
"""

from lentilhaven.upstream.connection import UpstreamConnection
from lentilhaven.upstream.connection_pool import ConnectionPool
from lentilhaven.upstream.exchange import Exchange, UpstreamError

__all__ = ["ConnectionPool", "Exchange", "UpstreamConnection", "UpstreamError"]
