"""Explains how a request would be routed."""

import copy
import random
from collections import Counter
from typing import Any

import attrs

from lentilhaven.answers.answer_ledger import AnswerLedger
from lentilhaven.core.failure import FailureError
from lentilhaven.core.ids import ModelName, RequestId, WorkspaceId
from lentilhaven.endpoints.stage import Stage
from lentilhaven.router.answer import Answer
from lentilhaven.router.chain_choice import choose_chain
from lentilhaven.router.completion_request import CompletionRequest, split_tokens
from lentilhaven.router.decisions import describe_stage
from lentilhaven.router.problems import bad_request
from lentilhaven.router.router import Router
from lentilhaven.tables.matching import (
    RequestTraits,
    draw_version,
    matches_traits,
    path_has_prefix,
)
from lentilhaven.tables.pool import Pool, PoolKind
from lentilhaven.tables.route import Route

#: Seed of the random choices of an explanation, so that the result is reproducible.
EXPLANATION_SEED = 1

REQUEST_FIELDS = (
    "workspace",
    "model",
    "service",
    "method",
    "path",
    "priority",
    "prompt",
)


def explain_request(router: Router, document: dict[str, Any]) -> dict[str, Any]:
    """
    Return which route, pool and pipeline would answer a request, and why.

    Nothing is sent, and the router's random generator is not advanced.

    Parameters
    ----------
    router : Router
        The router.
    document : dict
        Description of the request: ``workspace``, and either ``model`` (with
        ``prompt``) or ``service`` (with ``method`` and ``path``).

    Raises
    ------
    FailureError
        If a field is unknown or not a string.
    """
    for name, value in document.items():
        if name not in REQUEST_FIELDS or not isinstance(value, str):
            detail = (
                f"{name[:40]}: unknown, or not text; known: {', '.join(REQUEST_FIELDS)}"
            )
            raise FailureError(bad_request(detail))
    traits = read_traits(router, document)
    service = document.get("service", "")
    considered = []
    for route in router.view.tables.routes:
        reason = find_mismatch(router, route, traits, service)
        considered.append({"route": route.name, "verdict": reason or "matches"})
        if not reason:
            explanation = explain_route(router, route, traits, document)
            return {"considered": considered} | explanation
    return {"considered": considered, "route": None, "why": "no route matches"}


def read_traits(router: Router, document: dict[str, str]) -> RequestTraits:
    """Return those traits of a described request by which routes are matched."""
    workspace = document.get("workspace", "")
    workspaces = {it.id: it for it in router.view.tables.workspaces}
    known_workspace = workspaces.get(WorkspaceId(workspace))
    priority = document.get(
        "priority", known_workspace.priority if known_workspace else "normal"
    )
    return RequestTraits(
        WorkspaceId(workspace),
        method=document.get("method", "GET" if "service" in document else "POST"),
        path=document.get("path", "/") if "service" in document else "",
        model=ModelName(document.get("model", "")),
        priority=priority,
    )


def find_mismatch(
    router: Router, route: Route, traits: RequestTraits, service: str
) -> str:
    """Return why a route does not match a request, or an empty string."""
    pool = router.view.tables.find_pool(route.pool)
    if service:
        if pool.kind is not PoolKind.SERVICE:
            return "its pool holds model engines"
        if route.name != service:
            return "another service"
    elif pool.kind is not PoolKind.ENGINE:
        return "its pool holds plain services"
    elif traits.model not in (route.match.models or [pool.model]):
        return f"answers models {route.match.models or [pool.model]}"
    if matches_traits(route, traits):
        return ""
    return describe_mismatch(route, traits)


def describe_mismatch(route: Route, traits: RequestTraits) -> str:
    """Return the first match condition of a route that a request does not meet."""
    match = route.match
    if match.methods and traits.method not in match.methods:
        return f"answers methods {match.methods}"
    if match.workspaces and traits.workspace not in match.workspaces:
        return f"answers workspaces {match.workspaces[:5]}"
    if match.priorities and traits.priority not in match.priorities:
        return f"answers priorities {match.priorities}"
    if not any(path_has_prefix(traits.path, it) for it in match.paths):
        return f"answers paths {match.paths}"
    return "does not match"


def explain_route(
    router: Router, route: Route, traits: RequestTraits, document: dict[str, str]
) -> dict[str, Any]:
    """Return the explanation of a matching route."""
    pool = router.view.tables.find_pool(route.pool)
    explanation: dict[str, Any] = {
        "route": route.name,
        "pool": pool.name,
        "tables_version": router.view.tables.version,
        "deadline": route.deadline,
        "endpoints": count_endpoints(router, pool),
    }
    if pool.kind is PoolKind.SERVICE:
        usable = [it.id for it in pool.endpoints if router.may_use(it.id)]
        why = "the endpoint with the fewest own calls in flight gets the call"
        return explanation | {"usable": usable, "why": why}
    return explanation | explain_pipeline(router, route, pool, traits, document)


def count_endpoints(router: Router, pool: Pool) -> dict[str, int]:
    """
    Return the number of a pool's endpoints by state.

    An endpoint that the view does not contain counts as live.
    """
    counts: Counter[str] = Counter()
    for spec in pool.endpoints:
        view = router.view.endpoints.get(spec.id)
        counts[view.state.value if view else "live"] += 1
    return dict(sorted(counts.items()))


def explain_pipeline(
    router: Router,
    route: Route,
    pool: Pool,
    traits: RequestTraits,
    document: dict[str, str],
) -> dict[str, Any]:
    """Return the pipeline that would be chosen now, and why."""
    rng = random.Random(EXPLANATION_SEED)
    version = draw_version(route, pool, rng)
    request = RequestId("explanation")
    answer = Answer(
        request=request,
        workspace=traits.workspace,
        completion_request=CompletionRequest(
            traits.model, split_tokens(document.get("prompt", "a")), 1, False, False
        ),
        route=route,
        pool=pool,
        version=version,
        deadline=router.clock.monotonic() + route.deadline,
        ledger=AnswerLedger(request, version, pool.layer_count),
    )
    # An explanation must not change the state of the router's path choice.
    paths = copy.deepcopy(router.path_states)
    chain = choose_chain(attrs.evolve(router, rng=rng, path_states=paths), answer)
    if chain is None:
        why = f"no chain of live endpoints of version {version!r} covers all layers"
        return {"version": version, "pipeline": None, "why": why}
    answer.chain = chain
    stages = [
        attrs.asdict(describe_stage(router, answer, it))
        | {"report": read_report(router, it)}
        for it in chain
    ]
    why = "a chain that covers all layers once; own load stands beside each stage"
    return {"version": version, "pipeline": stages, "why": why}


def read_report(router: Router, stage: Stage) -> dict[str, Any] | None:
    """Return the newest load report of an endpoint and its age."""
    view = router.view.endpoints.get(stage.endpoint)
    if view is None or view.report is None:
        return None
    report = view.report
    return {"running": report.running, "waiting": report.waiting, "age": view.age}
