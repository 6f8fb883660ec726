"""
Why recent requests went where they went.

A bounded ring keeps the newest attempts with what was known of each stage and
of its alternatives at the time.  It holds no prompts.
"""

import attrs

from lentilhaven.core.ids import EndpointId
from lentilhaven.endpoints.stage import Stage
from lentilhaven.router.answer import Answer
from lentilhaven.router.router import Router

#: Alternatives of a stage that are listed.
ALTERNATIVES_LISTED = 8


@attrs.frozen
class StageDecision:
    """
    One stage and what stood beside it.

    Attributes
    ----------
    endpoint : str
        The endpoint chosen.
    start, stop : int
        Its layers.
    own_load : int
        Requests of this router at it.
    alternatives : dict
        Requests of this router at other holders of the range that could have
        been chosen.
    """

    endpoint: EndpointId
    start: int
    stop: int
    own_load: int
    alternatives: dict[EndpointId, int]


@attrs.frozen
class Decision:
    """
    One attempt of one answer.

    Attributes
    ----------
    at : float
        Seconds since 1970.
    request, workspace, route, pool, version : str
        What was answered, for whom, and under which rules.
    attempt : int
        Number of the attempt, from 1.
    position : int
        Tokens that were already there.
    tables_version : int
        Version of the tables in force.
    stages : list of StageDecision
        The pipeline.
    excluded : list of str
        Endpoints that had failed this answer.
    """

    at: float
    request: str
    workspace: str
    route: str
    pool: str
    version: str
    attempt: int
    position: int
    tables_version: int
    stages: list[StageDecision]
    excluded: list[EndpointId]


def record_attempt(router: Router, answer: Answer) -> None:
    """
    Remember how an attempt was routed.

    Parameters
    ----------
    router : Router
        Keeps the ring.
    answer : Answer
        The answer whose attempt begins.
    """
    router.decisions.append(
        Decision(
            at=router.clock.wall(),
            request=answer.request,
            workspace=answer.workspace,
            route=answer.route.name,
            pool=answer.pool.name,
            version=answer.version,
            attempt=answer.ledger.attempt,
            position=len(answer.ledger.tokens),
            tables_version=router.view.tables.version,
            stages=[describe_stage(router, answer, it) for it in answer.chain],
            excluded=sorted(answer.excluded),
        )
    )


def describe_stage(router: Router, answer: Answer, stage: Stage) -> StageDecision:
    """Return a stage with the endpoints that could have stood in for it."""
    others: dict[EndpointId, int] = {}
    for spec in answer.pool.endpoints:
        if len(others) == ALTERNATIVES_LISTED:
            break
        same = spec.layers == stage.layers and spec.version == answer.version
        fit = router.may_use(spec.id) and spec.id not in answer.excluded
        if same and fit and spec.id != stage.endpoint:
            others[spec.id] = router.own_load[spec.id]
    return StageDecision(
        stage.endpoint,
        stage.layers.start,
        stage.layers.stop,
        router.own_load[stage.endpoint],
        others,
    )
