"""The scenario ``fuzz``: fuzzes every parser and every listener."""

import sys
from collections.abc import Callable

import async_solipsism
from hypothesis import HealthCheck, Phase, given, seed, settings

from lentilhaven.bench.figure import at_least, at_most, observed
from lentilhaven.bench.fuzz_inputs import (
    header_values,
    mutated_documents,
    mutated_texts,
)
from lentilhaven.bench.fuzz_listeners import (
    FuzzedListener,
    describe_request,
    open_listeners,
    requests_to,
    send_and_check,
)
from lentilhaven.bench.fuzz_parsers import (
    document_parsers,
    header_parsers,
    text_parsers,
)
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.tables.tables import Tables
from lentilhaven.testbed import TestbedPlan, open_testbed

#: Number of inputs if no size is given.
DEFAULT_SIZE = 100_000

#: Share of the inputs sent to listeners; parsers get the rest.
LISTENER_SHARE = 0.2


class FuzzRun:
    """
    One run of the fuzzer, which counts inputs and failed targets.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and number of inputs.

    Attributes
    ----------
    seed : int
        Seed of the inputs of each target.
    size : int
        Number of inputs to generate.
    input_count : int
        Number of inputs checked so far.
    failed_targets : int
        Number of targets that mishandled an input.
    """

    def __init__(self, options: ScenarioOptions) -> None:
        self.seed = options.seed
        self.size = options.size or DEFAULT_SIZE
        self.input_count = 0
        self.failed_targets = 0

    def fuzz_target(self, name: str, inputs, count: int, check: Callable) -> None:
        """
        Check one target with random inputs.

        If an input is mishandled, count the target once and print the error to stderr.

        Parameters
        ----------
        name : str
            Name of the target.
        inputs : SearchStrategy
            Strategy that generates the inputs.
        count : int
            Number of inputs.
        check : callable
            Raises if an input is mishandled.
        """

        def check_input(value) -> None:
            self.input_count += 1
            check(value)

        limits = settings(
            max_examples=count,
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
            print_blob=False,
            phases=(Phase.generate, Phase.shrink),
        )
        try:
            seed(self.seed)(limits(given(inputs)(check_input)))()
        except Exception as error:
            self.failed_targets += 1
            notes = " ".join(getattr(error, "__notes__", []))
            print(f"{name}: {type(error).__name__}: {error} {notes}", file=sys.stderr)


def run_fuzz(options: ScenarioOptions) -> Report:
    """
    Fuzz every parser and every listener.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and number of inputs.
    """
    run = FuzzRun(options)
    loop = async_solipsism.EventLoop()
    try:
        tables = loop.run_until_complete(make_tables(options.seed))
        fuzz_parsers(run, tables)
        fuzz_listeners(run, loop)
    finally:
        loop.close()
    figures = {
        "inputs": at_least(run.input_count, run.size, "inputs"),
        "unhandled": at_most(run.failed_targets, 0, "targets"),
        "listener_share": observed(LISTENER_SHARE, "ratio"),
    }
    return Report("fuzz", options.seed, figures)


async def make_tables(seed: int) -> Tables:
    """Return the tables of a small testbed."""
    plan = TestbedPlan(seed=seed, replica_count=1)
    async with open_testbed(plan) as testbed:
        return testbed.vms[0].router.view.tables


def fuzz_parsers(run: FuzzRun, tables: Tables) -> None:
    """Fuzz every parser."""
    texts = text_parsers(tables)
    documents = document_parsers(tables)
    headers = header_parsers(tables)
    target_count = len(texts) + len(documents) + len(headers)
    count = 1 + int(run.size * (1 - LISTENER_SHARE)) // target_count
    for parser in texts:
        run.fuzz_target(parser.name, mutated_texts(parser.seeds), count, parser.parse)
    for parser in documents:
        run.fuzz_target(
            parser.name, mutated_documents(parser.seeds), count, parser.parse
        )
    for parser in headers:
        run.fuzz_target(parser.name, header_values, count, parser.parse)


def fuzz_listeners(run: FuzzRun, loop: async_solipsism.EventLoop) -> None:
    """Fuzz every listener of a running system."""
    opened = open_listeners(run.seed)
    listeners = loop.run_until_complete(opened.__aenter__())
    # Hypothesis may stop early, so listeners get all inputs that parsers left.
    count = 1 + (run.size - run.input_count) // len(listeners)
    try:
        for listener in listeners:
            fuzz_listener(run, loop, listener, count)
    finally:
        loop.run_until_complete(opened.__aexit__(None, None, None))


def fuzz_listener(
    run: FuzzRun,
    loop: async_solipsism.EventLoop,
    listener: FuzzedListener,
    count: int,
) -> None:
    """Send random requests to one listener."""

    def check(request) -> None:
        problem = loop.run_until_complete(send_and_check(listener, request))
        if problem:
            raise AssertionError(f"{problem}: {describe_request(request)}")

    run.fuzz_target(listener.url, requests_to(listener), count, check)
