"""
What is known of the request that the current task works on.

The listener binds it at the start; log lines carry it, and clients of the
endpoints pass the trace on.

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

TRACEPARENT_FORM = re.compile(
    r"(?!ff)[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}"
)


def bind_request(request: RequestId, traceparent: str) -> None:
    """
    Tell the current task, and those that it starts, which request it is for.

    Parameters
    ----------
    request : str
        The request.
    traceparent : str
        The caller's ``traceparent``; dropped if it is malformed.

    Examples
    --------
    >>> bind_request("r1", "garbage")
    >>> REQUEST_ID.get(), TRACEPARENT.get()
    ('r1', '')
    """
    REQUEST_ID.set(request)
    valid = TRACEPARENT_FORM.fullmatch(traceparent)
    TRACEPARENT.set(traceparent if valid else "")
    clear_contextvars()
    bind_contextvars(request=request)


def current_request(source: random.Random) -> RequestId:
    """
    Return the id of the current request, or a new one outside of a request.

    Parameters
    ----------
    source : random.Random
        Source of chance.
    """
    return REQUEST_ID.get() or new_request_id(source)


def new_request_id(source: random.Random) -> RequestId:
    """
    Return a random id.

    Parameters
    ----------
    source : random.Random
        Source of chance.

    Examples
    --------
    >>> new_request_id(random.Random(1))
    'cd613e30d8f14adf91b7584a2265b1f5'
    """
    return RequestId(uuid.UUID(int=source.getrandbits(128), version=4).hex)
