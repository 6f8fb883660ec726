"""Decides how an answer goes on after a failed attempt."""

import attrs

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.ids import EndpointId
from lentilhaven.core.logs import get_logger
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.endpoints.stage import Stage
from lentilhaven.retries.backoff import jittered_delay
from lentilhaven.router.answer import Answer, Progress
from lentilhaven.router.chain_choice import choose_chain, repair_chain
from lentilhaven.router.router import Router
from lentilhaven.router.stream_examination import probe_stages

#: Kinds of failure after which the chain is used again on new connections.
SAME_CHAIN = frozenset({"order-lost", "stream-stuck", "read-again"})

#: Kinds of failure that are found by asking every stage.
EXAMINED = frozenset({"stage-silent", "stage-hung"})

#: Kinds of failure that no other attempt can mend.
FINAL = frozenset({"superseded"})

log = get_logger("router")


async def plan_next_attempt(
    router: Router, answer: Answer, failure: Failure
) -> list[Stage]:
    """
    Return the chain of the next attempt, once it may begin.

    Parameters
    ----------
    router : Router
        Knows endpoints and their load.
    answer : Answer
        The answer whose attempt failed.
    failure : Failure
        How it failed.

    Raises
    ------
    FailureError
        If the answer must be given up.
    """
    log.warning(
        "attempt failed",
        request=answer.request,
        workspace=answer.workspace,
        attempt=answer.ledger.attempt,
        endpoint=failure.peer,
        step=failure.step.value,
        error=str(failure),
    )
    if failure.kind in FINAL:
        raise FailureError(attrs.evolve(failure, ran=Ran.YES))
    answer.maybe_ran |= failure.ran is not Ran.NO
    check_limits(router, answer, failure)
    progress = await probe_others(router, answer, failure)
    lost = find_lost(answer, failure, progress)
    record_outcomes(router, failure, progress)
    spend_budget(router, answer, failure, progress)
    await wait_before_retry(router, answer)
    router.counters["attempts_replaced"] += 1
    if not lost:
        return [attrs.evolve(stage, import_from="") for stage in answer.chain]
    chain = repair_chain(router, answer, lost) or choose_any_chain(router, answer)
    if chain is None:
        raise FailureError(no_pipeline(answer))
    return mark_imports(answer.chain, chain, progress)


async def probe_others(router: Router, answer: Answer, failure: Failure) -> Progress:
    """
    Ask every stage, so that two that died at once are replaced at once.

    After a silence all have been asked already.
    """
    if failure.kind in SAME_CHAIN:
        return {}
    if failure.kind in EXAMINED:
        return answer.progress
    timeout = answer.route.token_timeout / 2
    return await probe_stages(router, answer, answer.chain, timeout)


def find_lost(answer: Answer, failure: Failure, progress: Progress) -> set[EndpointId]:
    """
    Return the stages that must be replaced.

    Parameters
    ----------
    answer : Answer
        The answer whose attempt failed.
    failure : Failure
        How it failed.
    progress : dict
        What the stages answered afterwards.
    """
    lost = {name for name, found in progress.items() if found is None}
    members = {stage.endpoint for stage in answer.chain}
    if failure.kind not in SAME_CHAIN and failure.peer in members:
        lost.add(EndpointId(failure.peer))
    return lost


def record_outcomes(router: Router, failure: Failure, progress: Progress) -> None:
    """Tell the circuits which endpoints answered and which did not."""
    now = router.clock.monotonic()
    for name, found in progress.items():
        if found is None:
            router.circuits.record_failure(name, now, proven=True)
        elif name == failure.peer:
            router.circuits.record_failure(name, now)


async def wait_before_retry(router: Router, answer: Answer) -> None:
    """Wait from the second failure in a row on; the first is mended at once."""
    if answer.failures < 2:
        return
    delay = jittered_delay(answer.failures - 1, router.random)
    left = answer.deadline - router.clock.monotonic()
    await router.clock.sleep(max(0.0, min(delay, left)))


def check_limits(router: Router, answer: Answer, failure: Failure) -> None:
    """Raise `FailureError` if the answer has no time or no attempt left."""
    now = router.clock.monotonic()
    position = len(answer.ledger.tokens)
    if now >= answer.deadline:
        raise FailureError(deadline_passed(answer))
    answer.failures += 1
    if answer.failures >= answer.route.retry.max_attempts:
        detail = f"{answer.failures} attempts in a row failed at position {position}"
        raise FailureError(given_up("attempts-exhausted", answer, detail, failure))


def spend_budget(
    router: Router, answer: Answer, failure: Failure, progress: Progress
) -> None:
    """
    Raise `FailureError` if the route's retry budget is spent.

    Two kinds of retry are free: the replacement of a stage that is gone, since
    its load is gone too, and any in the middle of an answer, since the work done
    so far would be lost; `check_limits` bounds both.
    """
    if answer.ledger.tokens or None in progress.values():
        return
    if not router.budget(answer.route).spend(router.clock.monotonic()):
        detail = "too many recent requests of this route were retried"
        raise FailureError(given_up("retry-budget", answer, detail, failure))


def given_up(kind: str, answer: Answer, detail: str, cause: Failure) -> Failure:
    """Return the failure of an answer that is not tried again."""
    detail = f"{detail}; the last failure was: {cause}"
    return Failure(Step.STREAM, cause.peer, kind, detail, answer.ran, retry_after=1.0)


def deadline_passed(answer: Answer) -> Failure:
    """Return the failure of an answer that has run out of time."""
    position = len(answer.ledger.tokens)
    detail = f"the deadline passed at position {position}"
    return Failure(Step.STREAM, "", "deadline", detail, answer.ran, retry_after=1.0)


def choose_any_chain(router: Router, answer: Answer) -> list[Stage] | None:
    """
    Return a chain that may use endpoints which failed this answer before.

    An answer that has begun would lose its work, so that it may also try
    endpoints whose circuit is open; a new one fails fast instead.
    """
    answer.excluded.clear()
    chain = choose_chain(router, answer)
    if chain is None and answer.ledger.tokens:
        with router.circuits.ignored():
            chain = choose_chain(router, answer)
    return chain


def mark_imports(old: list[Stage], new: list[Stage], progress: Progress) -> list[Stage]:
    """
    Return the chain with the engines named whose caches can be imported.

    Parameters
    ----------
    old : list of Stage
        The chain that failed.
    new : list of Stage
        The chain that replaces it.
    progress : dict
        What the old stages answered.
    """
    exporters = {}
    for stage in old:
        found = progress.get(stage.endpoint)
        if found is not None and found.known:
            exporters[stage.layers] = stage
    marked = []
    for stage in new:
        source = exporters.get(stage.layers)
        useful = source is not None and source.endpoint != stage.endpoint
        url = source.url if source is not None and useful else ""
        marked.append(attrs.evolve(stage, import_from=url))
    return marked


def no_pipeline(answer: Answer) -> Failure:
    """Return the failure of an answer that no pipeline is left for."""
    position = len(answer.ledger.tokens)
    detail = f"no pipeline of {answer.pool.name!r} is left at position {position}"
    return Failure(Step.CHOOSE, "", "no-pipeline", detail, answer.ran, retry_after=1.0)
