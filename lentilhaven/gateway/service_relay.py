"""Requests to plain services."""

import asyncio

import attrs
from aiohttp import web

from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import get_logger
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.gateway.call import Call
from lentilhaven.gateway.endpoint_board import REFUSAL, SUSPICION
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.refusals import refuse
from lentilhaven.gateway.service_choice import choose_replica
from lentilhaven.platform.answer_head import AnswerHead
from lentilhaven.platform.request_head import encode_request, own_headers
from lentilhaven.upstream.connection_pool import MOST_IDLE
from lentilhaven.upstream.exchange import UpstreamError

#: Share of the target latency after which a repeatable request is tried at
#: another replica: what is left suffices for a mean answer.
PATIENCE = 0.7

#: Most seconds for which a connection may have been idle that carries a request
#: which must not be repeated: a connection that was in use just now is alive.
UNSAFE_IDLE = 1.0

#: Status codes of a replica that did not take a request.
REFUSALS = (421, 429, 503)

#: Replicas that may turn a request away before it is refused.
MOST_REFUSALS = 3

log = get_logger("gateway")


@attrs.frozen
class Answer:
    """A whole answer of a replica."""

    head: AnswerHead
    body: bytes

    @property
    def failed(self) -> bool:
        """Return whether another replica might do better."""
        return self.head.status >= 500


@attrs.define
class Tries:
    """
    What has been tried for one request.

    Attributes
    ----------
    endpoints : list of str
        Ids of the replicas that were asked.
    runs : int
        Replicas that may have run it.
    refusals : int
        Replicas that turned it away.
    last : Answer, Failure or None
        Outcome of the last try.
    """

    endpoints: list[str] = attrs.field(factory=list)
    runs: int = 0
    refusals: int = 0
    last: Answer | Failure | None = None

    def record(self, outcome: Answer | Failure) -> None:
        """Count the outcome of a try."""
        self.last = outcome
        if isinstance(outcome, Answer) or outcome.ran is not Ran.NO:
            self.runs += 1
        elif outcome.kind != "connect":
            self.refusals += 1

    def goes_on(self, call: Call) -> bool:
        """Return whether the request may be sent to another replica."""
        if self.refusals >= MOST_REFUSALS:
            return False
        if isinstance(self.last, Answer) and not self.last.failed:
            return False
        if not call.route.repeatable:
            return self.runs == 0
        return self.runs < call.route.attempts


async def relay_call(gateway: Gateway, call: Call) -> web.Response:
    """
    Pass a request on to a replica and return its answer.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    call : Call
        The request.
    """
    loop = asyncio.get_running_loop()
    budget = gateway.budget_of(call.service)
    budget.record_request(loop.time())
    tries = Tries()
    while tries.goes_on(call):
        now = loop.time()
        endpoint = choose_replica(gateway, call.service, tries.endpoints, now)
        if endpoint is None or now >= call.deadline:
            break
        if tries.runs + tries.refusals > 0:
            if not budget.spend(now, gateway.count_gateways(now)):
                log.info("retry budget used up", request=call.id, service=call.service)
                break
        tries.endpoints.append(endpoint.id)
        again = call.route.repeatable and tries.runs + 1 < call.route.attempts
        tries.record(await try_replica(gateway, call, endpoint, again))
    return answer_with(call, tries.last)


def answer_with(call: Call, outcome: Answer | Failure | None) -> web.Response:
    """Return the final answer to a request."""
    if isinstance(outcome, Answer):
        return web.Response(
            status=outcome.head.status,
            body=outcome.body,
            headers=list(outcome.head.passed_on),
        )
    if outcome is None:
        detail = f"no replica of {call.service} is there"
        outcome = Failure(Step.CHOOSE, "", "no-endpoint", detail)
    return refuse(outcome)


async def try_replica(
    gateway: Gateway, call: Call, endpoint: Endpoint, again: bool
) -> Answer | Failure:
    """
    Send a request to one replica.

    Parameters
    ----------
    gateway, call, endpoint
        The request, and to whom it goes.
    again : bool
        Whether it may be sent to another replica if this one is slow.
    """
    loop = asyncio.get_running_loop()
    state = gateway.board.of(endpoint)
    began = loop.time()
    deadline = call.deadline
    if again:
        deadline = min(deadline, began + PATIENCE * call.route.target_latency)
    state.requests += 1
    try:
        outcome = await exchange_once(gateway, call, endpoint, deadline)
    finally:
        state.requests -= 1
    now = loop.time()
    failed = not isinstance(outcome, Answer) or outcome.failed
    if isinstance(outcome, Failure) and outcome.ran is Ran.NO:
        state.refused_until = now + REFUSAL
    else:
        state.record(now - began, failed)
    if isinstance(outcome, Failure) and outcome.kind == "connect":
        state.note_suspicion(now, now + SUSPICION, own=True)
    log.info(
        "replica tried",
        request=call.id,
        endpoint=endpoint.id,
        ms=round((now - began) * 1000, 1),
        failures=round(state.failures, 2),
        outcome=describe(outcome),
    )
    return outcome


def describe(outcome: Answer | Failure) -> str:
    """Return an outcome in a few words."""
    if isinstance(outcome, Answer):
        return f"status {outcome.head.status}"
    return f"{outcome.kind}, ran {outcome.ran.value}"


async def exchange_once(
    gateway: Gateway, call: Call, endpoint: Endpoint, deadline: float
) -> Answer | Failure:
    """Send a request on one connection and read the whole answer."""
    loop = asyncio.get_running_loop()
    idle = MOST_IDLE if call.route.repeatable else UNSAFE_IDLE
    try:
        connection = await gateway.pool.acquire(endpoint, deadline - loop.time(), idle)
    except UpstreamError as error:
        return Failure(Step.CONNECT, endpoint.id, "connect", error.detail)
    own = own_headers(endpoint, call.deadline - loop.time(), call.tenant)
    request = encode_request(call.method, call.target, call.head, len(call.body), own)
    try:
        exchange = connection.begin(call.id, request, call.body)
        head = await exchange.wait_for_head(deadline)
        body = await exchange.read_body(deadline) if head else None
    except UpstreamError as error:
        ran = Ran.UNKNOWN if error.sent else Ran.NO
        return Failure(Step.SEND, endpoint.id, error.kind, error.detail, ran)
    except asyncio.CancelledError:
        connection.abort()
        raise
    if head is None or body is None:
        connection.abort()
        gateway.pool.drop_idle(endpoint)
        detail = "no whole answer in time"
        return Failure(Step.SEND, endpoint.id, "timeout", detail, Ran.UNKNOWN)
    gateway.pool.release(endpoint, connection)
    if head.not_executed and head.status in REFUSALS:
        detail = f"status {head.status}"
        return Failure(Step.SEND, endpoint.id, "refused", detail, Ran.NO)
    return Answer(head, body)
