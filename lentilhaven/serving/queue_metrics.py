"""
Metrics of requests that wait, are refused or leave their data centre.

A request's workspace is no attribute, and neither is its id: the number of time series
is bounded by the numbers of priorities, causes and data centres.
"""

from collections.abc import Callable, Mapping

import attrs
from opentelemetry.metrics import CallbackOptions, Histogram, Observation

from lentilhaven.serving.metrics import Metrics

#: Number of the most urgent priorities that have time series of their own.
MAX_PRIORITIES = 8

#: Attribute value of all other priorities.
OTHER_PRIORITIES = "other"

#: Upper bounds of the buckets of waits, in seconds: callers' targets and pauses lie
#: between 0.2 and 1.2 s.
WAIT_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.2, 2.5, 5, 10)

PRIORITY = "lentilhaven.priority"
CAUSE = "lentilhaven.cause"
DATA_CENTRE = "lentilhaven.data_centre"

#: Prefixes of the names of events that count refusals and requests sent away.
REFUSED = "refused: "
SENT_AWAY = "sent to another data centre: "


@attrs.define
class QueueMetrics:
    """
    The instruments of requests that wait or leave their data centre.

    Attributes
    ----------
    wait : Histogram
        Time for which a request has waited before its start, in seconds.
    """

    wait: Histogram

    def record_wait(self, priority: int, seconds: float) -> None:
        """Record for how long a request has waited before its start."""
        self.wait.record(seconds, {PRIORITY: priority_label(priority)})


def make_queue_metrics(
    metrics: Metrics,
    waiting: Callable[[], Mapping[int, int]],
    events: Callable[[], Mapping[str, int]],
) -> QueueMetrics:
    """
    Add the instruments to those of a process.

    Parameters
    ----------
    metrics : Metrics
        The instruments of the process.
    waiting : callable
        Returns the number of waiting requests by priority.
    events : callable
        Returns the number of events by name; those that begin with `REFUSED` or
        `SENT_AWAY` are counted.
    """

    def observe_length(_: CallbackOptions) -> list[Observation]:
        lengths: dict[str, int] = {}
        for priority, count in waiting().items():
            label = priority_label(priority)
            lengths[label] = lengths.get(label, 0) + count
        return [Observation(it, {PRIORITY: key}) for key, it in lengths.items()]

    metrics.meter.create_observable_gauge(
        "lentilhaven.queue.length",
        [observe_length],
        "{request}",
        "Requests that wait, by priority.",
    )
    counters = {
        "lentilhaven.requests.refused": (REFUSED, CAUSE, "Refused requests, by cause."),
        "lentilhaven.requests.sent_away": (
            SENT_AWAY,
            DATA_CENTRE,
            "Requests sent to endpoints of another data centre, by that data centre.",
        ),
    }
    for name, (prefix, label, description) in counters.items():
        metrics.observe_counts(name, label, description, prefixed(events, prefix))
    return QueueMetrics(
        metrics.meter.create_histogram(
            "lentilhaven.queue.wait",
            unit="s",
            description="Wait of requests before their start, by priority.",
            explicit_bucket_boundaries_advisory=list(WAIT_BUCKETS),
        )
    )


def prefixed(
    events: Callable[[], Mapping[str, int]], prefix: str
) -> Callable[[], dict[str, int]]:
    """
    Return a callable for the counts of the events that begin with a prefix.

    Examples
    --------
    >>> prefixed(lambda: {"refused: no-route": 2, "waits": 1}, "refused: ")()
    {'no-route': 2}
    """
    return lambda: {
        name.removeprefix(prefix): count
        for name, count in list(events().items())
        if name.startswith(prefix)
    }


def priority_label(priority: int) -> str:
    """
    Return the attribute value of a priority; few, whatever the manifest names.

    Examples
    --------
    >>> priority_label(0), priority_label(7), priority_label(8), priority_label(-1)
    ('0', '7', 'other', 'other')
    """
    if 0 <= priority < MAX_PRIORITIES:
        return str(priority)
    return OTHER_PRIORITIES
