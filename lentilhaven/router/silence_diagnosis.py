"""Diagnoses why a stream is silent."""

import asyncio

from expression import Result

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.ids import EndpointId
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.endpoints.engine_client import SILENT_KIND, UNREACHED_KIND
from lentilhaven.endpoints.stage import Stage
from lentilhaven.endpoints.stage_progress import StageProgress
from lentilhaven.router.answer import Answer, ProbeResults
from lentilhaven.router.router import Router
from lentilhaven.router.silence_watch import SilenceDetector

#: Delay before stages that were all idle are probed a second time, in seconds.
SECOND_PROBE_DELAY = 0.02

#: Number of intervals into which the wait for a probe is divided.
WAIT_STEPS = 5

#: Kinds of failure of a probe of a stage that may be sound.
SILENT_KINDS = frozenset({SILENT_KIND, UNREACHED_KIND})

#: Multiple of the probe timeout after which a probe fails even if this process has
#: stalled.
STALL_FACTOR = 20.0


async def probe_stages(
    router: Router, answer: Answer, stages: list[Stage], timeout: float
) -> ProbeResults:
    """
    Return the progress of stages, each probed on a new connection.

    Time during which this process stalled does not count towards the timeout:
    responses that arrived during a stall are still unread, and must not be mistaken
    for silence.  The stages that are silent, but not known to be lost, are stored in
    `answer.silent`.

    Parameters
    ----------
    router : Router
        Provides the engine client.
    answer : Answer
        The answer whose stages are probed.
    stages : list of Stage
        The stages to probe.
    timeout : float
        Seconds to wait for responses.

    Returns
    -------
    dict
        Progress by endpoint; None for a stage that did not respond in time.
    """
    longest = timeout * STALL_FACTOR
    probes = [
        asyncio.create_task(router.engines.probe(it, answer.request, longest))
        for it in stages
    ]
    try:
        await wait_excluding_stalls(router, probes, timeout)
        names = [stage.endpoint for stage in stages]
        results = [task.result() if task.done() else None for task in probes]
        answer.silent = {
            name for name, it in zip(names, results, strict=True) if is_silent(it)
        }
        found = [it.default_value(None) if it is not None else None for it in results]
        return dict(zip(names, found, strict=True))
    finally:
        for task in probes:
            task.cancel()
        await asyncio.gather(*probes, return_exceptions=True)


def is_silent(result: Result[StageProgress, Failure] | None) -> bool:
    """
    Return whether a stage may be sound although it has not responded to a probe.

    Parameters
    ----------
    result : Result or None
        Result of the probe; None if there is none yet.
    """
    if result is None:
        return True
    return result.is_error() and result.error.kind in SILENT_KINDS


async def wait_excluding_stalls(
    router: Router, tasks: list[asyncio.Task], timeout: float
) -> None:
    """Wait for tasks up to a timeout that excludes time when this process stalled."""
    step = timeout / WAIT_STEPS
    for _ in range(WAIT_STEPS):
        began = router.clock.monotonic()
        _, pending = await asyncio.wait(tasks, timeout=step)
        if not pending:
            return
        if router.clock.monotonic() - began > 2 * step:
            router.counters["stalls_seen"] += 1
            # An additional interval lets the event loop read what has arrived.
            await asyncio.wait(tasks, timeout=step)


async def diagnose_silence(
    router: Router, answer: Answer, detector: SilenceDetector
) -> FailureError | None:
    """
    Return the reason for a silent stream, or None if it is only slow.

    Parameters
    ----------
    router : Router
        Provides the engine client.
    answer : Answer
        The answer whose stream is silent.
    detector : SilenceDetector
        Determines how long a token may take.
    """
    router.counters["streams_examined"] += 1
    reason = await probe_and_classify(router, answer, detector)
    if reason is None or reason.failure.kind != "stream-stuck":
        return reason
    # During the first probe, activations may have been in transit between stages, so
    # that no stage was working.
    await router.clock.sleep(SECOND_PROBE_DELAY)
    return await probe_and_classify(router, answer, detector)


async def probe_and_classify(
    router: Router, answer: Answer, detector: SilenceDetector
) -> FailureError | None:
    """
    Probe every stage once and return the reason for the silence, or None.

    The results of the probe are stored in `answer.probe_results`.
    """
    probe_results = await probe_stages(
        router, answer, answer.chain, detector.probe_timeout
    )
    answer.probe_results = probe_results
    return classify_silence(answer, detector, probe_results, router.clock.monotonic())


def classify_silence(
    answer: Answer, detector: SilenceDetector, probe_results: ProbeResults, now: float
) -> FailureError | None:
    """
    Return the reason for a silence, or None if the stream is only slow.

    Parameters
    ----------
    answer : Answer
        The answer whose stream is silent.
    detector : SilenceDetector
        Determines how long a token may take.
    probe_results : dict
        Progress of each stage of the chain; None if it did not respond.
    now : float
        Monotonic time, in seconds.
    """
    for name, found in probe_results.items():
        if found is None:
            return silence_failure(
                name, "stage-silent", "no answer on a new connection"
            )
    head = answer.chain[0].endpoint
    found = probe_results[head]
    if found is None or not found.known or found.attempt < answer.ledger.attempt:
        return silence_failure(head, "order-lost", "the order did not arrive")
    if found.attempt > answer.ledger.attempt:
        return silence_failure(
            head, "superseded", "a newer attempt has begun elsewhere"
        )
    if found.made > len(answer.ledger.tokens):
        return silence_failure(head, "read-again", "the connection has gone silent")
    working = [
        name for name, it in probe_results.items() if it is not None and it.working
    ]
    if not working:
        return silence_failure(head, "stream-stuck", "no stage is working")
    if detector.is_hung(now):
        return silence_failure(working[0], "stage-hung", "a stage works without result")
    return None


def silence_failure(peer: EndpointId, kind: str, detail: str) -> FailureError:
    """Return the error that reports a silent stream."""
    return FailureError(Failure(Step.STREAM, peer, kind, detail, Ran.UNKNOWN))
