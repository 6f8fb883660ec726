"""Forwards requests to replicas of plain services."""

import asyncio
from collections.abc import Sequence

import attrs
from aiohttp import web

from lentilhaven.answers.error_responses import make_error_response
from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import get_logger
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.core.tasks import cancel_tasks
from lentilhaven.draining.failures import cut_off_failure
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.gateway.call import Call
from lentilhaven.gateway.crash_checks import (
    HARMFUL_KINDS,
    begin_trials,
    forbids_repeat,
    note_plain_answer,
    note_refused_connection,
    recording_run,
    refuse_harmful,
)
from lentilhaven.gateway.endpoint_links import SLOW_ANSWER_TIME, begin_link_check
from lentilhaven.gateway.endpoint_states import REFUSAL_BACKOFF, SUSPICION_TIME
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.limit_checks import (
    begin_send_attempt,
    held_back,
    is_at_limit,
    limit_wait,
)
from lentilhaven.gateway.replica_choice import (
    choose_replica,
    pause_left,
    usable_replicas,
)
from lentilhaven.gateway.slot_admission import prefer_free_slots, wait_for_slot
from lentilhaven.platform.request_head import encode_request, gateway_headers
from lentilhaven.platform.response_head import ResponseHead
from lentilhaven.serving.queue_metrics import SENT_AWAY
from lentilhaven.upstream.connection import UpstreamConnection
from lentilhaven.upstream.connection_pool import MAX_IDLE_TIME
from lentilhaven.upstream.exchange import UpstreamError
from lentilhaven.upstream.held_response import HeldResponse

#: Share of the target latency after which a repeatable request is also sent to another
#: replica: the remaining time suffices for an average response.
RETRY_LATENCY_SHARE = 0.7

#: Maximum seconds that a connection may have been idle before it carries a request
#: that must not be repeated: a recently used connection is still open.
MAX_IDLE_UNSAFE = 1.0

#: Status codes with which a replica refuses a request without running it.
REFUSAL_STATUSES = (421, 429, 503)

#: Kinds of failure of an attempt in which the replica received nothing.
UNSENT_KINDS = ("connect", "withheld", *HARMFUL_KINDS.values())

#: Kinds of failure of an attempt that say nothing about the replica.
NEUTRAL_KINDS = ("withheld", *HARMFUL_KINDS.values())

#: Number of replicas that may refuse a request before the gateway refuses it.
MAX_REFUSALS = 3

log = get_logger("gateway")


@attrs.frozen
class UpstreamResponse:
    """A complete response of a replica."""

    head: ResponseHead
    body: bytes

    @property
    def failed(self) -> bool:
        """Return whether another replica might succeed."""
        return self.head.status >= 500


@attrs.define
class Attempts:
    """
    The attempts to get one request answered.

    Attributes
    ----------
    endpoints : list of Endpoint
        Replicas to which the request was sent.
    running : set of asyncio.Task
        Attempts in progress; a second one may begin beside a slow one.
    started_at : float
        Event loop time at which the latest attempt began, in seconds.
    possible_runs : int
        Number of replicas that have ended and may have run the request.
    refusals : int
        Number of replicas that refused the request.
    last_outcome : UpstreamResponse, Failure or None
        Outcome of the last attempt.
    last_run : UpstreamResponse, Failure or None
        Outcome of the last attempt that may have run the request; a response stays
        if a later attempt fails, and a success in any case.
    """

    endpoints: list[Endpoint] = attrs.field(factory=list)
    running: set[asyncio.Task[UpstreamResponse | Failure]] = attrs.field(factory=set)
    started_at: float = 0.0
    possible_runs: int = 0
    refusals: int = 0
    last_outcome: UpstreamResponse | Failure | None = None
    last_run: UpstreamResponse | Failure | None = None

    @property
    def tried(self) -> list[str]:
        """Return the ids of the replicas to which the request was sent."""
        return [endpoint.id for endpoint in self.endpoints]

    @property
    def final_outcome(self) -> UpstreamResponse | Failure | None:
        """
        Return the outcome that the caller is told.

        A later refusal does not change that the request may have run.
        """
        return self.last_run or self.last_outcome

    @property
    def is_harmful(self) -> bool:
        """Return whether the latest attempt was refused since it ends endpoints."""
        last = self.last_outcome
        return isinstance(last, Failure) and last.kind in HARMFUL_KINDS.values()

    @property
    def may_have_run(self) -> bool:
        """Return whether a replica may have run the request, or may be running it."""
        return self.possible_runs + len(self.running) > 0

    @property
    def succeeded(self) -> bool:
        """Return whether a replica has answered without a failure."""
        response = self.last_run
        return isinstance(response, UpstreamResponse) and not response.failed

    def record(self, outcome: UpstreamResponse | Failure) -> None:
        """
        Record the outcome of an attempt.

        A replica that received nothing counts neither as a possible run nor as a
        refusal.
        """
        self.last_outcome = outcome
        if isinstance(outcome, UpstreamResponse):
            self.possible_runs += 1
            if not self.succeeded:
                self.last_run = outcome
        elif outcome.ran is not Ran.NO:
            self.possible_runs += 1
            if not isinstance(self.last_run, UpstreamResponse):
                self.last_run = outcome
        elif outcome.kind not in UNSENT_KINDS:
            self.refusals += 1

    def record_done(self) -> None:
        """Record the outcomes of the attempts that have ended."""
        for task in [it for it in self.running if it.done()]:
            self.running.discard(task)
            self.record(task.result())

    def may_continue(self, call: Call) -> bool:
        """Return whether the request may be sent to another replica."""
        if self.refusals >= MAX_REFUSALS or self.succeeded or self.is_harmful:
            return False
        runs = self.possible_runs + len(self.running)
        return runs < (call.route.attempts if call.route.repeatable else 1)

    def time_to_next(self, call: Call, now: float) -> float | None:
        """
        Return the seconds until another attempt may begin beside those in progress.

        Returns None if no other attempt may begin before one of them has ended.
        """
        if not self.may_continue(call):
            return None
        next_at = self.started_at + RETRY_LATENCY_SHARE * call.route.target_latency
        return max(0.0, next_at - now)


async def relay_call(gateway: Gateway, call: Call) -> web.Response:
    """
    Forward a request to replicas and return the final response.

    A repeatable request is sent to another replica if the first one is slow.  The
    first replica may be sound and answer later, so it is waited for until another one
    has answered.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    call : Call
        The request.
    """
    gateway.budget_of(call.service).record_request(asyncio.get_running_loop().time())
    attempts = Attempts()
    try:
        async with gateway.work_limits.limited():
            refused = await wait_for_slot(gateway, call)
            if refused is not None:
                return make_error_response(refused)
            await run_attempts(gateway, call, attempts)
    except TimeoutError:
        attempts.record_done()
        log_cut_off(gateway, call, attempts.may_have_run)
        if not isinstance(attempts.last_run, UpstreamResponse):
            return make_error_response(cut_off_failure(attempts.may_have_run))
    finally:
        await cancel_tasks(attempts.running)
    pause = time_to_retry(gateway, call, attempts)
    return make_response(gateway, call, attempts.final_outcome, pause)


async def run_attempts(gateway: Gateway, call: Call, attempts: Attempts) -> None:
    """Run attempts until one succeeds or no other may begin."""
    loop = asyncio.get_running_loop()
    while not attempts.succeeded:
        began = attempts.may_continue(call) and begin_attempt(gateway, call, attempts)
        if not attempts.running:
            break
        timeout = attempts.time_to_next(call, loop.time()) if began else None
        await record_outcomes(attempts, timeout)


def log_cut_off(gateway: Gateway, call: Call, may_have_run: bool) -> None:
    """Log that a request is answered before its end, since the gateway stops."""
    assert gateway.stop is not None
    log.warning(
        "request cut off",
        request=call.id,
        head_ms=round((call.arrived - gateway.stop.began) * 1000, 1),
        may_have_run=may_have_run,
    )


def time_to_retry(gateway: Gateway, call: Call, attempts: Attempts) -> float | None:
    """
    Return the seconds until a replica that pauses or is at its limit may be used.

    Returns None if no replica that is left has named a pause or a limit.
    """
    now = asyncio.get_running_loop().time()
    usable = usable_replicas(gateway, call.service, attempts.tried)
    if usable:
        return limit_wait(gateway, call.service, usable, now)
    return pause_left(gateway, call.service, attempts.tried, now)


def begin_attempt(gateway: Gateway, call: Call, attempts: Attempts) -> bool:
    """
    Begin an attempt on another replica, beside those in progress.

    Returns
    -------
    bool
        False if there is no replica, time or retry budget left.
    """
    now = asyncio.get_running_loop().time()
    usable = usable_replicas(gateway, call.service, attempts.tried)
    if not usable or now >= call.deadline:
        return False
    held = held_back(gateway, call, usable, begin_send_attempt(gateway, call), now)
    permitted = [it for it in usable if it.id not in held]
    endpoint = choose_replica(gateway, prefer_free_slots(gateway, permitted), now)
    if endpoint is None:
        log.info("replicas are at their limits", request=call.id, replicas=len(held))
        return False
    if attempts.endpoints and forbids_repeat(gateway, call):
        log.info("request not repeated since it ends endpoints", request=call.id)
        return False
    # While no replica has received the request, another attempt is no retry.
    if attempts.possible_runs + attempts.refusals + len(attempts.running) > 0:
        budget = gateway.budget_of(call.service)
        if not budget.try_spend(now, gateway.count_gateways(now)):
            log.info("retry budget used up", request=call.id, service=call.service)
            return False
    if attempts.running:
        note_slow_replica(gateway, attempts.endpoints[-1], now - attempts.started_at)
    attempts.endpoints.append(endpoint)
    attempts.started_at = now
    # Counted here, since the next request may be tried before the task begins.
    gateway.endpoint_states.of(endpoint).requests += 1
    task = asyncio.ensure_future(try_replica(gateway, call, endpoint))
    task.add_done_callback(lambda ended: note_attempt_end(gateway, endpoint))
    attempts.running.add(task)
    return True


def note_attempt_end(gateway: Gateway, endpoint: Endpoint) -> None:
    """Count that a request is no longer in flight at a replica."""
    gateway.endpoint_states.of(endpoint).requests -= 1
    gateway.queues.notify_room()


def note_slow_replica(gateway: Gateway, endpoint: Endpoint, seconds: float) -> None:
    """Record that a replica has not answered for some seconds."""
    gateway.endpoint_states.of(endpoint).record(seconds, failed=True)
    gateway.pool.close_idle(endpoint)


async def record_outcomes(attempts: Attempts, timeout: float | None) -> None:
    """
    Wait for the end of an attempt, and record what has ended.

    Parameters
    ----------
    attempts : Attempts
        The attempts, of which at least one is in progress.
    timeout : float or None
        Seconds after which to give up; None to wait without a limit.
    """
    await asyncio.wait(
        attempts.running, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
    )
    attempts.record_done()


def make_response(
    gateway: Gateway,
    call: Call,
    outcome: UpstreamResponse | Failure | None,
    pause: float | None = None,
) -> web.Response:
    """
    Return the final response to a request.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    call : Call
        The request.
    outcome : UpstreamResponse, Failure or None
        Outcome of the last attempt; None if there was none.
    pause : float or None
        Seconds until a replica that has asked for a pause may be used; None if none
        has.
    """
    if isinstance(outcome, UpstreamResponse):
        return HeldResponse(gateway.pool.memory, outcome.head, outcome.body)
    if outcome is None:
        detail = f"no replica of {call.service} is there"
        if pause is not None:
            detail = f"all replicas of {call.service} want no more requests now"
        outcome = Failure(Step.CHOOSE, "", "no-endpoint", detail)
    if pause is not None and outcome.retry_after is None:
        outcome = attrs.evolve(outcome, retry_after=pause)
    return make_error_response(outcome)


async def try_replica(
    gateway: Gateway, call: Call, endpoint: Endpoint
) -> UpstreamResponse | Failure:
    """
    Send a request to one replica, and record the outcome in the replica's state.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    call : Call
        The request.
    endpoint : Endpoint
        The replica.

    Returns
    -------
    UpstreamResponse or Failure
        The complete response, or a failure that states whether the request may have
        run.
    """
    loop = asyncio.get_running_loop()
    state = gateway.endpoint_states.of(endpoint)
    began = loop.time()
    check = loop.call_later(SLOW_ANSWER_TIME, begin_link_check, gateway, endpoint)
    try:
        outcome = await exchange_once(gateway, call, endpoint, call.deadline)
    except asyncio.CancelledError:
        # Another replica has answered first, or the caller has left.
        log_attempt(call, endpoint, began, state.failures, "cancelled")
        raise
    finally:
        check.cancel()
    now = loop.time()
    failed = not isinstance(outcome, UpstreamResponse) or outcome.failed
    if isinstance(outcome, Failure) and outcome.kind in NEUTRAL_KINDS:
        pass
    elif isinstance(outcome, Failure) and outcome.ran is Ran.NO:
        state.refused_until = now + REFUSAL_BACKOFF
    else:
        state.record(now - began, failed)
    if isinstance(outcome, Failure) and outcome.kind == "connect":
        state.note_suspicion(now, now + SUSPICION_TIME)
    log_attempt(call, endpoint, began, state.failures, describe_outcome(outcome))
    return outcome


def log_attempt(
    call: Call, endpoint: Endpoint, began: float, failures: float, outcome: str
) -> None:
    """
    Log the end of an attempt.

    Parameters
    ----------
    call : Call
        The request.
    endpoint : Endpoint
        The replica.
    began : float
        Event loop time at which the attempt began, in seconds.
    failures : float
        Recent failures of the replica, as its state counts them.
    outcome : str
        Short description of the outcome.
    """
    seconds = asyncio.get_running_loop().time() - began
    log.info(
        "replica tried",
        request=call.id,
        endpoint=endpoint.id,
        ms=round(seconds * 1000, 1),
        failures=round(failures, 2),
        outcome=outcome,
    )


def describe_outcome(outcome: UpstreamResponse | Failure) -> str:
    """Return a short description of an outcome for the log."""
    if isinstance(outcome, UpstreamResponse):
        return f"status {outcome.head.status}"
    return f"{outcome.kind}, ran {outcome.ran.value}"


async def exchange_once(
    gateway: Gateway, call: Call, endpoint: Endpoint, deadline: float
) -> UpstreamResponse | Failure:
    """
    Send a request on one connection and read the complete response.

    Returns
    -------
    UpstreamResponse or Failure
        A failure if there is no complete response by the deadline, an event loop time
        in seconds, or if the replica guarantees that it has not run the request.
    """
    loop = asyncio.get_running_loop()
    max_idle = MAX_IDLE_TIME if call.route.repeatable else MAX_IDLE_UNSAFE
    try:
        connection = await gateway.pool.acquire(
            endpoint, call.id, deadline - loop.time(), max_idle
        )
    except UpstreamError as error:
        note_refused_connection(gateway, endpoint, error)
        return Failure(Step.CONNECT, endpoint.id, "connect", error.detail)
    withheld = check_before_send(gateway, call, [endpoint])
    if withheld is not None:
        gateway.pool.release(endpoint, connection)
        return withheld
    try:
        outcome = await run_exchange(gateway, call, endpoint, connection, deadline)
    except UpstreamError as error:
        ran = Ran.UNKNOWN if error.sent else Ran.NO
        return Failure(Step.SEND, endpoint.id, error.kind, error.detail, ran)
    except asyncio.CancelledError:
        connection.abort()
        raise
    if outcome is None:
        connection.abort()
        gateway.pool.close_idle(endpoint)
        detail = "no whole answer in time"
        return Failure(Step.SEND, endpoint.id, "timeout", detail, Ran.UNKNOWN)
    gateway.pool.release(endpoint, connection)
    return outcome


async def run_exchange(
    gateway: Gateway,
    call: Call,
    endpoint: Endpoint,
    connection: UpstreamConnection,
    deadline: float,
) -> UpstreamResponse | Failure | None:
    """
    Send a request on a connection, read the response and record what it proves.

    Returns
    -------
    UpstreamResponse, Failure or None
        None if there is no complete response by the deadline; a failure if the replica
        guarantees that it has not run the request.

    Raises
    ------
    UpstreamError
        If the exchange fails.
    """
    loop = asyncio.get_running_loop()
    own = gateway_headers(endpoint, call.deadline - loop.time(), call.workspace)
    request = encode_request(call.method, call.target, call.head, len(call.body), own)
    with (
        recording_run(gateway, call, [endpoint]) as record,
        connection.exchanging(call.id, request, call.body) as exchange,
    ):
        head = await exchange.wait_for_head(deadline)
        body = await exchange.read_body(deadline) if head else None
        if head is None or body is None:
            return None
        outcome = interpret_answer(endpoint, UpstreamResponse(head, body))
        if isinstance(outcome, UpstreamResponse):
            is_framed = not exchange.ends_at_eof
            note_plain_answer(gateway, endpoint, record, head.status, is_framed)
        return outcome


def check_before_send(
    gateway: Gateway, call: Call, endpoints: Sequence[Endpoint]
) -> Failure | None:
    """
    Return why a request must not be sent although it could be when it was accepted.

    One that may be sent is counted at the endpoint.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    call : Call
        The request, which may have waited for a connection.
    endpoints : sequence of Endpoint
        The endpoints that would run it; it would be sent to the first.

    Returns
    -------
    Failure or None
        None if the request may be sent.
    """
    if not all(gateway.accepts_new_work(endpoint) for endpoint in endpoints):
        detail = "it refused another request while this one waited for a connection"
        return Failure(Step.CONNECT, endpoints[0].id, "withheld", detail)
    first, now = endpoints[0], asyncio.get_running_loop().time()
    if is_at_limit(gateway, first, now):
        detail = "it has got what its limit allows while this one waited"
        return Failure(Step.CONNECT, first.id, "withheld", detail)
    refusal = refuse_harmful(gateway, call)
    if refusal is None:
        begin_trials(gateway, call)
        gateway.endpoint_states.of(first).note_sent(now)
        if first.data_centre != gateway.settings.data_centre:
            gateway.counters[SENT_AWAY + first.data_centre] += 1
    return refusal


def interpret_answer(
    endpoint: Endpoint, response: UpstreamResponse
) -> UpstreamResponse | Failure:
    """Return a complete response, or a failure if the replica has refused to run it."""
    head = response.head
    if head.not_executed and head.status in REFUSAL_STATUSES:
        detail = f"status {head.status}"
        return Failure(Step.SEND, endpoint.id, "refused", detail, Ran.NO)
    return response
