"""
OpenTelemetry metrics, exported for a Prometheus scrape.

Names follow the semantic conventions of OpenTelemetry where they define one.  No
attribute takes arbitrary values from a request, so that the number of time series
stays bounded: there is no attribute for a workspace, a request or a path.

References
----------
OpenTelemetry semantic conventions, "HTTP metrics".
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import attrs
import prometheus_client
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import (
    CallbackOptions,
    Histogram,
    Meter,
    Observation,
)
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from opentelemetry.semconv.metrics.http_metrics import HTTP_SERVER_REQUEST_DURATION

#: The name is defined here because this convention is still incubating.
GEN_AI_SERVER_TIME_TO_FIRST_TOKEN = "gen_ai.server.time_to_first_token"

#: Upper bounds of the buckets of both histograms, in seconds.
DURATION_BUCKETS = (0.005, 0.025, 0.1, 0.25, 0.5, 1, 1.9, 5, 10, 30, 60, 120)

#: Maximum number of time series for each metric with counts by key.
MAX_SERIES = 200


@attrs.define
class Metrics:
    """
    The metric instruments of one process.

    Attributes
    ----------
    registry : prometheus_client.CollectorRegistry
        Registry that a scrape reads.
    provider : MeterProvider
        Owns the instruments.
    meter : Meter
        Creates instruments.
    request_duration : Histogram
        Duration of each request at the callers' listener, in seconds.
    first_token : Histogram
        Time from a request to the first event of its stream, in seconds.
    """

    registry: prometheus_client.CollectorRegistry
    provider: MeterProvider
    meter: Meter
    request_duration: Histogram
    first_token: Histogram

    def render(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self.registry)

    def observe_gauge(
        self, name: str, unit: str, description: str, read: Callable[[], float]
    ) -> None:
        """
        Add a gauge that is read at each scrape.

        Parameters
        ----------
        name, unit, description : str
            Name, unit and description of the gauge.
        read : callable
            Returns the value of the gauge.
        """

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return [Observation(read())]

        self.meter.create_observable_gauge(name, [observe], unit, description)

    def observe_counts(
        self,
        name: str,
        label: str,
        description: str,
        read: Callable[[], Mapping[str, int]],
    ) -> None:
        """
        Add a counter that is read at each scrape, with a time series for each key.

        Parameters
        ----------
        name, description : str
            Name and description of the counter.
        label : str
            Name of the attribute that holds the key.
        read : callable
            Returns the counts by key.  Only the first `MAX_SERIES` keys in sorted
            order are exported.
        """

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            keys = sorted(read())[:MAX_SERIES]
            return [Observation(read()[key], {label: key}) for key in keys]

        self.meter.create_observable_counter(name, [observe], "1", description)


def count_dropped_clients(metrics: Metrics) -> Counter[str]:
    """Return counters by cause that the listeners of a process fill."""
    counters: Counter[str] = Counter()
    metrics.observe_counts(
        "lentilhaven.clients.dropped",
        "cause",
        "Clients that were refused or closed, by cause.",
        lambda: counters,
    )
    return counters


def make_metrics(service: str, vm: str, data_centre: str) -> Metrics:
    """
    Create the metric instruments of one process.

    Parameters
    ----------
    service : str
        Name of the program.
    vm : str
        VM on which the program runs.
    data_centre : str
        Data centre of the VM.
    """
    registry = prometheus_client.CollectorRegistry()
    resource = Resource(
        {
            "service.name": service,
            "service.instance.id": vm,
            "cloud.availability_zone": data_centre,
        }
    )
    provider = MeterProvider(
        [PrometheusMetricReader(registry=registry, scope_info_enabled=False)],
        resource=resource,
        shutdown_on_exit=False,
    )
    meter = provider.get_meter("lentilhaven")
    duration = meter.create_histogram(
        HTTP_SERVER_REQUEST_DURATION,
        unit="s",
        description="Duration of requests at the callers' listener.",
        explicit_bucket_boundaries_advisory=list(DURATION_BUCKETS),
    )
    first_token = meter.create_histogram(
        GEN_AI_SERVER_TIME_TO_FIRST_TOKEN,
        unit="s",
        description="Time from a request to the first event of its stream.",
        explicit_bucket_boundaries_advisory=list(DURATION_BUCKETS),
    )
    return Metrics(registry, provider, meter, duration, first_token)
