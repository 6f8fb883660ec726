"""Turns a caller's HTTP request into a `Call`."""

import asyncio

import attrs
from aiohttp import web
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import get_logger
from lentilhaven.core.step import Step
from lentilhaven.draining.failures import leaving_failure
from lentilhaven.fleet.manifest import Manifest
from lentilhaven.fleet.route_rule import RouteRule
from lentilhaven.gateway.body_memory import BodyGivenUpError, HeldBody
from lentilhaven.gateway.call import Call
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.limits.retry_time import MAX_SHARE_OF_TIME_LEFT, retry_after
from lentilhaven.limits.start_wait import LATE_START_TIME, start_wait
from lentilhaven.platform.request_head import RequestHead, decode_request_head

log = get_logger("gateway")


async def read_call(
    gateway: Gateway, request: web.BaseRequest, held: HeldBody
) -> Result[Call, Failure]:
    """
    Read a request and look up its route and workspace.

    Parameters
    ----------
    gateway : Gateway
        Gateway whose manifest is used.
    request : aiohttp.web.BaseRequest
        The request; its body is read here.
    held : HeldBody
        Counts the bytes of the body until the request has been answered.

    Returns
    -------
    Call or Failure
        A failure if the gateway can't serve requests now, or if the request is
        invalid, matches no route or lacks a valid API key.
    """
    arrived = asyncio.get_running_loop().time()
    if gateway.refuses_requests:
        return Error(leaving_failure())
    head = decode_request_head(request.headers)
    manifest = await wait_for_manifest(gateway, head, arrived)
    if manifest is None:
        return Error(starting_failure(gateway, head, arrived))
    host = request.headers.get("Host", "")
    route = manifest.find_route(host, request.raw_path.partition("?")[0])
    if route is None:
        return Error(Failure(Step.ROUTE, "", "no-route", "no route answers this path"))
    identity = authenticate(manifest, route, head)
    if identity is None:
        detail = "the key is not known"
        return Error(Failure(Step.AUTHENTICATE, "", "unknown-key", detail))
    if not head.request_id:
        return Error(Failure(Step.PARSE, "", "bad-request", "the request has no id"))
    read = await read_body_in_time(gateway, request, held)
    if read.is_error():
        return Error(read.error)
    timeout = route.timeout
    if head.timeout is not None:
        timeout = min(timeout, head.timeout)
    workspace, priority = identity
    return Ok(
        Call(
            method=request.method,
            target=request.raw_path,
            head=head,
            body=read.ok,
            route=route,
            service=choose_service(gateway, route),
            workspace=workspace,
            priority=priority,
            arrived=arrived,
            deadline=arrived + timeout,
            manifest_version=manifest.version,
        )
    )


async def wait_for_manifest(
    gateway: Gateway, head: RequestHead, arrived: float
) -> Manifest | None:
    """Return the manifest, or None if a starting gateway does not know it in time."""
    view = gateway.view
    if not view.is_complete:
        pause = start_wait(head.timeout)
        await view.changed.wait_until(
            lambda: view.is_complete or gateway.refuses_requests, pause
        )
        now = asyncio.get_running_loop().time()
        log.info(
            "request waited for the first manifest",
            request=head.request_id,
            known=view.is_complete,
            ms=round((now - arrived) * 1000, 1),
        )
    return view.manifest if view.is_complete else None


def starting_failure(gateway: Gateway, head: RequestHead, arrived: float) -> Failure:
    """Return the failure of a request at a gateway that has no manifest yet."""
    if gateway.refuses_requests:
        return leaving_failure()
    left = head.timeout or LATE_START_TIME / MAX_SHARE_OF_TIME_LEFT
    left -= asyncio.get_running_loop().time() - arrived
    pause = retry_after(LATE_START_TIME, 0, left, gateway.random)
    detail = "no manifest is known yet"
    return Failure(Step.ROUTE, "", "starting", detail, retry_after=pause)


async def read_body_in_time(
    gateway: Gateway, request: web.BaseRequest, held: HeldBody
) -> Result[bytes, Failure]:
    """
    Read the body of a request, or return why it is refused.

    A terminating gateway takes no request whose body ends after it has begun to refuse
    requests: the decision that was made when the head arrived holds no longer.
    """
    try:
        async with gateway.intake_limits.limited():
            read = await read_body(request, held)
    except TimeoutError:
        return Error(leaving_failure())
    return Error(leaving_failure()) if gateway.refuses_requests else read


async def read_body(request: web.BaseRequest, held: HeldBody) -> Result[bytes, Failure]:
    """Read the body of a request, or return why it is refused."""
    try:
        return Ok(await held.read(request))
    except BodyGivenUpError:
        detail = "the bodies of all requests hold too much"
        return Error(Failure(Step.ADMIT, "", "bodies-too-large", detail))
    except web.HTTPRequestEntityTooLarge:
        return Error(Failure(Step.PARSE, "", "too-large", "the body is too large"))


def authenticate(
    manifest: Manifest, route: RouteRule, head: RequestHead
) -> tuple[str, int] | None:
    """
    Return the name of the workspace and the priority of the request.

    Returns
    -------
    tuple of (str, int) or None
        None if the route needs an API key and the request has no known one.  On an
        anonymous route an unknown key is ignored, and the name is empty.
    """
    if manifest.workspaces is None:
        return "", route.priority
    workspace = manifest.workspaces.get(head.api_key) if head.api_key else None
    if workspace is None:
        return ("", route.priority) if route.anonymous else None
    priority = workspace.priority
    return workspace.name, route.priority if priority is None else priority


def with_current_terms(gateway: Gateway, call: Call) -> Call:
    """
    Return a waiting request with the priority and times that are in force now.

    The manifest may have changed since it was accepted.  Its service stays as it was.
    """
    manifest = gateway.view.manifest
    if manifest is None or manifest.version == call.manifest_version:
        return call
    route = manifest.find_route(call.route.host, call.target.partition("?")[0])
    identity = authenticate(manifest, route, call.head) if route else None
    if route is None or identity is None:
        return call
    workspace, priority = identity
    deadline = min(call.deadline, call.arrived + route.timeout)
    return attrs.evolve(
        call, workspace=workspace, priority=priority, route=route, deadline=deadline
    )


def choose_service(gateway: Gateway, route: RouteRule) -> str:
    """Return one of the route's services, chosen at random by weight."""
    if len(route.services) == 1:
        return route.services[0][0]
    names = [name for name, _ in route.services]
    weights = [weight for _, weight in route.services]
    return gateway.random.choices(names, weights)[0]
