"""The sends of one non-idempotent call."""

import aiohttp
import attrs
from expression import Error, Ok, Result

from lentilhaven.control.claim import RecordedResponse
from lentilhaven.core.failure import Failure
from lentilhaven.core.ids import EndpointId
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.endpoints.service_client import (
    ServiceCall,
    ServiceResponse,
    ask_status,
    call_service,
)
from lentilhaven.router.router import Router
from lentilhaven.router.service_records import record_response
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.pool import Pool
from lentilhaven.tables.route import Route


@attrs.define
class ServiceAttempt:
    """
    Sends a call to endpoints of a pool.

    Attributes
    ----------
    router : Router
        Knows the endpoints.
    route : Route
        Rules in force.
    pool : Pool
        The pool that answers.
    call : ServiceCall
        What is sent.
    response : ServiceResponse or None
        The whole response, once there is one.
    tried : set of str
        Endpoints that could not be reached.
    end : float
        Monotonic time at which the call is given up, in seconds.
    """

    router: Router
    route: Route
    pool: Pool
    call: ServiceCall
    response: ServiceResponse | None = None
    tried: set[EndpointId] = attrs.field(factory=set)
    end: float = attrs.field(
        default=attrs.Factory(
            lambda self: self.router.clock.monotonic() + self.route.deadline,
            takes_self=True,
        )
    )

    async def send(self) -> Result[RecordedResponse, Failure]:
        """Send the call once to an endpoint that may take it."""
        endpoint = choose_endpoint(self.router, self.route, self.tried)
        if endpoint is None:
            return Error(no_endpoint(self.route))
        left = self.end - self.router.clock.monotonic()
        if left <= 0:
            detail = "the deadline passed before the call was sent"
            return Error(Failure(Step.SEND, endpoint.id, "deadline", detail))
        # An old connection may be dead without anyone knowing, and then nobody
        # could tell whether the call ran; a new one that is refused proves it.
        session = self.router.fresh or self.router.session
        outcome = await exchange(self.router, session, endpoint, self.call, left)
        if outcome.is_error():
            return await self.examine(endpoint, outcome.error)
        self.response = outcome.ok
        return Ok(record_response(outcome.ok))

    async def examine(
        self, endpoint: EndpointSpec, failure: Failure
    ) -> Result[RecordedResponse, Failure]:
        """Ask the endpoint what became of a call that it did not answer."""
        if failure.ran is Ran.NO:
            self.tried.add(endpoint.id)
        if failure.ran is not Ran.UNKNOWN or not self.pool.answers_status:
            return Error(failure)
        found = await self.ask(endpoint)
        if found is None:
            return Error(failure)
        self.response = found
        return Ok(record_response(found))

    async def ask(self, endpoint: EndpointSpec) -> ServiceResponse | None:
        """Return the response that an endpoint holds for the call's key."""
        session = self.router.fresh or self.router.session
        key = self.call.headers["Idempotency-Key"]
        return await ask_status(session, endpoint, key)

    async def ask_endpoints(self) -> ServiceResponse | None:
        """Return the response that any endpoint of the pool holds, or None."""
        if not self.pool.answers_status:
            return None
        for endpoint in self.pool.endpoints:
            found = await self.ask(endpoint)
            if found is not None:
                return found
        return None


async def exchange(
    router: Router,
    session: aiohttp.ClientSession,
    endpoint: EndpointSpec,
    call: ServiceCall,
    timeout: float,
) -> Result[ServiceResponse, Failure]:
    """
    Send one call once, and note how the endpoint did.

    Parameters
    ----------
    router : Router
        Counts the endpoint's load and keeps its circuit.
    session : aiohttp.ClientSession
        Connections.
    endpoint : EndpointSpec
        Where to send it.
    call : ServiceCall
        What to send.
    timeout : float
        Seconds for the whole exchange.
    """
    with router.counted_service(endpoint.id):
        outcome = await call_service(session, endpoint, call, timeout)
    if outcome.is_ok():
        router.circuits.record_success(endpoint.id)
    elif outcome.error.ran is not Ran.YES:
        now = router.clock.monotonic()
        proven = outcome.error.ran is Ran.NO
        router.circuits.record_failure(endpoint.id, now, proven=proven)
    return outcome


def choose_endpoint(
    router: Router, route: Route, tried: set[EndpointId]
) -> EndpointSpec | None:
    """
    Return the endpoint with the fewest own calls in flight, or None.

    Parameters
    ----------
    router : Router
        Knows the endpoints.
    route : Route
        Names the pool.
    tried : set of str
        Endpoints to pass over.
    """
    usable = usable_endpoints(router, route, tried)
    if not usable:
        # An endpoint that failed lately is better than none.
        with router.circuits.ignored():
            usable = usable_endpoints(router, route, tried)
    if not usable:
        return None
    return min(usable, key=lambda it: (router.own_load[it.id], router.random.random()))


def usable_endpoints(
    router: Router, route: Route, tried: set[EndpointId]
) -> list[EndpointSpec]:
    """Return the endpoints of a route's pool that may get new work."""
    pool = router.view.tables.pool(route.pool)
    return [
        spec
        for spec in pool.endpoints
        if router.may_use(spec.id) and spec.id not in tried
    ]


def no_endpoint(route: Route) -> Failure:
    """Return the failure of a call that no endpoint is left for."""
    detail = f"no endpoint of {route.pool!r} is live"
    return Failure(Step.CHOOSE, "", "no-pipeline", detail, Ran.NO, retry_after=1.0)
