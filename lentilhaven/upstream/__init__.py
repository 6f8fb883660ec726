"""
HTTP/1.1 connections to endpoints.

An endpoint may answer before it has read the whole request, answer twice, end
an answer with its connection, or break off.  What follows differs in each case:
a request may be repeated only if it was certainly not run, and an answer may be
passed on as complete only if it is.  `UpstreamConnection` therefore keeps apart
what a general client folds into one error: whether any byte was written, whose
answer arrives, and whether a connection ended or was reset.  The parsing is the
library ``httptools``.
"""

from lentilhaven.upstream.connection import UpstreamConnection
from lentilhaven.upstream.connection_pool import ConnectionPool
from lentilhaven.upstream.exchange import Exchange, UpstreamError

__all__ = ["ConnectionPool", "Exchange", "UpstreamConnection", "UpstreamError"]
