"""
The scenario ``router-cost``: one router process under a node's share of the peak.

It runs on real sockets and in real time, so that its figures depend on the
machine and on what else runs there.
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

#: A node's share of the peak: requests and tokens a second.
REQUEST_RATE = 15.5
TOKEN_RATE = 4545.0

#: Seconds between two tokens of an answer.
TOKEN_GAP = 0.025

#: Largest added latency of a token at p95, in seconds.
ADDED_LATENCY = 0.005

#: Largest time between two tokens at p95, in seconds.
LARGEST_GAP = 0.049

#: Seconds of load before measuring, in which the number of streams grows.
WARM_UP = 9.0

#: Seconds of measuring when no size is given.
DEFAULT_SECONDS = 10

#: Multiples of the node's share that are tried for the highest token rate.
MULTIPLES = (2.0, 3.0, 4.0, 5.0, 6.0, 8.0)

#: Tokens of the short answers that tell the cost of a request from a token's.
SHORT = 2


@attrs.frozen
class CostSample:
    """
    What one load cost.

    Attributes
    ----------
    result : LoadResult
        What the callers saw.
    cpu : float
        Processor seconds per second of the router.
    tokens : float
        Tokens a second that arrived.
    """

    result: LoadResult
    cpu: float
    tokens: float


def run_router_cost(options: ScenarioOptions) -> Report:
    """
    Measure what a router costs.

    Parameters
    ----------
    options : ScenarioOptions
        Seed, which nothing here draws on, and seconds of measuring.
    """
    figures = asyncio.run(measure_router_cost(options))
    return Report("router-cost", options.seed, figures)


async def measure_router_cost(options: ScenarioOptions) -> dict[str, Figure]:
    """Return the figures."""
    seconds = float(options.size or DEFAULT_SECONDS)
    length = round(TOKEN_RATE / REQUEST_RATE)
    with tempfile.TemporaryDirectory() as folder:
        async with running_router(Path(folder), TOKEN_GAP) as router:
            share = await sample(router, REQUEST_RATE, length, WARM_UP, seconds)
            memory = router.peak_memory()
            short = await sample(router, 100.0, SHORT, 1.0, seconds / 2)
            highest, tried = await find_highest(router, length, seconds / 2)
    per_token, per_request = split_cost(share, short, length)
    p95 = quantile(share.result.delays, 0.95)
    return {
        "tokens-per-second": at_least(share.tokens, 0.95 * TOKEN_RATE, "1/s"),
        "failed": at_most(share.result.failed, 0, "answers"),
        "cpu-share": observed(share.cpu, "cores"),
        "cpu-per-token": observed(per_token * 1e6, "us"),
        "cpu-per-request": observed(per_request * 1e6, "us"),
        "added-latency-p50": observed(quantile(share.result.delays, 0.5), "s"),
        "added-latency-p95": at_most(p95, ADDED_LATENCY, "s"),
        "token-gap-p95": at_most(quantile(share.result.gaps, 0.95), LARGEST_GAP, "s"),
        "peak-memory": observed(memory / 1e6, "MB"),
        "highest-token-rate": observed(highest, "1/s"),
        "highest-rate-tried": observed(tried, "1/s"),
    }


async def sample(
    router: RouterProcess, rate: float, length: int, warm_up: float, seconds: float
) -> CostSample:
    """Run one load and return what it cost."""
    marks: list[float] = []
    result = await run_load(
        router.port,
        rate,
        length,
        warm_up,
        seconds,
        on_start=lambda: marks.append(router.cpu_seconds()),
        on_end=lambda: marks.append(router.cpu_seconds()),
    )
    cpu = (marks[-1] - marks[0]) / seconds
    return CostSample(result, cpu, len(result.delays) / seconds)


def split_cost(
    share: CostSample, short: CostSample, length: int
) -> tuple[float, float]:
    """
    Return processor seconds per token and per request.

    The two loads give two equations: each second's cost is the requests' and the
    tokens' together.
    """
    requests = share.tokens / length
    short_requests = short.tokens / SHORT
    determinant = share.tokens * short_requests - requests * short.tokens
    per_token = (share.cpu * short_requests - requests * short.cpu) / determinant
    per_request = (share.tokens * short.cpu - short.tokens * share.cpu) / determinant
    return per_token, per_request


async def find_highest(
    router: RouterProcess, length: int, seconds: float
) -> tuple[float, float]:
    """Return the highest token rate within the largest gap, and the last one tried."""
    highest = tried = 0.0
    for multiple in MULTIPLES:
        load = await sample(router, multiple * REQUEST_RATE, length, WARM_UP, seconds)
        tried = load.tokens
        kept = load.tokens >= 0.9 * multiple * TOKEN_RATE and not load.result.failed
        if not kept or quantile(load.result.gaps, 0.95) > LARGEST_GAP:
            break
        highest = load.tokens
    return highest, tried
