"""
HTTP servers with limits, TLS and problem documents.

The listeners of the daemons have in common how many connections they hold, how
long a sender may take, how large a request's head may be, and what an error
looks like.  Callers, operators and the other processes of the system each have
a listener and tokens of their own; a token is refused at the other listeners.
"""

from lentilhaven.serving.guarded_serving import serve_guarded
from lentilhaven.serving.problems import bad_request, problem_document, problem_response
from lentilhaven.serving.server_limits import ServerLimits

__all__ = [
    "ServerLimits",
    "bad_request",
    "problem_document",
    "problem_response",
    "serve_guarded",
]
