"""Metrics of the responses of a run."""

from collections.abc import Callable, Iterable, Sequence

from lentilhaven.bench.policy.policy_run import PolicyRun
from lentilhaven.bench.policy.request_record import RequestRecord
from lentilhaven.bench.quantiles import quantile

#: Quantile of responses or tokens to which the latency targets apply.
TARGET_QUANTILE = 0.95


def token_rate(run: PolicyRun, begin: float, end: float) -> float:
    """
    Return the generated tokens per second that all routers received.

    Parameters
    ----------
    run : PolicyRun
        Run to measure.
    begin, end : float
        Time window, in seconds.
    """
    later_tokens = sum(begin <= time < end for it in run.routers for time, _ in it.gaps)
    first_tokens = sum(
        it.first_token is not None and begin <= it.first_token < end
        for it in run.records
    )
    return (later_tokens + first_tokens) / (end - begin)


def token_gap_p95(run: PolicyRun, begin: float, end: float) -> float:
    """Return the 95th percentile of the seconds between tokens in a time window."""
    gaps = [gap for it in run.routers for time, gap in it.gaps if begin <= time < end]
    return quantile_or_zero(gaps)


def first_token_p95(
    records: Iterable[RequestRecord], begin: float, end: float
) -> float:
    """
    Return the 95th percentile of seconds to first token for arrivals in a window.

    Requests without a first token are left out.
    """
    waits = [
        it.time_to_first_token
        for it in records
        if begin <= it.arrived < end and it.first_token is not None
    ]
    return quantile_or_zero(waits)


def quantile_or_zero(values: Sequence[float]) -> float:
    """
    Return the 95th percentile, or 0 for an empty sample.

    Examples
    --------
    >>> quantile_or_zero([])
    0.0
    """
    return quantile(values, TARGET_QUANTILE) if values else 0.0


def refused_share(run: PolicyRun, begin: float, end: float) -> float:
    """Return the refused fraction of the requests that arrived in a time window."""
    offered = [it for it in run.records if begin <= it.arrived < end]
    return sum(it.refused is not None for it in offered) / max(1, len(offered))


def token_rate_series(
    run: PolicyRun,
    wanted: Callable[[RequestRecord], bool],
    end: float,
    width: float,
) -> list[float]:
    """
    Return a time series of the tokens per second of selected complete responses.

    The tokens of a response are spread evenly from its first to its last token.

    Parameters
    ----------
    run : PolicyRun
        Run to measure.
    wanted : callable
        Returns whether a complete response counts.
    end : float
        Length of the run, in seconds.
    width : float
        Length of the interval that one value covers, in seconds.
    """
    values = [0.0] * round(end / width)
    for record in run.records:
        if record.finished is None or not wanted(record):
            continue
        begin = record.first_token or 0.0
        duration = max(record.finished - begin, 1e-9)
        for index in range(int(begin / width), int(record.finished / width) + 1):
            low, high = max(begin, index * width), (index + 1) * width
            fraction = max(0.0, min(record.finished, high) - low) / duration
            if index < len(values):
                values[index] += fraction * record.length / width
    return values


def jain_index(values: Sequence[float]) -> float:
    """
    Return Jain's fairness index, which is 1 if all values are equal.

    Examples
    --------
    >>> jain_index([1.0, 1.0]), jain_index([1.0, 0.0])
    (1.0, 0.5)

    References
    ----------
    R. Jain, D.-M. Chiu, W. Hawe, "A Quantitative Measure of Fairness and
    Discrimination for Resource Allocation in Shared Computer Systems", 1984.
    """
    squares = sum(value * value for value in values)
    return sum(values) ** 2 / (len(values) * squares) if squares else 1.0
