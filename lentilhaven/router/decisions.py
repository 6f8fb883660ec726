"""
Records of recent routing decisions.

A bounded buffer keeps the newest attempts with the load of each stage and of its
alternatives at the time of the decision.  It holds no prompts.
"""

import attrs

from lentilhaven.core.ids import EndpointId
from lentilhaven.endpoints.stage import Stage
from lentilhaven.router.answer import Answer
from lentilhaven.router.router import Router

#: Maximum number of alternatives recorded per stage.
MAX_ALTERNATIVES = 8


@attrs.frozen
class StageDecision:
    """
    One stage of a pipeline and the alternatives to it.

    Attributes
    ----------
    endpoint : str
        The chosen endpoint.
    start, stop : int
        Index of the endpoint's first layer, and index after its last layer.
    own_load : int
        This router's requests in flight at the endpoint.
    alternatives : dict
        This router's requests in flight at other usable endpoints with the same
        layers and version, by endpoint; at most `MAX_ALTERNATIVES` endpoints.
    """

    endpoint: EndpointId
    start: int
    stop: int
    own_load: int
    alternatives: dict[EndpointId, int]


@attrs.frozen
class Decision:
    """
    Routing decision for one attempt of an answer.

    Attributes
    ----------
    at : float
        Wall time of the decision, in seconds since 1970.
    request, workspace : str
        Ids of the request and its workspace.
    route, pool, version : str
        Names of the route and the pool, and the model version.
    attempt : int
        Number of the attempt, from 1.
    position : int
        Number of tokens accepted before the attempt.
    tables_version : int
        Version of the tables in use.
    stages : list of StageDecision
        The pipeline, head first.
    excluded : list of str
        Endpoints that were excluded because they had failed while working on this
        answer.
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
    Record how the current attempt of an answer is routed.

    Parameters
    ----------
    router : Router
        Holds the buffer of decisions.
    answer : Answer
        The answer whose attempt starts.
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
    """Return a stage with the endpoints that could have been chosen instead."""
    alternatives: dict[EndpointId, int] = {}
    for spec in answer.pool.endpoints:
        if len(alternatives) == MAX_ALTERNATIVES:
            break
        same_range = spec.layers == stage.layers and spec.version == answer.version
        usable = router.may_use(spec.id) and spec.id not in answer.excluded
        if same_range and usable and spec.id != stage.endpoint:
            alternatives[spec.id] = router.own_load[spec.id]
    return StageDecision(
        stage.endpoint,
        stage.layers.start,
        stage.layers.stop,
        router.own_load[stage.endpoint],
        alternatives,
    )
