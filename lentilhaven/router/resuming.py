"""
Resumes an answer that began on another router or another connection.

Engines hold the state of a stream, so that any VM can resume the stream from the
caller's last event id.  The next attempt of a resumed answer raises the attempt
number by a large random step.  If two routers work on one answer, their attempt
numbers therefore almost certainly differ, and the engines accept the attempt with the
higher number and refuse the other attempt.
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

#: Bounds of the random increment of a resumed answer's next attempt number.  The
#: router that began the answer increments the number by 1.
ATTEMPT_STEP_BOUNDS = (2, 1 << 30)


def check_event_id(router: Router, workspace: Workspace, event_id: str) -> ResumePoint:
    """
    Return the point at which a caller resumes an answer.

    Raises
    ------
    FailureError
        If the id is forged, expired or belongs to another workspace.
    """
    now = router.clock.wall()
    outcome = read_event_id(router.event_key, event_id, workspace.id, now)
    if outcome.is_error():
        raise FailureError(outcome.error)
    return outcome.ok


async def restore_answer(
    router: Router,
    route: Route,
    completion_request: CompletionRequest,
    point: ResumePoint,
) -> Answer:
    """
    Return the running answer that an event id identifies.

    Parameters
    ----------
    router : Router
        Provides the engine client.
    route : Route
        Route that currently matches the request.
    completion_request : CompletionRequest
        The request that the caller sent again.
    point : ResumePoint
        Where the answer is resumed.

    Raises
    ------
    FailureError
        If the pool or an endpoint is no longer in the tables, no engine holds the
        stream, or the stream answers another request.
    """
    pool = find_pool(router, point)
    order = await fetch_order(router, pool, point)
    same = (
        order.prompt == completion_request.prompt
        and order.max_tokens == completion_request.max_tokens
    )
    if not same or order.model != completion_request.model:
        detail = "the request differs from the one that the event id belongs to"
        raise FailureError(Failure(Step.RESUME, "", "resume-mismatch", detail))
    chain = resolve_stages(pool, [stage.endpoint for stage in order.chain])
    ledger = AnswerLedger(point.request, order.version, pool.layer_count)
    ledger.adopt_attempt(
        order.attempt, [it.endpoint for it in chain], list(order.generated)
    )
    return Answer(
        request=point.request,
        workspace=point.workspace,
        completion_request=completion_request,
        route=route,
        pool=pool,
        version=order.version,
        deadline=router.clock.monotonic() + min(order.remaining, route.deadline),
        ledger=ledger,
        chain=chain,
        attempt_step=router.rng.randint(*ATTEMPT_STEP_BOUNDS),
        maybe_ran=True,
        forward_from=point.position,
    )


def find_pool(router: Router, point: ResumePoint) -> Pool:
    """Return the pool named in an event id; raise `FailureError` if there is none."""
    for pool in router.view.tables.pools:
        if pool.name == point.pool:
            return pool
    raise FailureError(resume_failure(f"there is no pool {point.pool!r} any more"))


def resolve_stages(pool: Pool, names: list[EndpointId]) -> list[Stage]:
    """
    Return the stages of endpoints, with addresses from the tables.

    Addresses from engine responses are not used.

    Raises
    ------
    FailureError
        If an endpoint is not in the tables or holds no layers.
    """
    specs = {spec.id: spec for spec in pool.endpoints}
    stages = []
    for name in names:
        spec = specs.get(name)
        if spec is None or spec.layers is None:
            raise FailureError(
                resume_failure(f"endpoint {name!r} is not in the tables")
            )
        stages.append(Stage(spec.id, spec.url, spec.layers))
    return stages


async def fetch_order(router: Router, pool: Pool, point: ResumePoint) -> StreamOrder:
    """
    Return the stream order of a request's newest attempt.

    The head in the event id may have been replaced since the id was sent.  All stages
    in the id are therefore probed for the newest chain that they know.  If the head
    of that chain can't return the order, the stages of that chain are probed too.

    Raises
    ------
    FailureError
        If no engine returns the order.
    """
    tried: set[EndpointId] = set()
    names = point.chain
    for _ in range(2):
        newest = await fetch_newest_chain(router, resolve_stages(pool, names), point)
        if not newest or newest[0] in tried:
            break
        head = resolve_stages(pool, newest[:1])[0]
        tried.add(head.endpoint)
        outcome = await router.engines.read_order(head, point.request)
        if outcome.is_ok() and outcome.ok.request == point.request:
            return outcome.ok
        names = newest
    raise FailureError(resume_failure("no engine has the stream any more"))


async def fetch_newest_chain(
    router: Router, stages: list[Stage], point: ResumePoint
) -> list[EndpointId]:
    """Return the chain of the newest attempt that any stage knows; empty if none."""
    request = RequestId(point.request)
    probes = [router.engines.probe(stage, request) for stage in stages]
    results = await asyncio.gather(*probes)
    found = [it.ok for it in results if it.is_ok() and it.ok.known]
    if not found:
        return []
    return max(found, key=lambda progress: progress.attempt).chain


def resume_failure(detail: str) -> Failure:
    """Return the failure of an answer that can't be resumed."""
    return Failure(Step.RESUME, "", "resume-lost", detail, Ran.UNKNOWN)


def make_resume_point(router: Router, answer: Answer) -> ResumePoint:
    """
    Return the resume point of the current attempt, without a position.

    Parameters
    ----------
    router : Router
        Provides the clock and the settings.
    answer : Answer
        The answer, with the chain of its current attempt.
    """
    remaining = answer.deadline - router.clock.monotonic()
    expires = router.clock.wall() + remaining + router.settings.resume_window
    return ResumePoint(
        workspace=answer.workspace,
        request=answer.request,
        pool=answer.pool.name,
        chain=[stage.endpoint for stage in answer.chain],
        expires=int(expires) + 1,
    )


def missed_tokens(answer: Answer) -> list[str]:
    """Return the accepted tokens from position `answer.forward_from` on."""
    return answer.ledger.tokens[answer.forward_from :]
