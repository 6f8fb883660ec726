"""Sending of calls to the endpoints of plain services."""

import aiohttp
import attrs
from expression import Error, Ok, Result

from lentilhaven.control.claim import RecordedResponse
from lentilhaven.core.failure import Failure
from lentilhaven.core.ids import EndpointId, RequestId
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.endpoints.service_client import (
    ServiceCall,
    ServiceResponse,
    call_service,
    read_key_status,
)
from lentilhaven.peering.subject import Subject
from lentilhaven.router.router import Router
from lentilhaven.router.service_records import record_response
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.pool import Pool
from lentilhaven.tables.route import Route

#: Statuses from which an answer proves nothing: an endpoint that fails calls may do so
#: without running them.
FAILURE_STATUS = 500


@attrs.define
class ServiceAttempt:
    """
    State of one non-idempotent call, which may be sent to several endpoints in turn.

    Attributes
    ----------
    router : Router
        Router that sends the call.
    route : Route
        Route that the call matches.
    pool : Pool
        Pool of the route.
    call : ServiceCall
        Call to send.
    subject : Subject
        The call as what may be at fault if an endpoint ends.
    request : str
        Id of the request.
    failure : Failure or None
        Failure of the latest send; None before.
    response : ServiceResponse or None
        Complete response; None until one has been received.
    unreachable : set of str
        Endpoints to which no connection could be made; later sends avoid them.
    deadline : float
        Monotonic time by which the call must be answered, in seconds.
    """

    router: Router
    route: Route
    pool: Pool
    call: ServiceCall
    subject: Subject
    request: RequestId
    failure: Failure | None = None
    response: ServiceResponse | None = None
    unreachable: set[EndpointId] = attrs.field(factory=set)
    deadline: float = attrs.field(
        default=attrs.Factory(
            lambda self: self.router.clock.monotonic() + self.route.deadline,
            takes_self=True,
        )
    )

    async def send(self) -> Result[RecordedResponse, Failure]:
        """
        Choose a usable endpoint and send the call to it once.

        It is not sent if it has ended endpoints.

        Returns
        -------
        Result
            The record of the response, which is also stored in `response`, or the
            failure.
        """
        withheld = self.find_refusal()
        if withheld is not None:
            return Error(withheld)
        endpoint = choose_endpoint(self.router, self.route, self.unreachable)
        if endpoint is None:
            return Error(no_endpoint_failure(self.route))
        remaining = self.deadline - self.router.clock.monotonic()
        if remaining <= 0:
            detail = "the deadline passed before the call was sent"
            return Error(Failure(Step.SEND, endpoint.id, "deadline", detail))
        # A pooled connection may be lost without this process knowing it, and after
        # a send on it, it would be unknown whether the call ran.  If a new connection
        # is refused, the call certainly did not run.
        session = self.router.unpooled_session or self.router.session
        outcome = await send_call(
            self.router, session, endpoint, self.call, self.subject, remaining
        )
        if outcome.is_error():
            self.failure = outcome.error
            return await self.resolve_failure(endpoint, outcome.error)
        self.response = outcome.ok
        return Ok(record_response(outcome.ok))

    def find_refusal(self) -> Failure | None:
        """Return why the call must not be sent; None if it may be."""
        watch = self.router.crash_watch
        if self.failure is None:
            now = self.router.clock.monotonic()
            return watch.refuse(self.subject, self.request, now)
        return self.failure if watch.forbids_repeat(self.subject) else None

    async def resolve_failure(
        self, endpoint: EndpointSpec, failure: Failure
    ) -> Result[RecordedResponse, Failure]:
        """
        Ask the endpoint for the response to a call whose outcome is unknown.

        An endpoint that the call certainly did not reach is added to `unreachable`.

        Returns
        -------
        Result
            The record of the response that the endpoint has stored, or `failure`
            if there is none or the endpoints do not answer status queries.
        """
        if failure.ran is Ran.NO:
            self.unreachable.add(endpoint.id)
        if failure.ran is not Ran.UNKNOWN or not self.pool.answers_status:
            return Error(failure)
        response = await self.query_status(endpoint)
        if response is None:
            return Error(failure)
        self.response = response
        return Ok(record_response(response))

    async def query_status(self, endpoint: EndpointSpec) -> ServiceResponse | None:
        """Return the response that an endpoint has stored for the key, or None."""
        session = self.router.unpooled_session or self.router.session
        key = self.call.headers["Idempotency-Key"]
        return await read_key_status(session, endpoint, key)

    async def query_endpoints(self) -> ServiceResponse | None:
        """Return the response that any endpoint of the pool has stored, or None."""
        if not self.pool.answers_status:
            return None
        for endpoint in self.pool.endpoints:
            response = await self.query_status(endpoint)
            if response is not None:
                return response
        return None


async def send_call(
    router: Router,
    session: aiohttp.ClientSession,
    endpoint: EndpointSpec,
    call: ServiceCall,
    subject: Subject,
    timeout: float,
) -> Result[ServiceResponse, Failure]:
    """
    Send a call once, and record the outcome in the endpoint's circuit breaker.

    Parameters
    ----------
    router : Router
        Holds the endpoint's load and circuit breaker.
    session : aiohttp.ClientSession
        Session to send the call with.
    endpoint : EndpointSpec
        Endpoint to send it to.
    call : ServiceCall
        Call to send.
    subject : Subject
        The call as what may be at fault if the endpoint ends.
    timeout : float
        Timeout of the whole exchange, in seconds.

    Returns
    -------
    Result
        The complete response, or the failure.
    """
    with router.counted_service_call(endpoint.id):
        outcome = await call_service(session, endpoint, call, timeout)
    note_outcome(router, endpoint, subject, outcome)
    if outcome.is_ok():
        router.circuit_breakers.record_success(endpoint.id)
    elif outcome.error.ran is not Ran.YES:
        now = router.clock.monotonic()
        unreachable = outcome.error.ran is Ran.NO
        router.circuit_breakers.record_failure(
            endpoint.id, now, unreachable=unreachable
        )
    return outcome


def note_outcome(
    router: Router,
    endpoint: EndpointSpec,
    subject: Subject,
    outcome: Result[ServiceResponse, Failure],
) -> None:
    """Record that an endpoint has answered a call, or has ended while it ran."""
    now = router.clock.monotonic()
    if outcome.is_ok():
        router.crash_watch.note_alive([endpoint.id])
        if outcome.ok.status < FAILURE_STATUS:
            router.crash_watch.note_answered(subject, now)
    elif outcome.error.kind == "service-lost" and outcome.error.ran is not Ran.NO:
        router.crash_watch.note_lost(subject, [endpoint.id], now)


def choose_endpoint(
    router: Router, route: Route, excluded: set[EndpointId]
) -> EndpointSpec | None:
    """
    Return the usable endpoint with the fewest of this router's calls in flight.

    Parameters
    ----------
    router : Router
        Holds the state and the load of the endpoints.
    route : Route
        Route whose pool is searched.
    excluded : set of str
        Endpoints that must not be chosen.

    Returns
    -------
    EndpointSpec or None
        One of the endpoints with the lowest load, at random; None if there is no
        usable endpoint.
    """
    usable = usable_endpoints(router, route, excluded)
    if not usable:
        # Rather than fail, fall back to endpoints whose circuit breaker is open.
        with router.circuit_breakers.bypassed():
            usable = usable_endpoints(router, route, excluded)
    if not usable:
        return None
    return min(usable, key=lambda it: (router.own_load[it.id], router.rng.random()))


def usable_endpoints(
    router: Router, route: Route, excluded: set[EndpointId]
) -> list[EndpointSpec]:
    """Return the endpoints of a route's pool that may be used and are not excluded."""
    pool = router.view.tables.find_pool(route.pool)
    return [
        spec
        for spec in pool.endpoints
        if router.may_use(spec.id) and spec.id not in excluded
    ]


def no_endpoint_failure(route: Route) -> Failure:
    """Return the failure of a call for which there is no usable endpoint."""
    detail = f"no endpoint of {route.pool!r} is live"
    return Failure(Step.CHOOSE, "", "no-pipeline", detail, Ran.NO, retry_after=1.0)
