"""
Middleware and signal handlers that measure requests.

References
----------
OpenTelemetry semantic conventions, "HTTP server" metrics.
"""

import time
from collections.abc import Awaitable, Callable

from aiohttp import web

from lentilhaven.serving.metrics import Metrics

#: Key under which a request stores its start time.
START_TIME_KEY = "began_at"

#: Content type of a stream of server-sent events.
EVENT_STREAM = "text/event-stream"

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

#: Methods that are recorded by name; any other method is recorded as ``_OTHER``.
KNOWN_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})


def measure_requests(metrics: Metrics) -> Callable:
    """
    Return a middleware that records the duration of each request.

    The route is the template of the path and is empty for an unknown path, so that
    callers can't create time series.

    Parameters
    ----------
    metrics : Metrics
        Metric instruments of the process.
    """

    @web.middleware
    async def measure(request: web.Request, handler: Handler) -> web.StreamResponse:
        start_time = time.monotonic()
        request[START_TIME_KEY] = start_time
        # Recorded if the handler raises an exception, as when the client disconnects.
        status = 499
        try:
            response = await handler(request)
            status = response.status
            return response
        finally:
            duration = time.monotonic() - start_time
            attributes = describe_request(request) | {
                "http.response.status_code": status
            }
            metrics.request_duration.record(duration, attributes)

    return measure


def describe_request(request: web.Request) -> dict[str, str | int]:
    """Return the metric attributes of a request."""
    method = request.method if request.method in KNOWN_METHODS else "_OTHER"
    resource = request.match_info.route.resource
    route = resource.canonical if resource is not None else ""
    return {"http.request.method": method, "http.route": route}


def measure_first_token(metrics: Metrics) -> Callable:
    """
    Return a handler that records the time from a request to its stream's first event.

    It is meant for the signal `on_response_prepare`: a stream's response is prepared
    when its first event is sent, never earlier.

    Parameters
    ----------
    metrics : Metrics
        Metric instruments of the process.
    """

    async def measure(request: web.Request, response: web.StreamResponse) -> None:
        if response.content_type == EVENT_STREAM and START_TIME_KEY in request:
            duration = time.monotonic() - request[START_TIME_KEY]
            metrics.first_token.record(duration, describe_request(request))

    return measure
