"""Upper bound on the token rate of one endpoint."""

from lentilhaven.pipelines.traffic_mix import TrafficMix
from lentilhaven.tables.accelerator import Accelerator
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.pool import Pool

#: Accelerator assumed for an endpoint whose pool does not define one for it.
DEFAULT_ACCELERATOR = Accelerator(
    decode_rate=10_000.0,
    prefill_rate=100_000.0,
    step_overhead=0.002,
    batch_size=16,
    kv_capacity=float("inf"),
    weight_capacity=1_000_000,
)


def accelerator_of(pool: Pool, spec: EndpointSpec) -> Accelerator:
    """Return the accelerator of an endpoint, `DEFAULT_ACCELERATOR` if undefined."""
    return pool.accelerators.get(spec.accelerator, DEFAULT_ACCELERATOR)


def token_cost(accelerator: Accelerator, layer_count: int, mix: TrafficMix) -> float:
    """
    Return the processing time of an engine per generated token, in seconds.

    The streams of a full batch share the overhead of a step.  The cost of prefill
    is spread over the generated tokens.

    Parameters
    ----------
    accelerator : Accelerator
        Accelerator of the engine.
    layer_count : int
        Number of layers that the engine holds.
    mix : TrafficMix
        Mean request lengths.

    Examples
    --------
    >>> accelerator = Accelerator(1000.0, 10_000.0, 0.01, 10, 1e6, 100)
    >>> round(token_cost(accelerator, 10, TrafficMix(10, 10)), 6)
    0.012
    """
    decode = layer_count / accelerator.decode_rate
    prefill = mix.prompt_ratio * layer_count / accelerator.prefill_rate
    return decode + prefill + accelerator.step_overhead / accelerator.batch_size


def min_step_time(accelerator: Accelerator, layer_count: int) -> float:
    """Return the duration of a step that decodes a single token, in seconds."""
    return accelerator.step_overhead + layer_count / accelerator.decode_rate


def endpoint_rate(
    accelerator: Accelerator, layer_count: int, mix: TrafficMix, round_trip: float
) -> float:
    """
    Return the highest rate of an endpoint, in generated tokens per second.

    Parameters
    ----------
    accelerator : Accelerator
        Accelerator of the endpoint.
    layer_count : int
        Number of layers that the endpoint holds.
    mix : TrafficMix
        Mean request lengths.
    round_trip : float
        Shortest time of a token through any pipeline, in seconds.  A stream
        holds its KV memory for at least that time per generated token, so that KV
        memory limits the rate as well.

    Examples
    --------
    >>> accelerator = Accelerator(1000.0, 10_000.0, 0.01, 10, 400.0, 100)
    >>> round(endpoint_rate(accelerator, 10, TrafficMix(10, 10), 0.1), 6)
    20.0
    """
    compute_rate = 1.0 / token_cost(accelerator, layer_count, mix)
    max_streams = accelerator.kv_capacity / (layer_count * mix.total_tokens)
    return min(compute_rate, max_streams / round_trip)
