"""From a caller's bytes to a `Call`."""

import asyncio

from aiohttp import web
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step
from lentilhaven.fleet.manifest import Manifest
from lentilhaven.fleet.route_rule import RouteRule
from lentilhaven.gateway.call import Call
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.platform.request_head import RequestHead, decode_request_head

#: Seconds after which a caller may come back to a gateway that knows no manifest.
STARTING_RETRY_AFTER = 0.5

#: Seconds after which a caller may come back to another gateway.
ELSEWHERE_RETRY_AFTER = 0.02


async def take_request(
    gateway: Gateway, request: web.BaseRequest
) -> Result[Call, Failure]:
    """
    Read a request and find its route and workspace.

    Parameters
    ----------
    gateway : Gateway
        Whose manifest decides.
    request : aiohttp.web.BaseRequest
        The request; its body is read.
    """
    arrived = asyncio.get_running_loop().time()
    if gateway.closed:
        detail = "this gateway is about to end"
        return Error(
            Failure(
                Step.ADMIT, "", "leaving", detail, retry_after=ELSEWHERE_RETRY_AFTER
            )
        )
    manifest = gateway.view.manifest
    if manifest is None or not gateway.view.known:
        detail = "no manifest is known yet"
        return Error(
            Failure(
                Step.ROUTE, "", "starting", detail, retry_after=STARTING_RETRY_AFTER
            )
        )
    head = decode_request_head(request.headers)
    host = request.headers.get("Host", "")
    route = manifest.find_route(host, request.raw_path.partition("?")[0])
    if route is None:
        return Error(Failure(Step.ROUTE, "", "no-route", "no route answers this path"))
    named = name_tenant(manifest, route, head)
    if named is None:
        detail = "the key is not known"
        return Error(Failure(Step.AUTHENTICATE, "", "unknown-key", detail))
    if not head.request_id:
        return Error(Failure(Step.PARSE, "", "bad-request", "the request has no id"))
    try:
        body = await request.read()
    except web.HTTPRequestEntityTooLarge:
        return Error(Failure(Step.PARSE, "", "too-large", "the body is too large"))
    patience = route.timeout
    if head.patience is not None:
        patience = min(patience, head.patience)
    tenant, priority = named
    return Ok(
        Call(
            method=request.method,
            target=request.raw_path,
            head=head,
            body=body,
            route=route,
            service=pick_service(gateway, route),
            tenant=tenant,
            priority=priority,
            arrived=arrived,
            deadline=arrived + patience,
            manifest_version=manifest.version,
        )
    )


def name_tenant(
    manifest: Manifest, route: RouteRule, head: RequestHead
) -> tuple[str, int] | None:
    """Return the workspace's name and the request's rank; None for a bad key."""
    if manifest.tenants is None:
        return "", route.priority
    tenant = manifest.tenants.get(head.key) if head.key else None
    if tenant is None:
        return ("", route.priority) if route.anonymous else None
    rank = route.priority if tenant.priority is None else tenant.priority
    return tenant.name, rank


def pick_service(gateway: Gateway, route: RouteRule) -> str:
    """Return one of the route's services by their weights."""
    if len(route.services) == 1:
        return route.services[0][0]
    names = [name for name, _ in route.services]
    weights = [weight for _, weight in route.services]
    return gateway.random.choices(names, weights)[0]
