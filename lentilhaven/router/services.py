"""HTTP handlers that forward calls to plain services."""

import asyncio
from urllib.parse import quote

import attrs
from aiohttp import web

from lentilhaven.control.claim import (
    ClaimAnswer,
    ClaimOutcome,
    ClaimRequest,
    Settlement,
    SettleOutcome,
)
from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.hashing import content_hash
from lentilhaven.core.ids import EndpointId, RouteName
from lentilhaven.core.ran import Ran
from lentilhaven.core.request_context import current_request
from lentilhaven.core.step import Step
from lentilhaven.endpoints.service_client import ServiceCall
from lentilhaven.idempotency.dispatch import DispatchCallbacks, dispatch
from lentilhaven.idempotency.guarded_call import GuardedCall
from lentilhaven.peering.subject import Subject
from lentilhaven.router.admission import within_quota
from lentilhaven.router.app_keys import ROUTER, authenticate_caller
from lentilhaven.router.crash_checks import call_subject
from lentilhaven.router.problems import problem_response
from lentilhaven.router.router import Router
from lentilhaven.router.service_attempt import (
    ServiceAttempt,
    choose_endpoint,
    no_endpoint_failure,
    send_call,
)
from lentilhaven.router.service_headers import forwarded_headers
from lentilhaven.router.service_records import (
    record_response,
    relay_response,
    replay_response,
    replayable_response,
)
from lentilhaven.tables.matching import RequestTraits, match_service
from lentilhaven.tables.pool import Pool
from lentilhaven.tables.route import Route
from lentilhaven.tables.workspace import Workspace

#: Seconds after a route's deadline from which the outcome of an unsettled claim counts
#: as unknown.
SETTLEMENT_MARGIN = 30.0


async def forward_call(request: web.Request) -> web.StreamResponse:
    """Handle ``/services/{route}/...``."""
    router = request.app[ROUTER]
    workspace = authenticate_caller(request)
    route = find_route(router, workspace, request)
    with within_quota(router, workspace):
        return await forward_within_quota(request, router, workspace, route)


async def forward_within_quota(
    request: web.Request, router: Router, workspace: Workspace, route: Route
) -> web.StreamResponse:
    """Forward a call, under a claim unless the route lists its method as idempotent."""
    call = await read_call(request)
    subject = call_subject(workspace.id, route, call)
    if request.method in route.idempotent_methods:
        return await forward_idempotent(router, route, call, subject)
    key = read_idempotency_key(request)
    if router.settler.overloaded:
        detail = "too many calls wait for their settlement"
        failure = Failure(Step.ADMIT, "", "unsettled-calls", detail, retry_after=1.0)
        raise FailureError(failure)
    claim = make_claim(router, workspace, route, key, call)
    # A caller that disconnects cancels this handler but must not cancel the call.
    task = router.settler.run_tracked(
        forward_non_idempotent(router, route, call, subject, claim)
    )
    return await asyncio.shield(task)


def read_idempotency_key(request: web.Request) -> str:
    """
    Return the idempotency key of a call.

    Raises
    ------
    FailureError
        If the key is missing.  A malformed key has already been refused by
        `lentilhaven.router.router_api.check_request`.

    References
    ----------
    IETF draft-ietf-httpapi-idempotency-key-header, "The Idempotency-Key HTTP
    Header Field".
    """
    key = request.headers.get("Idempotency-Key", "").strip().strip('"')
    if not key:
        detail = f"{request.method} is not idempotent here; send Idempotency-Key"
        raise FailureError(Failure(Step.PARSE, "", "key-required", detail))
    return key


def find_route(router: Router, workspace: Workspace, request: web.Request) -> Route:
    """
    Return the route that matches a call.

    Raises
    ------
    FailureError
        If no route matches.
    """
    name = request.match_info["route"]
    traits = RequestTraits(
        workspace.id,
        method=request.method,
        path="/" + request.match_info["path"],
        priority=workspace.priority,
    )
    route = match_service(router.view.tables, name, traits)
    if route is None:
        detail = f"no route called {name!r} answers {request.method} {traits.path}"
        raise FailureError(Failure(Step.ROUTE, "", "no-route", detail))
    return route


async def read_call(request: web.Request) -> ServiceCall:
    """Read the call to forward from the caller's request."""
    path = "/" + request.match_info["path"]
    if request.query_string:
        path += "?" + request.query_string
    headers = forwarded_headers(request.headers.items())
    return ServiceCall(request.method, path, headers, await request.read())


def make_claim(
    router: Router,
    workspace: Workspace,
    route: Route,
    key: str,
    call: ServiceCall,
) -> ClaimRequest:
    """Return the claim under which a non-idempotent call is dispatched."""
    fingerprint = content_hash([call.method, call.path, call.body.hex()])
    # The journal grants the dispatch to this request id, so it is not taken from the
    # caller.
    request = current_request(router.rng)
    pool = router.view.tables.find_pool(route.pool)
    return ClaimRequest(
        workspace.id,
        RouteName(route.name),
        key,
        fingerprint,
        request,
        in_progress_limit=route.deadline + SETTLEMENT_MARGIN,
        rerun_unknown=pool.checks_idempotency_keys,
    )


async def forward_idempotent(
    router: Router, route: Route, call: ServiceCall, subject: Subject
) -> web.StreamResponse:
    """
    Send a call to one endpoint after another until one of them responds.

    The route's deadline, its maximum number of attempts and its retry budget bound
    the sends, and so do the endpoints that have ended under the call.
    """
    now = router.clock.monotonic()
    request = current_request(router.rng)
    refusal = router.crash_watch.refuse(subject, request, now)
    if refusal is not None:
        return problem_response(refusal)
    tried: set[EndpointId] = set()
    failure = no_endpoint_failure(route)
    budget = router.retry_budget(route)
    budget.record_request(router.clock.monotonic())
    deadline = router.clock.monotonic() + route.deadline
    for _ in range(route.retry.max_attempts):
        endpoint = choose_endpoint(router, route, tried)
        now = router.clock.monotonic()
        if endpoint is None or now >= deadline:
            break
        if tried and (
            router.crash_watch.forbids_repeat(subject) or not budget.spend(now)
        ):
            break
        outcome = await send_call(
            router, router.session, endpoint, call, subject, deadline - now
        )
        if outcome.is_ok():
            return relay_response(outcome.ok)
        failure = outcome.error
        tried.add(endpoint.id)
        router.counters["lookups_retried"] += 1
    return problem_response(failure)


async def forward_non_idempotent(
    router: Router,
    route: Route,
    call: ServiceCall,
    subject: Subject,
    claim: ClaimRequest,
) -> web.StreamResponse:
    """Dispatch a call under a claim, so that it runs at most once."""
    pool = router.view.tables.find_pool(route.pool)
    scoped_call = scope_key(pool, call, claim)
    attempt = ServiceAttempt(router, route, pool, scoped_call, subject, claim.request)
    ports = DispatchCallbacks(
        router.agent.claim,
        attempt.send,
        router.settler.settle,
        max_sends=max(1, route.retry.max_attempts),
    )
    dispatched = await dispatch(GuardedCall(claim), ports)
    if dispatched.refusal is not None:
        return await answer_ungranted_claim(router, attempt, claim, dispatched.refusal)
    if dispatched.failure is not None or attempt.response is None:
        failure = dispatched.failure or no_endpoint_failure(route)
        return problem_response(attrs.evolve(failure, ran=dispatched.ran))
    return relay_response(attempt.response)


def scope_key(pool: Pool, call: ServiceCall, claim: ClaimRequest) -> ServiceCall:
    """
    Qualify a call's key by workspace and route if the pool's endpoints use keys.

    Otherwise an endpoint that checks keys would answer one workspace with the
    response of another workspace that chose the same key.
    """
    if not (pool.checks_idempotency_keys or pool.answers_status):
        return call
    key_parts = (
        quote(part, safe="") for part in (claim.workspace, claim.route, claim.key)
    )
    headers = {
        name: value
        for name, value in call.headers.items()
        if name.lower() != "idempotency-key"
    }
    headers["Idempotency-Key"] = "/".join(key_parts)
    return attrs.evolve(call, headers=headers)


async def answer_ungranted_claim(
    router: Router, attempt: ServiceAttempt, claim: ClaimRequest, answer: ClaimAnswer
) -> web.StreamResponse:
    """
    Answer a call whose claim was not granted, with a stored response if any.

    If the outcome of the call is unknown, the endpoints are asked for the response.
    A response that one of them has stored also settles the original claim.
    """
    if answer.outcome is ClaimOutcome.UNKNOWN and answer.holder is not None:
        response = await attempt.query_endpoints()
        if response is not None:
            original_claim = attrs.evolve(claim, request=answer.holder)
            recorded = record_response(response)
            router.settler.settle(
                Settlement(original_claim, SettleOutcome.DONE, recorded)
            )
            return (
                replay_response(recorded)
                if not recorded.truncated
                else relay_response(response)
            )
    return ungranted_claim_response(answer)


def ungranted_claim_response(answer: ClaimAnswer) -> web.StreamResponse:
    """Return the replay or the problem that answers a claim that was not granted."""
    recorded = replayable_response(answer)
    if recorded is not None:
        return replay_response(recorded)
    if answer.failure is not None:
        failure = answer.failure
        kind = "bad-key" if failure.kind == "bad-key" else "claim-unavailable"
        retry_after = None if kind == "bad-key" else failure.retry_after or 1.0
        detail = f"{failure.kind}: {failure.detail}"
        refused = Failure(Step.CLAIM, failure.peer, kind, detail, Ran.NO, retry_after)
        return problem_response(refused)
    return problem_response(CLAIM_FAILURES[answer.outcome])


#: Failure by outcome of a claim that was not granted.
CLAIM_FAILURES = {
    ClaimOutcome.IN_PROGRESS: Failure(
        Step.CLAIM,
        "",
        "in-progress",
        "a call with this key is in progress",
        Ran.UNKNOWN,
        retry_after=1.0,
    ),
    ClaimOutcome.UNKNOWN: Failure(
        Step.CLAIM,
        "",
        "outcome-unknown",
        "a call with this key has an unknown outcome and won't run again",
        Ran.UNKNOWN,
    ),
    ClaimOutcome.REPLAY: Failure(
        Step.CLAIM,
        "",
        "response-not-recorded",
        "a call with this key has run; its response was too large to record",
        Ran.YES,
    ),
    ClaimOutcome.MISMATCH: Failure(
        Step.CLAIM,
        "",
        "key-reused",
        "the key was used with another method, path or body",
    ),
    ClaimOutcome.EXPIRED: Failure(
        Step.CLAIM,
        "",
        "key-expired",
        "the key is older than the journal keeps; a call with it may have run",
        Ran.UNKNOWN,
    ),
    ClaimOutcome.UNAVAILABLE: Failure(
        Step.CLAIM,
        "",
        "claim-unavailable",
        "the journal did not answer",
        retry_after=1.0,
    ),
}
