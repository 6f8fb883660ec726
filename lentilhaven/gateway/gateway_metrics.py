"""Metrics of a gateway, exposed for Prometheus."""

from collections import Counter
from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial

from aiohttp import web

from lentilhaven.callers.plain_listener import open_plain_listener
from lentilhaven.core.logs import get_logger
from lentilhaven.gateway.call import Call
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.serving.metrics import Metrics, make_metrics
from lentilhaven.serving.queue_metrics import make_queue_metrics

#: Port and path of the metrics, which the deploy file names too; the port is the
#: default of OpenTelemetry's Prometheus exporter.
METRICS_PORT, METRICS_PATH = 9464, "/metrics"

log = get_logger("gateway")


def make_gateway_metrics(gateway: Gateway) -> Metrics:
    """
    Return the instruments of a gateway.

    The labels are kinds of routes, services and status codes, so that the number of
    time series grows neither with callers nor with routes.

    Parameters
    ----------
    gateway : Gateway
        Gateway whose state is observed.
    """
    settings = gateway.settings
    metrics = make_metrics("lentilhaven-gateway", settings.vm, settings.data_centre)
    metrics.observe_counts(
        "lentilhaven.events",
        "event",
        "Events of this process since its start, by name.",
        lambda: dict(gateway.counters),
    )
    gauges: Mapping[str, tuple[str, str]] = {
        "lentilhaven.requests.active": ("{request}", "Requests under way."),
        "lentilhaven.connections.opened": ("{connection}", "Connections opened."),
        "lentilhaven.manifest.version": ("1", "Manifest in force."),
        "lentilhaven.endpoints.known": ("{endpoint}", "Endpoints that are known."),
        "lentilhaven.gateways.known": ("{gateway}", "Gateways, this one included."),
    }
    for name, (unit, description) in gauges.items():
        read = partial(read_gauge, gateway, name)
        metrics.observe_gauge(name, unit, description, read)
    gateway.queue_metrics = make_queue_metrics(
        metrics, partial(count_waiting, gateway), lambda: gateway.counters
    )
    return metrics


def count_waiting(gateway: Gateway) -> Counter[int]:
    """Return the number of requests that wait at this gateway, by priority."""
    counts: Counter[int] = Counter()
    for state in gateway.queue_states().values():
        for priority, (count, _) in state.waiting.items():
            counts[priority] += count
    return counts


def read_gauge(gateway: Gateway, name: str) -> float:
    """Return the current value of a gauge."""
    manifest = gateway.view.manifest
    values = {
        "lentilhaven.requests.active": gateway.active,
        "lentilhaven.connections.opened": gateway.pool.opened,
        "lentilhaven.manifest.version": manifest.version if manifest else 0,
        "lentilhaven.endpoints.known": len(gateway.view.endpoints),
        "lentilhaven.gateways.known": gateway.peers.count_gateways(
            gateway.clock.monotonic()
        ),
    }
    return float(values[name])


def record_request(gateway: Gateway, call: Call, status: int, seconds: float) -> None:
    """Record the duration of a request."""
    if gateway.metrics is not None:
        labels = {
            "lentilhaven.route.kind": call.route.kind.value,
            "lentilhaven.service": call.service,
            "http.response.status_code": status,
        }
        gateway.metrics.request_duration.record(seconds, labels)


def record_first_event(gateway: Gateway, call: Call, seconds: float) -> None:
    """Record the time to the first event of a stream."""
    if gateway.metrics is not None:
        gateway.metrics.first_token.record(
            seconds, {"lentilhaven.service": call.service}
        )


@asynccontextmanager
async def open_metrics_listener(gateway: Gateway) -> AsyncIterator[None]:
    """
    Serve the metrics until the context ends.

    If the listener can't be opened, for example because the port is in use, the
    error is logged and the gateway runs without serving metrics.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    """
    metrics = gateway.metrics = make_gateway_metrics(gateway)

    async def handle(request: web.BaseRequest) -> web.Response:
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        return web.Response(body=metrics.render(), content_type="text/plain")

    address, share = gateway.settings.address, gateway.connections
    async with AsyncExitStack() as stack:
        listener = open_plain_listener(handle, address, METRICS_PORT, share)
        try:
            await stack.enter_async_context(listener)
        except OSError as error:
            log.error("metrics are not served", port=METRICS_PORT, detail=str(error))
        yield
