"""
Admits, queues or refuses the answers of a router.

A handler wraps its work in `admitted`::

    async with admitted(router, answer):
        ...

and tells `note_token` of each token, so that limits follow what callers see.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.ids import RequestId
from lentilhaven.core.step import Step
from lentilhaven.limits.adaptive_limit import AdaptiveLimit, first_limit
from lentilhaven.limits.admission_policies import ADMISSION_POLICIES
from lentilhaven.limits.admission_state import AdmissionState
from lentilhaven.limits.drain_rate import DrainRate
from lentilhaven.limits.gate import Gate
from lentilhaven.limits.ticket import Ticket, class_weight
from lentilhaven.pipelines.bound import bound_of
from lentilhaven.router.answer import Answer
from lentilhaven.router.chain_choice import state_of
from lentilhaven.router.router import Router
from lentilhaven.tables.workspace import Workspace

#: Seconds to the first token, and between tokens, for 95 of 100.
FIRST_TOKEN_TARGET, BETWEEN_TOKENS_TARGET = 1.9, 0.049


@attrs.define
class Admission:
    """
    The gate to one pool and the requests that wait at it.

    Attributes
    ----------
    gate : Gate
        Decides.
    waiters : dict
        Future by waiting request; done once the request may start.
    started : dict
        Monotonic time at which a request started, until its first token.
    last_token : dict
        Monotonic time of the newest token by running request.
    """

    gate: Gate
    waiters: dict[RequestId, asyncio.Future] = attrs.field(factory=dict)
    started: dict[RequestId, float] = attrs.field(factory=dict)
    last_token: dict[RequestId, float] = attrs.field(factory=dict)

    def start_waiting(self, now: float) -> None:
        """Start every request that the gate lets through now."""
        while (ticket := self.gate.pick()) is not None:
            self.gate.start(ticket, now)
            self.started[ticket.request] = now
            waiter = self.waiters.pop(ticket.request)
            if not waiter.done():
                waiter.set_result(None)

    def leave(self, ticket: Ticket, now: float) -> None:
        """Count a request out, whether it waits or runs."""
        self.started.pop(ticket.request, None)
        self.last_token.pop(ticket.request, None)
        if ticket.request in self.gate.state.running:
            self.gate.finish(ticket, now)
        else:
            # The caller went away while it waited.
            self.waiters.pop(ticket.request, None)
            self.gate.state.dequeue(ticket)
        self.start_waiting(now)


@asynccontextmanager
async def admitted(router: Router, answer: Answer) -> AsyncIterator[None]:
    """
    Hold a place among the requests in flight while the context lasts.

    Parameters
    ----------
    router : Router
        The router.
    answer : Answer
        The answer that asks to be admitted.

    Raises
    ------
    FailureError
        At once, if the request could not start in time.
    """
    admission = admission_of(router, answer)
    now = router.clock.monotonic()
    ticket = make_ticket(router, answer, admission.gate, now)
    retry_after = admission.gate.offer(ticket, now)
    if retry_after is not None:
        router.counters["refused_overloaded"] += 1
        raise FailureError(overloaded(answer, retry_after))
    paths = state_of(router, answer)
    waiter: asyncio.Future = asyncio.get_running_loop().create_future()
    admission.waiters[answer.request] = waiter
    try:
        admission.start_waiting(now)
        await waiter
        paths.open(answer.request)
        yield
    finally:
        paths.close(answer.request)
        admission.leave(ticket, router.clock.monotonic())


def note_token(router: Router, answer: Answer) -> None:
    """
    Let limits and link timing follow a token that has just been forwarded.

    Parameters
    ----------
    router : Router
        The router.
    answer : Answer
        The answer that the token belongs to.
    """
    admission = router.admissions.get(answer.pool.name)
    if admission is None or answer.request not in admission.gate.state.running:
        return
    now = router.clock.monotonic()
    last = admission.last_token.get(answer.request)
    admission.last_token[answer.request] = now
    began = admission.started.pop(answer.request, None)
    if began is not None:
        admission.gate.observe_first(now - began)
    elif last is not None:
        admission.gate.observe(now - last, now)
        state_of(router, answer).note_gap(answer.request, now - last, now)


def admission_of(router: Router, answer: Answer) -> Admission:
    """Return the router's admission to an answer's pool, making it if need be."""
    name = answer.pool.name
    if name not in router.admissions:
        router.admissions[name] = Admission(make_gate(router, answer))
    admission = router.admissions[name]
    wanted = answer.route.policies.admission
    admission.gate.policy = wanted if wanted in ADMISSION_POLICIES else "deadline"
    return admission


def make_gate(router: Router, answer: Answer) -> Gate:
    """Return a gate that begins with this router's part of the pool's bound."""
    mix = state_of(router, answer).chooser.mix
    bound = bound_of(answer.pool, mix, answer.version).rate
    routers = max(1, len(router.view.live_vms))
    limit = first_limit(bound, BETWEEN_TOKENS_TARGET, routers)
    duration = mix.generated_tokens * BETWEEN_TOKENS_TARGET
    state = AdmissionState(
        AdaptiveLimit(BETWEEN_TOKENS_TARGET, max(2.0, limit)),
        DrainRate(mix.total_tokens, duration),
    )
    return Gate(state)


def make_ticket(router: Router, answer: Answer, gate: Gate, now: float) -> Ticket:
    """Return the ticket of an answer."""
    workspace = find_workspace(router, answer)
    due = min(now + FIRST_TOKEN_TARGET, answer.deadline)
    return Ticket(
        answer.request,
        answer.workspace,
        class_weight(workspace.weight, workspace.priority),
        workspace.priority,
        len(answer.wanted.prompt) + answer.wanted.max_tokens,
        now,
        gate.start_by(due),
    )


def find_workspace(router: Router, answer: Answer) -> Workspace:
    """Return an answer's workspace; a removed one counts as ordinary."""
    for workspace in router.view.tables.workspaces:
        if workspace.id == answer.workspace:
            return workspace
    return Workspace(answer.workspace, [])


def overloaded(answer: Answer, retry_after: float) -> Failure:
    """Return the failure of a refused request."""
    detail = f"pool {answer.pool.name!r} can't start this request in time"
    return Failure(Step.ADMIT, "", "overloaded", detail, retry_after=retry_after)
