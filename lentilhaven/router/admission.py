"""
Admission control: workspace quotas, pool concurrency limits and KV memory.

A request is refused on arrival or not at all; a refusal carries the time after
which a retry may succeed.  An admitted request may be queued, but only if it is
expected to start in time; if it is still queued at its deadline, it fails.
"""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.step import Step
from lentilhaven.limits.admission_request import AdmissionRequest, class_weight
from lentilhaven.limits.quota import Quota, share_of_limit
from lentilhaven.router.answer import Answer
from lentilhaven.router.chain_choice import get_path_state
from lentilhaven.router.pool_admission import PoolAdmission, create_pool_admission
from lentilhaven.router.router import Router
from lentilhaven.router.token_latency import TokenLatencyReporter
from lentilhaven.tables.workspace import Workspace

#: Target for the time to first token, in seconds.
FIRST_TOKEN_TARGET = 1.9


@contextmanager
def within_quota(router: Router, workspace: Workspace) -> Iterator[None]:
    """
    Count one request against a workspace's limits while the context is open.

    Requests of a workspace without limits are not counted.

    Parameters
    ----------
    router : Router
        Provides the live routers among which limits are divided.
    workspace : Workspace
        The workspace that sends the request.

    Raises
    ------
    FailureError
        If this router's share of the limits is used up.
    """
    if not workspace.max_rate and not workspace.max_concurrency:
        yield
        return
    quota = current_quota(router, workspace)
    retry_after = quota.try_start(router.clock.monotonic())
    if retry_after is not None:
        router.counters["refused_over_quota"] += 1
        detail = f"workspace {workspace.id!r} is over its limits"
        failure = Failure(
            Step.ADMIT, "", "rate-limited", detail, retry_after=retry_after
        )
        raise FailureError(failure)
    try:
        yield
    finally:
        quota.finish()


def current_quota(router: Router, workspace: Workspace) -> Quota:
    """
    Return a workspace's quota at this router, updated to its current limits.

    The demands of all live routers are given as zero, so that the limits are
    divided evenly between the routers.
    """
    own = router.settings.vm
    live = {*router.view.live_vms, own}
    demands = dict.fromkeys(live, 0.0)
    rate = share_of_limit(workspace.max_rate, demands, own)
    concurrency = share_of_limit(workspace.max_concurrency, demands, own)
    quota = router.quotas.get(workspace.id)
    if quota is None:
        now = router.clock.monotonic()
        quota = router.quotas[workspace.id] = Quota(rate, concurrency, refilled_at=now)
    quota.rate, quota.concurrency = rate, concurrency
    return quota


@asynccontextmanager
async def admitted(
    router: Router, answer: Answer, workspace: Workspace
) -> AsyncIterator[None]:
    """
    Admit an answer to its pool and count it there while the context is open.

    Parameters
    ----------
    router : Router
        Holds the admission of each pool.
    answer : Answer
        The answer.  While the context is open, KV memory can be reserved for it on
        the path (the endpoints that compute it in turn) that it currently uses; the
        reservation is released at the end.  Its `latency_reporter` is set.
    workspace : Workspace
        The workspace that sends the request.

    Raises
    ------
    FailureError
        If the pool is overloaded, or the deadline passes before the start.
    """
    admission = get_pool_admission(router, answer)
    ticket = make_ticket(router, answer, workspace, admission)
    policy = answer.route.policies.admission
    retry_after = admission.offer(ticket, policy, ticket.arrived)
    if retry_after is not None:
        router.counters["refused_overloaded"] += 1
        detail = f"pool {answer.pool.name!r} can't answer in time"
        failure = Failure(Step.ADMIT, "", "overloaded", detail, retry_after=retry_after)
        raise FailureError(failure)
    paths = get_path_state(router, answer)
    paths.begin_reservation(answer.request)
    try:
        admission.start_queued(ticket.arrived)
        await wait_for_start(router, answer, admission.start_events[ticket.request])
        now = router.clock.monotonic()
        answer.latency_reporter = TokenLatencyReporter(
            admission.gate, paths, answer.request, now
        )
        yield
    finally:
        paths.release(answer.request)
        admission.remove(ticket, router.clock.monotonic())


def get_pool_admission(router: Router, answer: Answer) -> PoolAdmission:
    """Return the admission control of an answer's pool, creating it if needed."""
    name = answer.pool.name
    if name not in router.admissions:
        router_count = len(router.view.live_vms)
        router.admissions[name] = create_pool_admission(answer.pool, router_count)
    return router.admissions[name]


def make_ticket(
    router: Router, answer: Answer, workspace: Workspace, admission: PoolAdmission
) -> AdmissionRequest:
    """Return the admission request of an answer that arrives now."""
    now = router.clock.monotonic()
    due = min(now + FIRST_TOKEN_TARGET, answer.deadline)
    return AdmissionRequest(
        request=answer.request,
        workspace=workspace.id,
        weight=class_weight(workspace.weight, workspace.priority),
        priority=workspace.priority,
        tokens=float(
            len(answer.completion_request.prompt) + answer.completion_request.max_tokens
        ),
        arrived=now,
        start_by=admission.gate.start_by(due),
    )


async def wait_for_start(
    router: Router, answer: Answer, started: asyncio.Event
) -> None:
    """Wait until an answer may start; raise `FailureError` at its deadline."""
    remaining = answer.deadline - router.clock.monotonic()
    try:
        async with asyncio.timeout(remaining):
            await started.wait()
    except TimeoutError as error:
        detail = "the deadline passed before the request could start"
        failure = Failure(Step.ADMIT, "", "deadline", detail, retry_after=1.0)
        raise FailureError(failure) from error
