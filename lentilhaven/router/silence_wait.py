"""Waits for silent stages that no other endpoint can replace."""

import asyncio
from collections import Counter

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.logs import get_logger
from lentilhaven.core.step import Step
from lentilhaven.endpoints.engine_client import CONNECT_TIMEOUT, UNREACHED_KIND
from lentilhaven.endpoints.stage import Stage
from lentilhaven.router.answer import Answer
from lentilhaven.router.chain_choice import choose_other_chain
from lentilhaven.router.router import Router
from lentilhaven.router.silence_diagnosis import SILENT_KINDS

#: Seconds between two rounds of probes.
PROBE_INTERVAL = 0.1

#: Timeout of a probe, in seconds; longer than that of its connection.
PROBE_TIMEOUT = 0.4

#: Number of rounds in a row without a connection after which a host counts as lost: a
#: single connection may fail since a packet was lost or this process stalled.
MAX_UNREACHED = 2

log = get_logger("router")


async def wait_for_silent_stages(router: Router, answer: Answer) -> list[Stage] | None:
    """
    Wait until all silent stages of an answer respond, or another chain is there.

    Parameters
    ----------
    router : Router
        Provides the engine client and other chains.
    answer : Answer
        The answer, with its silent stages.

    Returns
    -------
    list of Stage or None
        The chain to go on with; None if a silent stage turns out to be lost and
        there is no other chain.

    Raises
    ------
    FailureError
        If the deadline of the answer passes.
    """
    log.warning(
        "waiting for silent stages",
        request=answer.request,
        workspace=answer.workspace,
        endpoints=sorted(answer.silent),
    )
    router.counters["silences_awaited"] += 1
    unreached: Counter = Counter()
    while True:
        chain = choose_other_chain(router, answer, answer.silent)
        if chain is not None:
            return chain
        check_deadline(router, answer)
        failures = await probe_silent_stages(router, answer)
        if not failures:
            answer.excluded.clear()
            return answer.chain
        if any(is_lost(failure, unreached) for failure in failures):
            return choose_other_chain(router, answer, answer.silent)
        await router.clock.sleep(PROBE_INTERVAL)


async def probe_silent_stages(router: Router, answer: Answer) -> list[Failure]:
    """Probe the silent stages, and return the failures of those without progress."""
    remaining = answer.deadline - router.clock.monotonic()
    timeout = min(PROBE_TIMEOUT, remaining)
    stages = [it for it in answer.chain if it.endpoint in answer.silent]
    probes = [
        router.engines.probe(it, answer.request, timeout, CONNECT_TIMEOUT)
        for it in stages
    ]
    return [it.error for it in await asyncio.gather(*probes) if it.is_error()]


def is_lost(failure: Failure, unreached: Counter) -> bool:
    """
    Return whether a probe shows that a stage is lost, not only silent.

    Parameters
    ----------
    failure : Failure
        Failure of the probe.
    unreached : Counter
        Rounds in a row without a connection, by endpoint; updated.
    """
    if failure.kind not in SILENT_KINDS:
        return True
    unreached[failure.peer] = (
        unreached[failure.peer] + 1 if failure.kind == UNREACHED_KIND else 0
    )
    return unreached[failure.peer] >= MAX_UNREACHED


def check_deadline(router: Router, answer: Answer) -> None:
    """Raise `FailureError` if the deadline of an answer has passed."""
    if router.clock.monotonic() >= answer.deadline:
        raise FailureError(deadline_failure(answer))


def deadline_failure(answer: Answer) -> Failure:
    """Return the failure of an answer whose deadline has passed."""
    position = len(answer.ledger.tokens)
    detail = f"the deadline passed at position {position}"
    return Failure(Step.STREAM, "", "deadline", detail, answer.ran, retry_after=1.0)
