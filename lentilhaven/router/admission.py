"""
Lets requests in: the workspace's quota, the pool's limit and KV memory.

A request is refused at once or not at all, with the time after which another
try may help.  One that is let in may wait, but no longer than it can afford.
"""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.step import Step
from lentilhaven.limits.quota import Quota, share_of_limit
from lentilhaven.limits.ticket import Ticket, class_weight
from lentilhaven.router.answer import Answer
from lentilhaven.router.chain_choice import state_of
from lentilhaven.router.pool_admission import PoolAdmission, open_pool_admission
from lentilhaven.router.router import Router
from lentilhaven.router.token_pace import TokenPace
from lentilhaven.tables.workspace import Workspace

#: Seconds within which the first token is due.
FIRST_TOKEN_TARGET = 1.9


@contextmanager
def within_quota(router: Router, workspace: Workspace) -> Iterator[None]:
    """
    Hold one request of a workspace's limits while the context lasts.

    Parameters
    ----------
    router : Router
        Knows the number of routers between which limits are divided.
    workspace : Workspace
        Who asks.

    Raises
    ------
    FailureError
        If this router's part of the limits is used up.
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
    """Return this router's part of a workspace's limits, as of now."""
    own = router.settings.vm
    live = {*router.view.live_vms, own}
    demands = dict.fromkeys(live, 0.0)
    rate = share_of_limit(workspace.max_rate, demands, own)
    concurrency = share_of_limit(workspace.max_concurrency, demands, own)
    quota = router.quotas.get(workspace.id)
    if quota is None:
        now = router.clock.monotonic()
        quota = router.quotas[workspace.id] = Quota(rate, concurrency, refilled=now)
    quota.rate, quota.concurrency = rate, concurrency
    return quota


@asynccontextmanager
async def admitted(
    router: Router, answer: Answer, workspace: Workspace
) -> AsyncIterator[None]:
    """
    Hold a place in an answer's pool while the context lasts.

    Parameters
    ----------
    router : Router
        Holds the admission of each pool.
    answer : Answer
        The answer; its KV memory is reserved on the paths that it takes.
    workspace : Workspace
        Who asks.

    Raises
    ------
    FailureError
        If the request can't be answered in time.
    """
    admission = find_admission(router, answer)
    ticket = make_ticket(router, answer, workspace, admission)
    policy = answer.route.policies.admission
    retry_after = admission.offer(ticket, policy, ticket.arrived)
    if retry_after is not None:
        router.counters["refused_overloaded"] += 1
        detail = f"pool {answer.pool.name!r} can't answer in time"
        failure = Failure(Step.ADMIT, "", "overloaded", detail, retry_after=retry_after)
        raise FailureError(failure)
    paths = state_of(router, answer)
    paths.open(answer.request)
    try:
        admission.start_waiting(ticket.arrived)
        await wait_for_start(router, answer, admission.waiting[ticket.request])
        now = router.clock.monotonic()
        answer.pace = TokenPace(admission.gate, paths, answer.request, now)
        yield
    finally:
        paths.close(answer.request)
        admission.leave(ticket, router.clock.monotonic())


def find_admission(router: Router, answer: Answer) -> PoolAdmission:
    """Return the admission of an answer's pool."""
    name = answer.pool.name
    if name not in router.admissions:
        router_count = len(router.view.live_vms)
        router.admissions[name] = open_pool_admission(answer.pool, router_count)
    return router.admissions[name]


def make_ticket(
    router: Router, answer: Answer, workspace: Workspace, admission: PoolAdmission
) -> Ticket:
    """Return what admission knows of an answer."""
    now = router.clock.monotonic()
    due = min(now + FIRST_TOKEN_TARGET, answer.deadline)
    return Ticket(
        request=answer.request,
        workspace=workspace.id,
        weight=class_weight(workspace.weight, workspace.priority),
        priority=workspace.priority,
        tokens=float(len(answer.wanted.prompt) + answer.wanted.max_tokens),
        arrived=now,
        start_by=admission.gate.start_by(due),
    )


async def wait_for_start(
    router: Router, answer: Answer, started: asyncio.Event
) -> None:
    """Wait until an answer may start, at most until its deadline."""
    left = answer.deadline - router.clock.monotonic()
    try:
        async with asyncio.timeout(left):
            await started.wait()
    except TimeoutError as error:
        detail = "the deadline passed before the request could start"
        failure = Failure(Step.ADMIT, "", "deadline", detail, retry_after=1.0)
        raise FailureError(failure) from error
