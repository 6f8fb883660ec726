"""One run of a streamed request on one chain of engines."""

import asyncio

from lentilhaven.admission.unread_prompts import PromptReading
from lentilhaven.chains.chain import Chain
from lentilhaven.chains.pipe_meter import count_crossings
from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import get_logger
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.gateway.crash_checks import (
    note_refused_connection,
    recording_run,
)
from lentilhaven.gateway.endpoint_states import REFUSAL_BACKOFF, SUSPICION_TIME
from lentilhaven.gateway.service_relay import UpstreamResponse, check_before_send
from lentilhaven.gateway.stream_events import relay_answer
from lentilhaven.gateway.stream_lead import StreamRun, SupersededError
from lentilhaven.gateway.stream_state import RunOutcome, StreamRelay
from lentilhaven.platform.request_head import encode_request, gateway_headers
from lentilhaven.upstream.exchange import UpstreamError

log = get_logger("gateway")


async def run_on_chain(relay: StreamRelay, chain: Chain) -> RunOutcome:
    """
    Run a request on one chain, and add its load to the endpoints while it runs.

    Parameters
    ----------
    relay : StreamRelay
        The stream.
    chain : Chain
        The chain.

    Returns
    -------
    UpstreamResponse, Failure or None
        As in `exchange_on_chain`.
    """
    gateway, call = relay.gateway, relay.call
    loop = asyncio.get_running_loop()
    began = loop.time()
    tokens = relay.tokens
    queue = gateway.queues.of(call.service)
    reading = gateway.queues.unread.begin(chain.parts, call.head.prompt_tokens)
    for endpoint, span in chain.parts:
        state = gateway.endpoint_states.of(endpoint)
        state.requests += 1
        state.kv_token_layers += tokens * len(span)
    gateway.link_traffic.record(count_crossings(chain.parts), tokens, began)
    ended = "cancelled"
    try:
        outcome = await exchange_on_chain(relay, chain, reading)
        ended = "done" if outcome is None else describe_outcome(outcome)
        return outcome
    finally:
        for endpoint, span in chain.parts:
            state = gateway.endpoint_states.of(endpoint)
            state.requests -= 1
            state.kv_token_layers -= tokens * len(span)
        reading.end()
        queue.notify_room()
        log.info(
            "chain tried",
            request=call.id,
            parts=[f"{part.id}={span.start}-{span.end}" for part, span in chain.parts],
            estimate_ms=round(chain.cost),
            ms=round((loop.time() - began) * 1000),
            events=relay.events,
            view=str(gateway.view.endpoints_position),
            outcome=ended,
        )


def describe_outcome(outcome: UpstreamResponse | Failure) -> str:
    """Return a short description of an outcome for the log."""
    if isinstance(outcome, UpstreamResponse):
        return f"status {outcome.head.status}"
    return f"{outcome.kind} at {outcome.peer}, ran {outcome.ran.value}"


def log_later_run(relay: StreamRelay, run: StreamRun) -> None:
    """Log that a run has been sent, unless it is the stream's first."""
    if relay.runs + relay.refusals > 1:
        log.info(
            "later run sent",
            request=relay.call.id,
            endpoint=run.chain.first.id,
            last_event_id=run.last_event_id,
            events=relay.events,
        )


async def exchange_on_chain(
    relay: StreamRelay, chain: Chain, reading: PromptReading
) -> RunOutcome:
    """
    Send a request to the first engine of a chain and relay the response.

    An engine to which no connection can be made is suspected.  If an exchange fails
    after the request was sent, the engine gets no requests for `REFUSAL_BACKOFF`
    seconds.  In both cases, and if the request could not be sent, this request no
    longer uses the engine.

    Returns
    -------
    UpstreamResponse, Failure or None
        None if the stream was relayed completely; an answer if the engine sent one
        that is no stream.
    """
    gateway, call = relay.gateway, relay.call
    loop = asyncio.get_running_loop()
    first = chain.first
    try:
        connection = await gateway.pool.acquire(
            first, call.id, call.deadline - loop.time()
        )
    except UpstreamError as error:
        note_refused_connection(gateway, first, error)
        failed_at = loop.time()
        gateway.endpoint_states.of(first).note_suspicion(
            failed_at, failed_at + SUSPICION_TIME
        )
        relay.excluded.add(first.id)
        return Failure(Step.CONNECT, first.id, "connect", error.detail)
    withheld = check_before_send(gateway, call, chain.endpoints)
    if withheld is not None:
        gateway.pool.release(first, connection)
        return withheld
    run = None
    try:
        own = gateway_headers(
            first,
            call.deadline - loop.time(),
            call.workspace,
            gateway.rules.engine_priority(call.priority, relay.continues),
            chain.parts,
            relay.last_event_id,
            relay.weights,
        )
        head = encode_request(call.method, call.target, call.head, len(call.body), own)
        with (
            recording_run(gateway, call, chain.endpoints) as record,
            connection.exchanging(call.id, head, call.body) as exchange,
        ):
            relay.runs += 1
            relay.attempt = None
            run = StreamRun(
                chain,
                exchange,
                record,
                loop.time(),
                last_event_id=relay.last_event_id,
                connection=connection,
                reading=reading,
            )
            relay.lead.begin(run)
            log_later_run(relay, run)
            try:
                return await relay_answer(relay, run)
            finally:
                relay.lead.end(run)
    except SupersededError as error:
        log.info("run superseded", request=call.id, endpoint=first.id)
        return Failure(Step.STREAM, first.id, error.kind, error.detail, Ran.UNKNOWN)
    except UpstreamError as error:
        if error.sent:
            gateway.endpoint_states.of(first).refused_until = (
                loop.time() + REFUSAL_BACKOFF
            )
        relay.excluded.add(first.id)
        ran = Ran.UNKNOWN if error.sent else Ran.NO
        return Failure(Step.STREAM, first.id, error.kind, error.detail, ran)
    finally:
        # A connection whose exchange has not ended can't carry another request.
        if connection.exchange is not None or not connection.usable:
            connection.abort()
        else:
            gateway.pool.release(first, connection)
