"""
Goes on with an answer that another router, or another connection, began.

The stream lives at its engines; a VM that gets the last event id reads it on.
Attempt numbers jump by a large random step, so that of two routers which work
on one answer the engines obey the newer one and refuse the older.
"""

import asyncio

from lentilhaven.answers.answer_ledger import AnswerLedger
from lentilhaven.answers.event_id import ResumePoint, read_event_id
from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.ids import EndpointId, RequestId
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.endpoints.stage import Stage
from lentilhaven.endpoints.stream_order import StreamOrder
from lentilhaven.router.answer import Answer
from lentilhaven.router.completion_request import CompletionRequest
from lentilhaven.router.router import Router
from lentilhaven.tables.pool import Pool
from lentilhaven.tables.route import Route
from lentilhaven.tables.workspace import Workspace

#: Bounds of the step by which a resumed answer's next attempt number rises.
ATTEMPT_STEPS = (2, 1 << 30)


def check_event_id(router: Router, workspace: Workspace, event_id: str) -> ResumePoint:
    """
    Return where a caller's answer goes on.

    Raises
    ------
    FailureError
        If the id is forged, foreign or expired.
    """
    now = router.clock.wall()
    outcome = read_event_id(router.event_key, event_id, workspace.id, now)
    if outcome.is_error():
        raise FailureError(outcome.error)
    return outcome.ok


async def find_answer(
    router: Router, route: Route, wanted: CompletionRequest, point: ResumePoint
) -> Answer:
    """
    Return the running answer that an event id names.

    Parameters
    ----------
    router : Router
        Has the engines' client.
    route : Route
        The route that answers the request now.
    wanted : CompletionRequest
        What the caller sent again.
    point : ResumePoint
        Where the answer goes on.

    Raises
    ------
    FailureError
        If no engine has the stream any more, or it answers something else.
    """
    pool = find_pool(router, point)
    order = await find_order(router, pool, point)
    same = order.prompt == wanted.prompt and order.max_tokens == wanted.max_tokens
    if not same or order.model != wanted.model:
        detail = "the request differs from the one that the event id belongs to"
        raise FailureError(Failure(Step.RESUME, "", "resume-mismatch", detail))
    chain = known_stages(pool, [stage.endpoint for stage in order.chain])
    ledger = AnswerLedger(point.request, order.version, pool.layer_count)
    ledger.adopt_attempt(
        order.attempt, [it.endpoint for it in chain], list(order.generated)
    )
    return Answer(
        request=point.request,
        workspace=point.workspace,
        wanted=wanted,
        route=route,
        pool=pool,
        version=order.version,
        deadline=router.clock.monotonic() + min(order.remaining, route.deadline),
        ledger=ledger,
        chain=chain,
        attempt_step=router.random.randint(*ATTEMPT_STEPS),
        maybe_ran=True,
        forward_from=point.position,
    )


def find_pool(router: Router, point: ResumePoint) -> Pool:
    """Return the pool that an event id names, if the tables still have it."""
    for pool in router.view.tables.pools:
        if pool.name == point.pool:
            return pool
    raise FailureError(lost(f"there is no pool {point.pool!r} any more"))


def known_stages(pool: Pool, names: list[EndpointId]) -> list[Stage]:
    """Return stages with the addresses that the tables give, never the engines."""
    specs = {spec.id: spec for spec in pool.endpoints}
    stages = []
    for name in names:
        spec = specs.get(name)
        if spec is None or spec.layers is None:
            raise FailureError(lost(f"endpoint {name!r} is not in the tables"))
        stages.append(Stage(spec.id, spec.url, spec.layers))
    return stages


async def find_order(router: Router, pool: Pool, point: ResumePoint) -> StreamOrder:
    """
    Return the newest order of a request.

    A stage that was replaced may have been the head, so that every stage which
    the id names is asked for the newest chain that it knows.
    """
    tried: set[EndpointId] = set()
    names = point.chain
    for _ in range(2):
        newest = await find_newest_chain(router, known_stages(pool, names), point)
        if not newest or newest[0] in tried:
            break
        head = known_stages(pool, newest[:1])[0]
        tried.add(head.endpoint)
        outcome = await router.engines.read_order(head, point.request)
        if outcome.is_ok() and outcome.ok.request == point.request:
            return outcome.ok
        names = newest
    raise FailureError(lost("no engine has the stream any more"))


async def find_newest_chain(
    router: Router, stages: list[Stage], point: ResumePoint
) -> list[EndpointId]:
    """Return the chain of the newest attempt that the stages know."""
    request = RequestId(point.request)
    probes = [router.engines.probe(stage, request) for stage in stages]
    found = [it for it in await asyncio.gather(*probes) if it is not None and it.known]
    if not found:
        return []
    return max(found, key=lambda progress: progress.attempt).chain


def lost(detail: str) -> Failure:
    """Return the failure of an answer that can't be gone on with."""
    return Failure(Step.RESUME, "", "resume-lost", detail, Ran.UNKNOWN)


def stream_point(router: Router, answer: Answer) -> ResumePoint:
    """
    Return where the answer goes on, without its position.

    Parameters
    ----------
    router : Router
        Has the clock and the settings.
    answer : Answer
        The answer, with the chain of its current attempt.
    """
    left = answer.deadline - router.clock.monotonic()
    expires = router.clock.wall() + left + router.settings.resume_window
    return ResumePoint(
        workspace=answer.workspace,
        request=answer.request,
        pool=answer.pool.name,
        chain=[stage.endpoint for stage in answer.chain],
        expires=int(expires) + 1,
    )


def pieces_missed(answer: Answer) -> list[str]:
    """Return the tokens from the caller's position on that an attempt began with."""
    return answer.ledger.tokens[answer.forward_from :]
