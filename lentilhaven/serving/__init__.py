"""
HTTP servers with limits, TLS and problem documents.

All listeners of the daemons limit the number of open connections, the time that a
client may take to send a request and the size of a request's head, and report
errors in the same format.  Callers, operators and the other processes of the
system each have a separate listener and separate tokens; a token is rejected at
the other listeners.
"""

from lentilhaven.serving.limited_server import serve_with_limits
from lentilhaven.serving.problems import bad_request, problem_document, problem_response
from lentilhaven.serving.server_limits import ServerLimits

__all__ = [
    "ServerLimits",
    "bad_request",
    "problem_document",
    "problem_response",
    "serve_with_limits",
]
