"""
Measures requests.

References
----------
OpenTelemetry semantic conventions, "HTTP server" metrics.
"""

import time
from collections.abc import Awaitable, Callable

from aiohttp import web

from lentilhaven.serving.metrics import Metrics

#: Name under which a request remembers when it began.
BEGAN = "began_at"

#: Content type of a stream of events.
EVENT_STREAM = "text/event-stream"

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

#: Methods that are told apart; any other is ``_OTHER``.
METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})


def measure_requests(metrics: Metrics) -> Callable:
    """
    Return a middleware that records the duration of each request.

    The route is the template of its path, and an unknown path has none, so that
    callers can't make series.

    Parameters
    ----------
    metrics : Metrics
        Instruments.
    """

    @web.middleware
    async def measure(request: web.Request, handler: Handler) -> web.StreamResponse:
        began = time.monotonic()
        request[BEGAN] = began
        status = 499
        try:
            response = await handler(request)
            status = response.status
            return response
        finally:
            taken = time.monotonic() - began
            labels = describe_request(request) | {"http.response.status_code": status}
            metrics.request_duration.record(taken, labels)

    return measure


def describe_request(request: web.Request) -> dict[str, str | int]:
    """Return the attributes of a request."""
    method = request.method if request.method in METHODS else "_OTHER"
    resource = request.match_info.route.resource
    route = resource.canonical if resource is not None else ""
    return {"http.request.method": method, "http.route": route}


def measure_first_token(metrics: Metrics) -> Callable:
    """
    Return a signal handler that records when a stream's first event is sent.

    A stream's response is prepared with its first event, never before.

    Parameters
    ----------
    metrics : Metrics
        Instruments.
    """

    async def measure(request: web.Request, response: web.StreamResponse) -> None:
        if response.content_type == EVENT_STREAM and BEGAN in request:
            taken = time.monotonic() - request[BEGAN]
            metrics.first_token.record(taken, describe_request(request))

    return measure
