"""Chooses and repairs the pipeline of an answer."""

from lentilhaven.core.ids import EndpointId
from lentilhaven.endpoints.stage import Stage
from lentilhaven.pipelines.path_loads import PathRequest
from lentilhaven.pipelines.path_plan import PathPlan
from lentilhaven.pipelines.range_group import GroupMember
from lentilhaven.router.answer import Answer
from lentilhaven.router.path_state import PathState
from lentilhaven.router.router import Router

#: Number of leading tokens of a prompt that identify its prefix.
PREFIX_TOKENS = 16


def choose_chain(router: Router, answer: Answer) -> list[Stage] | None:
    """
    Return a pipeline for an answer, or None if there is none.

    The request counts towards the measured demand.  KV memory is reserved on the
    pipeline if the answer has been admitted by this router.

    Parameters
    ----------
    router : Router
        Provides endpoints and their load.
    answer : Answer
        The answer; its excluded endpoints are not used.
    """
    state = get_path_state(router, answer)
    plan = current_plan(router, answer, state)
    state.chooser.count_demand(plan, router.clock.monotonic())
    path_request = make_path_request(answer)
    path = state.chooser.choose(plan, path_request, router.rng)
    return reserve_path(state, answer, path, path_request)


def choose_other_chain(
    router: Router, answer: Answer, avoided: set[EndpointId]
) -> list[Stage] | None:
    """
    Return a pipeline without some endpoints for an answer whose demand is counted.

    Parameters
    ----------
    router : Router
        Provides endpoints and their load.
    answer : Answer
        The answer.
    avoided : set of str
        Endpoints that are not used; they replace the answer's excluded endpoints.
    """
    answer.excluded = set(avoided)
    state = get_path_state(router, answer)
    plan = current_plan(router, answer, state)
    path_request = make_path_request(answer)
    path = state.chooser.choose(plan, path_request, router.rng)
    return reserve_path(state, answer, path, path_request)


def repair_chain(
    router: Router, answer: Answer, lost: set[EndpointId]
) -> list[Stage] | None:
    """
    Return the answer's pipeline with only the lost layer ranges replaced.

    The lost endpoints are excluded from this answer and suspected for others.  The
    KV memory reservation moves to the new pipeline.

    Parameters
    ----------
    router : Router
        Provides endpoints and their load.
    answer : Answer
        The answer.
    lost : set of str
        Endpoints that failed.

    Returns
    -------
    list of Stage or None
        The current chain if `lost` is empty; an entirely new chain if no other
        endpoint holds a lost range; None if there is no chain.
    """
    answer.excluded |= lost
    if not lost:
        return answer.chain
    state = get_path_state(router, answer)
    state.chooser.suspects.add(lost, router.clock.monotonic())
    plan = current_plan(router, answer, state)
    path_request = make_path_request(answer)
    path = chain_members(answer)
    repaired = state.chooser.repair(plan, path_request, path, lost, router.rng)
    return reserve_path(state, answer, repaired, path_request)


def get_path_state(router: Router, answer: Answer) -> PathState:
    """Return the path state of an answer's pool, updated to the current view."""
    state = router.path_states.setdefault(answer.pool.name, PathState())
    state.chooser.loads.own_requests = router.own_load
    state.update(router.view, answer.route, answer.pool)
    return state


def current_plan(router: Router, answer: Answer, state: PathState) -> PathPlan:
    """Return the current path plan without the endpoints that may not be used."""
    unusable = {
        spec.id
        for spec in answer.pool.endpoints
        if spec.id in answer.excluded or not router.may_use(spec.id)
    }
    now = router.clock.monotonic()
    return state.chooser.plan(answer.pool, answer.version, unusable, now)


def make_path_request(answer: Answer) -> PathRequest:
    """
    Return the size and the prompt prefix of an answer.

    The size is the number of tokens of the prompt plus the maximum length of the
    answer.  A prompt of fewer than `PREFIX_TOKENS` tokens has an empty prefix.
    """
    prompt = answer.completion_request.prompt
    prefix = "".join(prompt[:PREFIX_TOKENS]) if len(prompt) >= PREFIX_TOKENS else ""
    return PathRequest(len(prompt) + answer.completion_request.max_tokens, prefix)


def chain_members(answer: Answer) -> list[GroupMember]:
    """
    Return the stages of an answer's current pipeline as `GroupMember` objects.

    Each has a rate of 1.0 and no limit of its KV capacity, instead of the values in the
    path plan.
    """
    data_centres = {spec.id: spec.data_centre for spec in answer.pool.endpoints}
    return [
        GroupMember(it.endpoint, it.layers, data_centres[it.endpoint], 1.0)
        for it in answer.chain
    ]


def reserve_path(
    state: PathState,
    answer: Answer,
    path: list[GroupMember] | None,
    path_request: PathRequest,
) -> list[Stage] | None:
    """Reserve KV memory on a path and return its stages, or None without a path."""
    if path is None:
        return None
    state.reserve(answer.request, path, path_request)
    urls = {spec.id: spec.url for spec in answer.pool.endpoints}
    return [Stage(it.endpoint, urls[it.endpoint], it.layers) for it in path]
