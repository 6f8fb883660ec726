"""Finds out why a stream is silent."""

import asyncio

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.ids import EndpointId
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.endpoints.stage import Stage
from lentilhaven.router.answer import Answer, Progress
from lentilhaven.router.router import Router
from lentilhaven.router.silence_watch import SilenceWatch

#: Seconds between two looks at stages that are all idle.
SECOND_LOOK_DELAY = 0.02

#: Steps in which a probe is waited for.
WAIT_STEPS = 5

#: Multiple of its time that a probe may take when this process stands still.
STALL_FACTOR = 20.0


async def probe_stages(
    router: Router, answer: Answer, stages: list[Stage], timeout: float
) -> Progress:
    """
    Ask stages, each on a new connection, how far they have come.

    Time in which this process stood still does not count: what has arrived
    meanwhile is unread, and must not be taken for silence.

    Parameters
    ----------
    router : Router
        Has the engines' client.
    answer : Answer
        The answer that is stuck.
    stages : list of Stage
        The stages to ask.
    timeout : float
        Seconds to wait.
    """
    longest = timeout * STALL_FACTOR
    probes = [
        asyncio.create_task(router.engines.probe(it, answer.request, longest))
        for it in stages
    ]
    try:
        await wait_patiently(router, probes, timeout)
        names = [stage.endpoint for stage in stages]
        found = [task.result() if task.done() else None for task in probes]
        return dict(zip(names, found, strict=True))
    finally:
        for task in probes:
            task.cancel()
        await asyncio.gather(*probes, return_exceptions=True)


async def wait_patiently(
    router: Router, tasks: list[asyncio.Task], timeout: float
) -> None:
    """Wait for tasks, counting no more time than the clock should have shown."""
    step = timeout / WAIT_STEPS
    for _ in range(WAIT_STEPS):
        began = router.clock.monotonic()
        _, pending = await asyncio.wait(tasks, timeout=step)
        if not pending:
            return
        if router.clock.monotonic() - began > 2 * step:
            router.counters["stalls_seen"] += 1
            # One more turn of the event loop reads what has arrived.
            await asyncio.wait(tasks, timeout=step)


async def examine_silence(
    router: Router, answer: Answer, watch: SilenceWatch
) -> FailureError | None:
    """
    Return why a stream is silent, or None if it is only slow.

    Parameters
    ----------
    router : Router
        Has the engines' client.
    answer : Answer
        The answer whose stream is silent.
    watch : SilenceWatch
        Knows how long a token may take.
    """
    router.counters["streams_examined"] += 1
    reason = await look(router, answer, watch)
    if reason is None or reason.failure.kind != "stream-stuck":
        return reason
    # Activations may have been between two stages at the first look.
    await router.clock.sleep(SECOND_LOOK_DELAY)
    return await look(router, answer, watch)


async def look(
    router: Router, answer: Answer, watch: SilenceWatch
) -> FailureError | None:
    """Ask every stage once, and return what their answers say."""
    progress = await probe_stages(router, answer, answer.chain, watch.probe_timeout)
    answer.progress = progress
    return explain_silence(answer, watch, progress, router.clock.monotonic())


def explain_silence(
    answer: Answer, watch: SilenceWatch, progress: Progress, now: float
) -> FailureError | None:
    """
    Return what the stages' answers say about a silence.

    Parameters
    ----------
    answer : Answer
        The answer whose stream is silent.
    watch : SilenceWatch
        Knows how long a token may take.
    progress : dict
        What each stage of the chain answered.
    now : float
        Monotonic time, in seconds.
    """
    for name, found in progress.items():
        if found is None:
            return silent(name, "stage-silent", "no answer on a new connection")
    head = answer.chain[0].endpoint
    found = progress[head]
    if found is None or not found.known or found.attempt < answer.ledger.attempt:
        return silent(head, "order-lost", "the order did not arrive")
    if found.attempt > answer.ledger.attempt:
        return silent(head, "superseded", "a newer attempt has begun elsewhere")
    if found.made > len(answer.ledger.tokens):
        return silent(head, "read-again", "the connection has gone silent")
    working = [name for name, it in progress.items() if it is not None and it.working]
    if not working:
        return silent(head, "stream-stuck", "no stage is working")
    if watch.is_hung(now):
        return silent(working[0], "stage-hung", "a stage works without result")
    return None


def silent(peer: EndpointId, kind: str, detail: str) -> FailureError:
    """Return the failure of a silent stream."""
    return FailureError(Failure(Step.STREAM, peer, kind, detail, Ran.UNKNOWN))
