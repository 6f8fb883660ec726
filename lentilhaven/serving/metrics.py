"""
Metrics by OpenTelemetry, for a Prometheus scrape.

Names follow the semantic conventions of OpenTelemetry where there is one.  No
attribute takes its values from callers, so that the number of series stays
bounded: there is none for a workspace, a request or a path.

References
----------
OpenTelemetry semantic conventions, "HTTP metrics".
"""

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

#: The convention is still incubating, so its name is written out here.
GEN_AI_SERVER_TIME_TO_FIRST_TOKEN = "gen_ai.server.time_to_first_token"

#: Upper bounds of the buckets of a request's duration, in seconds.
DURATION_BUCKETS = (0.005, 0.025, 0.1, 0.25, 0.5, 1, 1.9, 5, 10, 30, 60, 120)

#: Most names of events that become series of their own.
MOST_EVENTS = 200


@attrs.define
class Metrics:
    """
    The instruments of one process.

    Attributes
    ----------
    registry : prometheus_client.CollectorRegistry
        What a scrape reads.
    provider : MeterProvider
        Owns the instruments.
    meter : Meter
        Makes instruments.
    request_duration : Histogram
        Seconds of each request at the callers' listener.
    first_token : Histogram
        Seconds from a request to the first event of its stream.
    """

    registry: prometheus_client.CollectorRegistry
    provider: MeterProvider
    meter: Meter
    request_duration: Histogram
    first_token: Histogram

    def render(self) -> bytes:
        """Return the text that a Prometheus scrape reads."""
        return prometheus_client.generate_latest(self.registry)

    def observe_gauge(
        self, name: str, unit: str, description: str, read: Callable[[], float]
    ) -> None:
        """
        Add a gauge that is read at each scrape.

        Parameters
        ----------
        name, unit, description : str
            What it is.
        read : callable
            Returns its value.
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
        Add counters that are read at each scrape, one for each key.

        Parameters
        ----------
        name, description : str
            What they are.
        label : str
            Attribute that holds the key.
        read : callable
            Returns the counts.  Only the first keys become series.
        """

        def observe(_: CallbackOptions) -> Iterable[Observation]:
            names = sorted(read())[:MOST_EVENTS]
            return [Observation(read()[key], {label: key}) for key in names]

        self.meter.create_observable_counter(name, [observe], "1", description)


def make_metrics(service: str, vm: str, data_centre: str) -> Metrics:
    """
    Return the instruments of one process.

    Parameters
    ----------
    service : str
        Name of the program.
    vm : str
        Where it runs.
    data_centre : str
        Where that stands.
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
