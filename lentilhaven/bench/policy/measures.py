"""Figures of a run's answers."""

from collections.abc import Callable, Iterable, Sequence

from lentilhaven.bench.policy.answer_record import AnswerRecord
from lentilhaven.bench.policy.policy_run import PolicyRun
from lentilhaven.bench.quantiles import quantile

#: The part of answers or tokens that targets speak of.
NEARLY_ALL = 0.95


def token_rate(run: PolicyRun, begin: float, end: float) -> float:
    """
    Return the generated tokens per second that routers received.

    Parameters
    ----------
    run : PolicyRun
        The run.
    begin, end : float
        Window, in seconds.
    """
    later = sum(begin <= time < end for it in run.routers for time, _ in it.gaps)
    firsts = sum(
        it.first_token is not None and begin <= it.first_token < end
        for it in run.records
    )
    return (later + firsts) / (end - begin)


def gap_quantile(run: PolicyRun, begin: float, end: float) -> float:
    """Return the 95th percentile of seconds between tokens in a window."""
    gaps = [gap for it in run.routers for time, gap in it.gaps if begin <= time < end]
    return quantile_or_zero(gaps)


def wait_quantile(records: Iterable[AnswerRecord], begin: float, end: float) -> float:
    """Return the 95th percentile of seconds to the first token, by arrival."""
    waits = [
        it.wait
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
    return quantile(values, NEARLY_ALL) if values else 0.0


def refused_share(run: PolicyRun, begin: float, end: float) -> float:
    """Return the part of the requests of a window that was refused."""
    offered = [it for it in run.records if begin <= it.arrived < end]
    return sum(it.refused is not None for it in offered) / max(1, len(offered))


def series(
    run: PolicyRun,
    wanted: Callable[[AnswerRecord], bool],
    end: float,
    width: float,
) -> list[float]:
    """
    Return the tokens per second of wanted answers.

    An answer's tokens count evenly between its first and its last.

    Parameters
    ----------
    run : PolicyRun
        The run.
    wanted : callable
        Whether an answer counts.
    end : float
        Length of the run, in seconds.
    width : float
        Seconds of one value.
    """
    values = [0.0] * round(end / width)
    for record in run.records:
        if record.finished is None or not wanted(record):
            continue
        begin = record.first_token or 0.0
        span = max(record.finished - begin, 1e-9)
        for place in range(int(begin / width), int(record.finished / width) + 1):
            low, high = max(begin, place * width), (place + 1) * width
            part = max(0.0, min(record.finished, high) - low) / span
            if place < len(values):
                values[place] += part * record.length / width
    return values


def jain_index(values: Sequence[float]) -> float:
    """
    Return Jain's index of fairness: 1 if all values are equal.

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
