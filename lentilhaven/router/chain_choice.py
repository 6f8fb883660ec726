"""Chooses and repairs the pipeline of an answer."""

from lentilhaven.core.ids import EndpointId
from lentilhaven.endpoints.stage import Stage
from lentilhaven.pipelines.path_loads import PathRequest
from lentilhaven.pipelines.path_plan import PathPlan
from lentilhaven.pipelines.range_group import Member
from lentilhaven.router.answer import Answer
from lentilhaven.router.path_state import PathState
from lentilhaven.router.router import Router

#: Tokens of a prompt's beginning that stand for its prefix.
PREFIX_TOKENS = 16


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
    state = state_of(router, answer)
    plan = current_plan(router, answer, state)
    state.chooser.count_demand(plan, router.clock.monotonic())
    size = size_of(answer)
    path = state.chooser.choose(plan, size, router.random)
    return take_path(state, answer, path, size)


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
    if not lost:
        return answer.chain
    state = state_of(router, answer)
    state.chooser.suspects.add(lost, router.clock.monotonic())
    plan = current_plan(router, answer, state)
    size = size_of(answer)
    path = members_of(answer)
    repaired = state.chooser.repair(plan, size, path, lost, router.random)
    return take_path(state, answer, repaired, size)


def state_of(router: Router, answer: Answer) -> PathState:
    """Return the router's state for an answer's pool, brought up to date."""
    state = router.paths.setdefault(answer.pool.name, PathState())
    state.chooser.loads.own = router.own_load
    state.follow(router.view, answer.route, answer.pool)
    return state


def current_plan(router: Router, answer: Answer, state: PathState) -> PathPlan:
    """Return the plan without the endpoints that may not be used."""
    unusable = {
        spec.id
        for spec in answer.pool.endpoints
        if spec.id in answer.excluded or not router.may_use(spec.id)
    }
    now = router.clock.monotonic()
    return state.chooser.plan(answer.pool, answer.version, unusable, now)


def size_of(answer: Answer) -> PathRequest:
    """Return the size and prefix of an answer."""
    prompt = answer.wanted.prompt
    prefix = "".join(prompt[:PREFIX_TOKENS]) if len(prompt) >= PREFIX_TOKENS else ""
    return PathRequest(len(prompt) + answer.wanted.max_tokens, prefix)


def members_of(answer: Answer) -> list[Member]:
    """Return an answer's pipeline as members of its plan."""
    centres = {spec.id: spec.data_centre for spec in answer.pool.endpoints}
    return [
        Member(it.endpoint, it.layers, centres[it.endpoint], 1.0) for it in answer.chain
    ]


def take_path(
    state: PathState, answer: Answer, path: list[Member] | None, size: PathRequest
) -> list[Stage] | None:
    """Reserve a path's KV memory and return it as stages."""
    if path is None:
        return None
    state.move(answer.request, path, size)
    urls = {spec.id: spec.url for spec in answer.pool.endpoints}
    return [Stage(it.endpoint, urls[it.endpoint], it.layers) for it in path]
