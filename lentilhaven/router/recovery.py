"""Plans the next attempt of an answer after an attempt has failed."""

import attrs

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.ids import EndpointId
from lentilhaven.core.logs import get_logger
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.endpoints.stage import Stage
from lentilhaven.retries.backoff import jittered_delay
from lentilhaven.router.answer import Answer, ProbeResults
from lentilhaven.router.chain_choice import choose_chain, repair_chain
from lentilhaven.router.router import Router
from lentilhaven.router.silence_diagnosis import probe_stages
from lentilhaven.router.silence_wait import check_deadline, wait_for_silent_stages

#: Kinds of failure after which the same chain is used again, on new connections.
SAME_CHAIN_KINDS = frozenset({"order-lost", "stream-stuck", "read-again"})

#: Kinds of failure that were found by probing every stage.
PROBED_KINDS = frozenset({"stage-silent", "stage-hung"})

#: Kinds of failure with which an engine of the chain may have ended.
END_KINDS = frozenset({"engine-lost", "stage-lost", "stage-silent"})

#: Kinds of failure that no further attempt can resolve.
FINAL_KINDS = frozenset({"superseded"})

log = get_logger("router")


async def plan_next_attempt(
    router: Router, answer: Answer, failure: Failure
) -> list[Stage]:
    """
    Wait before the retry, and return the chain of the next attempt.

    Failed and unresponsive endpoints are recorded in their circuit breakers.  Stages
    that are silent, which sound ones may be, are waited for if nothing can replace
    them.

    Parameters
    ----------
    router : Router
        Provides endpoints and their load.
    answer : Answer
        The answer whose attempt failed.
    failure : Failure
        The failure of the attempt.

    Raises
    ------
    FailureError
        If the answer can't be continued: another router has taken it over, its
        time, its attempts or the route's retry budget is used up, or there is no
        chain.
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
    if failure.kind in FINAL_KINDS:
        # Another router runs the answer, so the request has been executed.
        raise FailureError(attrs.evolve(failure, ran=Ran.YES))
    answer.maybe_ran |= failure.ran is not Ran.NO
    check_deadline(router, answer)
    probe_results = await probe_chain(router, answer, failure)
    lost = find_lost_stages(answer, failure, probe_results)
    check_harmful(router, answer, failure, probe_results)
    if failure.peer not in answer.silent:
        count_failure(answer, failure)
    record_probe_outcomes(router, failure, probe_results)
    spend_retry_budget(router, answer, failure, probe_results)
    await wait_before_retry(router, answer)
    router.counters["attempts_replaced"] += 1
    if not lost:
        return [attrs.evolve(stage, import_from="") for stage in answer.chain]
    chain = repair_chain(router, answer, lost)
    if chain is None and lost <= answer.silent:
        chain = await wait_for_silent_stages(router, answer)
    elif chain is None:
        chain = choose_fallback_chain(router, answer)
    if chain is None:
        raise FailureError(no_pipeline_failure(answer))
    return set_cache_imports(answer.chain, chain, probe_results)


async def probe_chain(router: Router, answer: Answer, failure: Failure) -> ProbeResults:
    """
    Return the progress of every stage, or an empty dictionary if the chain is kept.

    All stages are probed, so that two stages that fail at the same time are replaced
    in one attempt.  For a failure that was found by probing, the results of that
    probe are returned.
    """
    if failure.kind in SAME_CHAIN_KINDS:
        answer.silent = set()
        return {}
    if failure.kind in PROBED_KINDS:
        return answer.probe_results
    timeout = answer.route.token_timeout / 2
    return await probe_stages(router, answer, answer.chain, timeout)


def find_lost_stages(
    answer: Answer, failure: Failure, probe_results: ProbeResults
) -> set[EndpointId]:
    """
    Return the endpoints of the stages to replace.

    Parameters
    ----------
    answer : Answer
        The answer whose attempt failed.
    failure : Failure
        The failure of the attempt.
    probe_results : dict
        Progress of each stage after the failure; None if it did not respond.
    """
    lost = {name for name, found in probe_results.items() if found is None}
    members = {stage.endpoint for stage in answer.chain}
    if failure.kind not in SAME_CHAIN_KINDS and failure.peer in members:
        lost.add(EndpointId(failure.peer))
    return lost


def check_harmful(
    router: Router,
    answer: Answer,
    failure: Failure,
    probe_results: ProbeResults,
) -> None:
    """
    Record an engine that has ended, and end an answer that has ended too many.

    An engine that is silent may be sound, and one that still knows the request is.
    Engines that have ended at the same time as the one that failed do not count.

    Raises
    ------
    FailureError
        If the request must not be sent to further engines.
    """
    if failure.kind not in END_KINDS:
        return
    peer = EndpointId(failure.peer)
    found = probe_results.get(peer)
    is_alive = peer in answer.silent or (found is not None and found.known)
    if is_alive or failure.ran is Ran.NO:
        return
    now = router.clock.monotonic()
    router.crash_watch.note_lost(answer.subject, [peer], now)
    refusal = router.crash_watch.refuse(answer.subject, answer.request, now)
    if refusal is not None:
        raise FailureError(
            give_up_failure("harmful-request", answer, refusal.detail, failure)
        )


def record_probe_outcomes(
    router: Router, failure: Failure, probe_results: ProbeResults
) -> None:
    """Record unresponsive endpoints and the failed one in their circuit breakers."""
    now = router.clock.monotonic()
    for name, found in probe_results.items():
        if found is None:
            router.circuit_breakers.record_failure(name, now, unreachable=True)
        elif name == failure.peer:
            router.circuit_breakers.record_failure(name, now)


async def wait_before_retry(router: Router, answer: Answer) -> None:
    """
    Wait with backoff before a retry, except after the first failure in a row.

    The wait ends at the deadline of the answer at the latest.
    """
    if answer.consecutive_failures < 2:
        return
    delay = jittered_delay(answer.consecutive_failures - 1, router.rng)
    remaining = answer.deadline - router.clock.monotonic()
    await router.clock.sleep(max(0.0, min(delay, remaining)))


def count_failure(answer: Answer, failure: Failure) -> None:
    """Count a failed attempt; raise `FailureError` if no attempt is left."""
    position = len(answer.ledger.tokens)
    answer.consecutive_failures += 1
    if answer.consecutive_failures >= answer.route.retry.max_attempts:
        detail = (
            f"{answer.consecutive_failures} attempts in a row failed "
            f"at position {position}"
        )
        raise FailureError(
            give_up_failure("attempts-exhausted", answer, detail, failure)
        )


def spend_retry_budget(
    router: Router, answer: Answer, failure: Failure, probe_results: ProbeResults
) -> None:
    """
    Count a retry; raise `FailureError` if the route's retry budget is spent.

    Two kinds of retry do not use the budget: the replacement of an unresponsive
    stage, since the load on that stage has ended too, and any retry in the middle of
    an answer, since the work done so far would otherwise be lost.  `count_failure`
    and the deadline bound both.
    """
    if answer.ledger.tokens or None in probe_results.values():
        return
    if not router.retry_budget(answer.route).spend(router.clock.monotonic()):
        detail = "too many recent requests of this route were retried"
        raise FailureError(give_up_failure("retry-budget", answer, detail, failure))


def give_up_failure(kind: str, answer: Answer, detail: str, cause: Failure) -> Failure:
    """Return the failure of an answer that is not retried."""
    detail = f"{detail}; the last failure was: {cause}"
    return Failure(Step.STREAM, cause.peer, kind, detail, answer.ran, retry_after=1.0)


def choose_fallback_chain(router: Router, answer: Answer) -> list[Stage] | None:
    """
    Clear the answer's excluded endpoints, and return a chain or None.

    An answer that already has tokens may also use endpoints with an open circuit
    breaker, since its work would be lost otherwise; an answer without tokens fails
    fast.
    """
    answer.excluded.clear()
    chain = choose_chain(router, answer)
    if chain is None and answer.ledger.tokens:
        with router.circuit_breakers.bypassed():
            chain = choose_chain(router, answer)
    return chain


def set_cache_imports(
    old: list[Stage], new: list[Stage], probe_results: ProbeResults
) -> list[Stage]:
    """
    Return the new chain, with the URLs from which replaced stages import KV caches.

    Parameters
    ----------
    old : list of Stage
        The chain of the failed attempt.
    new : list of Stage
        The chain of the next attempt.
    probe_results : dict
        Progress of the old stages; a stage that still holds the request can export
        its KV cache.
    """
    exporters = {}
    for stage in old:
        found = probe_results.get(stage.endpoint)
        if found is not None and found.known:
            exporters[stage.layers] = stage
    marked = []
    for stage in new:
        source = exporters.get(stage.layers)
        useful = source is not None and source.endpoint != stage.endpoint
        url = source.url if source is not None and useful else ""
        marked.append(attrs.evolve(stage, import_from=url))
    return marked


def no_pipeline_failure(answer: Answer) -> Failure:
    """Return the failure of an answer without an available pipeline."""
    position = len(answer.ledger.tokens)
    detail = f"no pipeline of {answer.pool.name!r} is left at position {position}"
    return Failure(Step.CHOOSE, "", "no-pipeline", detail, answer.ran, retry_after=1.0)
