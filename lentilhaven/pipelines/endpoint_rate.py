"""The most tokens per second that one endpoint can generate."""

from lentilhaven.pipelines.traffic_mix import TrafficMix
from lentilhaven.tables.accelerator import Accelerator
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.pool import Pool

#: Stands for the accelerator of an endpoint whose pool names none.
UNKNOWN = Accelerator(
    decode_rate=10_000.0,
    prefill_rate=100_000.0,
    step_overhead=0.002,
    batch_size=16,
    kv_capacity=float("inf"),
    weight_capacity=1_000_000,
)


def accelerator_of(pool: Pool, spec: EndpointSpec) -> Accelerator:
    """Return the accelerator of an endpoint, or `UNKNOWN`."""
    return pool.accelerators.get(spec.accelerator, UNKNOWN)


def token_cost(accelerator: Accelerator, size: int, mix: TrafficMix) -> float:
    """
    Return the seconds that an engine works for one generated token.

    A full batch shares the overhead of a step, and each generated token brings
    its part of the prompt along.

    Parameters
    ----------
    accelerator : Accelerator
        Kind of accelerator.
    size : int
        Number of layers that the engine holds.
    mix : TrafficMix
        Mean request.

    Examples
    --------
    >>> kind = Accelerator(1000.0, 10_000.0, 0.01, 10, 1e6, 100)
    >>> round(token_cost(kind, 10, TrafficMix(10, 10)), 6)
    0.012
    """
    decode = size / accelerator.decode_rate
    prefill = mix.prompt_ratio * size / accelerator.prefill_rate
    return decode + prefill + accelerator.step_overhead / accelerator.batch_size


def shortest_step(accelerator: Accelerator, size: int) -> float:
    """Return the seconds of a step that decodes a single token."""
    return accelerator.step_overhead + size / accelerator.decode_rate


def endpoint_rate(
    accelerator: Accelerator, size: int, mix: TrafficMix, round_trip: float
) -> float:
    """
    Return the most tokens per second that an endpoint can generate.

    Parameters
    ----------
    accelerator : Accelerator
        Kind of accelerator.
    size : int
        Number of layers that the endpoint holds.
    mix : TrafficMix
        Mean request.
    round_trip : float
        Least seconds that a token takes through any pipeline.  A stream holds
        its KV memory all the while, so that memory bounds the rate as well.

    Examples
    --------
    >>> kind = Accelerator(1000.0, 10_000.0, 0.01, 10, 400.0, 100)
    >>> round(endpoint_rate(kind, 10, TrafficMix(10, 10), 0.1), 6)
    20.0
    """
    work = 1.0 / token_cost(accelerator, size, mix)
    streams = accelerator.kv_capacity / (size * mix.total_tokens)
    return min(work, streams / round_trip)
