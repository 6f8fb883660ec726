"""
Context variables of the request that the current task handles.

The listener binds them at the start of a request.  Log lines contain the request's
id, and the clients of endpoints forward its trace context.

References
----------
W3C Trace Context, section 3.2, "Traceparent Header".
"""

import random
import re
import uuid
from contextvars import ContextVar

from structlog.contextvars import bind_contextvars, clear_contextvars

from lentilhaven.core.ids import RequestId

REQUEST_ID: ContextVar[RequestId | None] = ContextVar("request_id", default=None)
TRACEPARENT: ContextVar[str] = ContextVar("traceparent", default="")

#: Matches a valid ``traceparent`` header; the standard forbids version ``ff``.
TRACEPARENT_PATTERN = re.compile(
    r"(?!ff)[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}"
)


def bind_request(request: RequestId, traceparent: str) -> None:
    """
    Bind a request to the current task and to the tasks that it starts.

    All `structlog` context variables that were bound earlier are removed.

    Parameters
    ----------
    request : str
        Id of the request.
    traceparent : str
        The caller's ``traceparent`` header; ignored if it is malformed.

    Examples
    --------
    >>> bind_request("r1", "garbage")
    >>> REQUEST_ID.get(), TRACEPARENT.get()
    ('r1', '')
    """
    REQUEST_ID.set(request)
    valid = TRACEPARENT_PATTERN.fullmatch(traceparent)
    TRACEPARENT.set(traceparent if valid else "")
    clear_contextvars()
    bind_contextvars(request=request)


def current_request(rng: random.Random) -> RequestId:
    """
    Return the id of the current request, or a new id outside of a request.

    A new id is not bound, so each call outside of a request returns another one.

    Parameters
    ----------
    rng : random.Random
        Random number generator.
    """
    return REQUEST_ID.get() or new_request_id(rng)


def new_request_id(rng: random.Random) -> RequestId:
    """
    Return a random request id.

    Parameters
    ----------
    rng : random.Random
        Random number generator.

    Examples
    --------
    >>> new_request_id(random.Random(1))
    'cd613e30d8f14adf91b7584a2265b1f5'
    """
    return RequestId(uuid.UUID(int=rng.getrandbits(128), version=4).hex)
