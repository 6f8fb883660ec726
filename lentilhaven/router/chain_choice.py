"""Chooses and repairs the pipeline of an answer."""

import attrs

from lentilhaven.core.ids import EndpointId
from lentilhaven.endpoints.stage import Stage
from lentilhaven.pipelines.chain import Candidate, draw_chain
from lentilhaven.router.answer import Answer
from lentilhaven.router.router import Router


def choose_chain(router: Router, answer: Answer) -> list[Stage] | None:
    """
    Return a pipeline for an answer, or None if there is none.

    Parameters
    ----------
    router : Router
        Knows endpoints and their load.
    answer : Answer
        The answer; its excluded endpoints are not used.
    """
    candidates = []
    urls = {}
    for spec in answer.pool.endpoints:
        usable = router.may_use(spec.id) and spec.id not in answer.excluded
        if spec.version != answer.version or spec.layers is None or not usable:
            continue
        weight = 1.0 / (1.0 + router.own_load[spec.id])
        candidates.append(Candidate(spec.id, spec.layers, weight))
        urls[spec.id] = spec.url
    chain = draw_chain(candidates, answer.pool.layer_count, router.random)
    if chain is None:
        return None
    return [Stage(it.endpoint, urls[it.endpoint], it.layers) for it in chain]


def repair_chain(
    router: Router, answer: Answer, lost: set[EndpointId]
) -> list[Stage] | None:
    """
    Return the answer's pipeline with only its lost ranges replaced.

    Parameters
    ----------
    router : Router
        Knows endpoints and their load.
    answer : Answer
        The answer.
    lost : set of str
        Endpoints that failed.

    Returns
    -------
    list of Stage or None
        Another chain altogether if a range has no other holder; None if there
        is no chain at all.
    """
    answer.excluded |= lost
    repaired = []
    for stage in answer.chain:
        if stage.endpoint not in lost:
            repaired.append(stage)
            continue
        replacement = find_holder(router, answer, stage)
        if replacement is None:
            return choose_chain(router, answer)
        repaired.append(replacement)
    return repaired


def find_holder(router: Router, answer: Answer, stage: Stage) -> Stage | None:
    """Return the least loaded other endpoint that holds a stage's range."""
    holders = [
        spec
        for spec in answer.pool.endpoints
        if spec.layers == stage.layers
        and spec.version == answer.version
        and spec.id not in answer.excluded
        and router.may_use(spec.id)
    ]
    if not holders:
        return None
    chosen = min(holders, key=lambda spec: (router.own_load[spec.id], spec.id))
    return attrs.evolve(stage, endpoint=chosen.id, url=chosen.url)
