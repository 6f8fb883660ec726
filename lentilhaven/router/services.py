"""The handlers of plain services."""

import base64

from aiohttp import web

from lentilhaven.control.claim import (
    ClaimAnswer,
    ClaimOutcome,
    ClaimRequest,
    RecordedResponse,
    Settlement,
    SettleOutcome,
)
from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.hashing import content_hash
from lentilhaven.core.ids import EndpointId, RouteName
from lentilhaven.core.ran import Ran
from lentilhaven.core.request_context import current_request
from lentilhaven.core.step import Step
from lentilhaven.endpoints.service_client import (
    ServiceCall,
    ServiceResponse,
    call_service,
)
from lentilhaven.router.app_keys import ROUTER, read_workspace
from lentilhaven.router.problems import problem_response
from lentilhaven.router.router import Router
from lentilhaven.router.service_headers import forwarded_headers
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.matching import RequestTraits, match_service
from lentilhaven.tables.route import Route
from lentilhaven.tables.workspace import Workspace

#: Largest response that is recorded for replay, in bytes.
RECORD_LIMIT = 4096


async def forward_call(request: web.Request) -> web.StreamResponse:
    """Answer ``/services/{route}/...``."""
    router = request.app[ROUTER]
    workspace = read_workspace(request)
    route = find_route(router, workspace, request)
    call = await read_call(request)
    if request.method in route.idempotent_methods:
        return await forward_idempotent(router, route, call)
    key = request.headers.get("Idempotency-Key", "").strip().strip('"')
    if not key:
        detail = f"{request.method} is not idempotent here; send Idempotency-Key"
        raise FailureError(Failure(Step.PARSE, "", "key-required", detail))
    claim = make_claim(router, workspace, route, key, call)
    return await forward_once(router, route, call, claim)


def find_route(router: Router, workspace: Workspace, request: web.Request) -> Route:
    """
    Return the route that answers a call.

    Raises
    ------
    FailureError
        If there is none.
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
    """Read a call from the caller's request."""
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
    """Return the claim that a non-idempotent call needs."""
    fingerprint = content_hash([call.method, call.path, call.body.hex()])
    request = current_request(router.random)
    return ClaimRequest(workspace.id, RouteName(route.name), key, fingerprint, request)


async def forward_idempotent(
    router: Router, route: Route, call: ServiceCall
) -> web.StreamResponse:
    """Send a call to one endpoint after another until one answers."""
    tried: set[EndpointId] = set()
    failure = no_endpoint(route)
    for _ in range(route.retry.max_attempts):
        endpoint = choose_endpoint(router, route, tried)
        if endpoint is None:
            break
        outcome = await call_service(router.session, endpoint, call, route.deadline)
        if outcome.is_ok():
            return relay(outcome.ok)
        failure = outcome.error
        tried.add(endpoint.id)
        router.counters["lookups_retried"] += 1
    return problem_response(failure)


async def forward_once(
    router: Router, route: Route, call: ServiceCall, claim: ClaimRequest
) -> web.StreamResponse:
    """Send a call at most once, under a claim."""
    answer = await router.agent.claim(claim)
    if answer.outcome is not ClaimOutcome.GRANTED:
        return refuse_claim(answer)
    endpoint = choose_endpoint(router, route, set())
    if endpoint is None:
        await router.agent.settle(Settlement(claim, SettleOutcome.ABANDONED))
        return problem_response(no_endpoint(route))
    outcome = await call_service(router.session, endpoint, call, route.deadline)
    if outcome.is_ok():
        recorded = record_response(outcome.ok)
        await router.agent.settle(Settlement(claim, SettleOutcome.DONE, recorded))
        return relay(outcome.ok)
    abandoned = outcome.error.ran is Ran.NO
    settled = SettleOutcome.ABANDONED if abandoned else SettleOutcome.UNKNOWN
    await router.agent.settle(Settlement(claim, settled))
    return problem_response(outcome.error)


def choose_endpoint(
    router: Router, route: Route, tried: set[EndpointId]
) -> EndpointSpec | None:
    """Return the endpoint with the fewest own calls in flight, or None."""
    pool = router.view.tables.pool(route.pool)
    usable = [
        spec
        for spec in pool.endpoints
        if router.may_use(spec.id) and spec.id not in tried
    ]
    if not usable:
        return None
    return min(usable, key=lambda it: (router.own_load[it.id], router.random.random()))


def refuse_claim(answer: ClaimAnswer) -> web.StreamResponse:
    """Return the response to a call whose claim was not granted."""
    if answer.outcome is ClaimOutcome.REPLAY and answer.response is not None:
        return replay(answer.response)
    outcomes = {
        ClaimOutcome.IN_PROGRESS: ("in-progress", Ran.UNKNOWN, 1.0),
        ClaimOutcome.UNKNOWN: ("outcome-unknown", Ran.UNKNOWN, None),
        ClaimOutcome.REPLAY: ("outcome-unknown", Ran.YES, None),
        ClaimOutcome.MISMATCH: ("key-reused", Ran.NO, None),
        ClaimOutcome.EXPIRED: ("key-expired", Ran.UNKNOWN, None),
        ClaimOutcome.UNAVAILABLE: ("claim-unavailable", Ran.NO, 1.0),
    }
    kind, ran, retry_after = outcomes[answer.outcome]
    detail = answer.failure.detail if answer.failure else answer.outcome.value
    return problem_response(Failure(Step.CLAIM, "", kind, detail, ran, retry_after))


def record_response(response: ServiceResponse) -> RecordedResponse:
    """Return what the journal keeps of a response."""
    truncated = len(response.body) > RECORD_LIMIT
    body = b"" if truncated else response.body
    return RecordedResponse(
        status=response.status,
        content_type=response.headers.get("Content-Type", "application/octet-stream"),
        body=base64.b64encode(body).decode(),
        truncated=truncated,
    )


def replay(recorded: RecordedResponse) -> web.Response:
    """Return a recorded response, marked as a replay."""
    headers = {
        "Content-Type": recorded.content_type,
        "Idempotency-Replayed": "true",
    }
    body = base64.b64decode(recorded.body)
    return web.Response(status=recorded.status, headers=headers, body=body)


def relay(response: ServiceResponse) -> web.Response:
    """Return a service's response to the caller."""
    headers = forwarded_headers(response.headers.items())
    return web.Response(status=response.status, headers=headers, body=response.body)


def no_endpoint(route: Route) -> Failure:
    """Return the failure of a call that no endpoint is left for."""
    detail = f"no endpoint of {route.pool!r} is live"
    return Failure(Step.CHOOSE, "", "no-pipeline", detail, Ran.NO, retry_after=1.0)
