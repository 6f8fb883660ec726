"""
The scenario ``router-cost``: a router process under one VM's share of the peak load.

It uses real sockets and real time, so its figures depend on the machine and on the
other load there.
"""

import asyncio
import tempfile
from pathlib import Path

import attrs

from lentilhaven.bench.cost.load import LoadResult, run_load
from lentilhaven.bench.cost.processes import RouterProcess, running_router
from lentilhaven.bench.figure import Figure, at_least, at_most, observed
from lentilhaven.bench.quantiles import quantile
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions

#: One VM's share of the peak load: requests and tokens per second.
REQUEST_RATE = 15.5
TOKEN_RATE = 4545.0

#: Seconds between two tokens of an answer, as the engine generates them.
TOKEN_GAP = 0.025

#: Maximum 95th percentile of the latency that the router adds to a token, in seconds.
MAX_ADDED_LATENCY = 0.005

#: Maximum 95th percentile of the time between two tokens, in seconds.
MAX_TOKEN_GAP = 0.049

#: Seconds of load before the measurement, while the number of streams grows.
WARM_UP = 9.0

#: Length of a measurement when no size is given, in seconds.
DEFAULT_SECONDS = 10

#: Multiples of the VM's share that are tried to find the highest token rate.
LOAD_MULTIPLES = (2.0, 3.0, 4.0, 5.0, 6.0, 8.0)

#: Tokens of the short answers that separate the cost per request from the cost per
#: token.
SHORT_ANSWER_TOKENS = 2


@attrs.frozen
class CostSample:
    """
    Cost of one load.

    Attributes
    ----------
    result : LoadResult
        Measurements of the callers.
    cpu : float
        Processor time that the router used per second, in cores.
    tokens : float
        Tokens per second that the callers received.
    """

    result: LoadResult
    cpu: float
    tokens: float


def run_router_cost(options: ScenarioOptions) -> Report:
    """
    Measure the cost of a router process.

    Parameters
    ----------
    options : ScenarioOptions
        The seed only labels the report; the size is the length of the measurement,
        in seconds.
    """
    figures = asyncio.run(measure_router_cost(options))
    return Report("router-cost", options.seed, figures)


async def measure_router_cost(options: ScenarioOptions) -> dict[str, Figure]:
    """Run the loads and return the figures."""
    seconds = float(options.size or DEFAULT_SECONDS)
    length = round(TOKEN_RATE / REQUEST_RATE)
    with tempfile.TemporaryDirectory() as folder:
        async with running_router(Path(folder), TOKEN_GAP) as router:
            peak_share = await measure_load(
                router, REQUEST_RATE, length, WARM_UP, seconds
            )
            memory = router.peak_memory()
            short = await measure_load(
                router, 100.0, SHORT_ANSWER_TOKENS, 1.0, seconds / 2
            )
            highest, tried = await find_highest_rate(router, length, seconds / 2)
    per_token, per_request = split_cost(peak_share, short, length)
    p95 = quantile(peak_share.result.delays, 0.95)
    return {
        "tokens-per-second": at_least(peak_share.tokens, 0.95 * TOKEN_RATE, "1/s"),
        "failed": at_most(peak_share.result.failed, 0, "answers"),
        "cpu-share": observed(peak_share.cpu, "cores"),
        "cpu-per-token": observed(per_token * 1e6, "us"),
        "cpu-per-request": observed(per_request * 1e6, "us"),
        "added-latency-p50": observed(quantile(peak_share.result.delays, 0.5), "s"),
        "added-latency-p95": at_most(p95, MAX_ADDED_LATENCY, "s"),
        "token-gap-p95": at_most(
            quantile(peak_share.result.gaps, 0.95), MAX_TOKEN_GAP, "s"
        ),
        "peak-memory": observed(memory / 1e6, "MB"),
        "highest-token-rate": observed(highest, "1/s"),
        "highest-rate-tried": observed(tried, "1/s"),
    }


async def measure_load(
    router: RouterProcess, rate: float, length: int, warm_up: float, seconds: float
) -> CostSample:
    """
    Apply a load to a router and return its cost.

    Parameters
    ----------
    router : RouterProcess
        Router under test.
    rate : float
        Requests per second.
    length : int
        Number of tokens of an answer.
    warm_up : float
        Seconds of load before the measurement.
    seconds : float
        Length of the measurement, in seconds.
    """
    cpu_readings: list[float] = []
    result = await run_load(
        router.port,
        rate,
        length,
        warm_up,
        seconds,
        on_start=lambda: cpu_readings.append(router.cpu_seconds()),
        on_end=lambda: cpu_readings.append(router.cpu_seconds()),
    )
    cpu = (cpu_readings[-1] - cpu_readings[0]) / seconds
    # There is one delay for each token received during the measurement.
    return CostSample(result, cpu, len(result.delays) / seconds)


def split_cost(
    peak_share: CostSample, short: CostSample, length: int
) -> tuple[float, float]:
    """
    Return processor seconds per token and per request.

    The two loads give two linear equations: the cost of a second is the sum of the
    costs of its requests and of its tokens.  `length` is the number of tokens of an
    answer of `peak_share`.
    """
    requests = peak_share.tokens / length
    short_requests = short.tokens / SHORT_ANSWER_TOKENS
    determinant = peak_share.tokens * short_requests - requests * short.tokens
    per_token = (peak_share.cpu * short_requests - requests * short.cpu) / determinant
    per_request = (
        peak_share.tokens * short.cpu - short.tokens * peak_share.cpu
    ) / determinant
    return per_token, per_request


async def find_highest_rate(
    router: RouterProcess, length: int, seconds: float
) -> tuple[float, float]:
    """
    Return the highest token rate that the router sustains, and the last rate tried.

    A rate is sustained if no answer fails, the callers receive at least 0.9 of the
    offered token rate, and the 95th percentile of the time between tokens is at most
    `MAX_TOKEN_GAP`.
    """
    highest = tried = 0.0
    for multiple in LOAD_MULTIPLES:
        load = await measure_load(
            router, multiple * REQUEST_RATE, length, WARM_UP, seconds
        )
        tried = load.tokens
        sustained = (
            load.tokens >= 0.9 * multiple * TOKEN_RATE and not load.result.failed
        )
        if not sustained or quantile(load.result.gaps, 0.95) > MAX_TOKEN_GAP:
            break
        highest = load.tokens
    return highest, tried
