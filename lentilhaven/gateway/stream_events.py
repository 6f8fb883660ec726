"""Relaying the events of a run to the caller."""

import asyncio

from aiohttp import web

from lentilhaven.answers.event_splitter import Events, EventSplitter
from lentilhaven.chains.chain import Chain
from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import get_logger
from lentilhaven.gateway.crash_checks import PROOF_EVENTS, note_answered, note_begun
from lentilhaven.gateway.gateway_metrics import record_first_event
from lentilhaven.gateway.pace_check import note_pause
from lentilhaven.gateway.silence import note_heard
from lentilhaven.gateway.stream_failures import interpret_error_answer, silence_failure
from lentilhaven.gateway.stream_lead import StreamRun
from lentilhaven.gateway.stream_state import RunOutcome, StreamRelay
from lentilhaven.gateway.stream_waiting import wait_or_move
from lentilhaven.platform.response_head import ResponseHead
from lentilhaven.recovery import PauseEstimator, first_event_limit
from lentilhaven.upstream.answer_memory import MAX_EVENT_BYTES
from lentilhaven.upstream.exchange import UpstreamError

CONTENT_TYPE = "content-type"

#: Media type of a stream.
EVENT_STREAM = "text/event-stream"

log = get_logger("gateway")


async def relay_answer(relay: StreamRelay, run: StreamRun) -> RunOutcome:
    """
    Wait for the head of an answer, then relay its stream to the caller.

    A run that has begun beside another one takes over from it with its first event.

    Returns
    -------
    UpstreamResponse, Failure or None
        None if the stream was relayed completely; an answer if the engine sent one
        that is no stream.
    """
    exchange = run.exchange
    limit = first_event_limit(expected_first_event(relay, run.chain))
    head = await wait_or_move(relay, run, exchange.wait_for_head, limit)
    if head is None:
        return silence_failure(relay, run)
    if head.status != 200 or not is_event_stream(relay, run, head):
        return await interpret_error_answer(relay, run.chain, exchange, head)
    first_chunk = await wait_or_move(relay, run, exchange.next_chunk, limit)
    if first_chunk is None:
        return silence_failure(relay, run)
    return await relay_events(relay, run, head, first_chunk)


def is_event_stream(relay: StreamRelay, run: StreamRun, head: ResponseHead) -> bool:
    """Return whether an answer's media type is that of a stream, or is not stated."""
    values = [
        value for name, value in head.forwarded_headers if name.lower() == CONTENT_TYPE
    ]
    media_type = values[-1].partition(";")[0].strip().lower() if values else ""
    if media_type in ("", EVENT_STREAM):
        return True
    log.warning(
        "answer is no event stream",
        request=relay.call.id,
        endpoint=run.chain.first.id,
        media_type=media_type,
        events=relay.events,
    )
    return False


async def relay_events(
    relay: StreamRelay, run: StreamRun, head: ResponseHead, chunk: bytes | None
) -> Failure | None:
    """
    Relay events as they arrive, until the stream ends or is silent for too long.

    Returns
    -------
    Failure or None
        None if the stream was relayed completely.
    """
    loop = asyncio.get_running_loop()
    splitter = EventSplitter()
    expected = expected_pause(relay, run.chain)
    pauses = PauseEstimator(expected, relay.call.route.gap_target)
    event_count = 0
    run.silent_since = loop.time()
    joins_stream = relay.response is not None
    while chunk:
        now = loop.time()
        note_heard(relay.gateway, run.chain, now)
        events = splitter.feed(chunk)
        if run.reading is not None and events.count and run.reading.end():
            relay.gateway.queues.notify_room()
        run.exchange.keep(len(splitter.remainder), MAX_EVENT_BYTES)
        # A comment proves no progress, so that it takes no lead.
        if events.data and (events.count or run is relay.lead.leader):
            relay.lead.check(run, relay.last_event_id)
            check_order(relay, run, events)
            relay.take_lead(run)
            await write_events(relay, run, head, events)
            note_events(relay, run, events)
            pauses.record(now - run.silent_since)
            event_count += 1
            note_pause(relay.gateway, run.chain, event_count, pauses.mean, expected)
            run.silent_since = relay.heard_at = now
        next_chunk = run.exchange.next_chunk
        chunk = await wait_or_move(relay, run, next_chunk, pauses.limit())
    if chunk is None:
        return silence_failure(relay, run)
    return await finish_stream(relay, run, head, splitter.remainder, joins_stream)


def check_order(relay: StreamRelay, run: StreamRun, events: Events) -> None:
    """
    Check that the events of a run follow those that the caller has.

    Raises
    ------
    UpstreamError
        If they do not.
    """
    goes_on = relay.call.route.repeatable and relay.last_event_id != ""
    fault = relay.order.find_fault(events, goes_on and not run.has_ids)
    if fault:
        log.warning(
            "events do not follow",
            request=relay.call.id,
            endpoint=run.chain.first.id,
            last_event_id=relay.last_event_id,
            fault=fault,
        )
        raise UpstreamError("discontinuous", fault, sent=True)


def note_events(relay: StreamRelay, run: StreamRun, events: Events) -> None:
    """Count the events of a run, and record the proof once there are enough."""
    is_proven = run.events >= PROOF_EVENTS
    run.events += events.count
    if run.events >= PROOF_EVENTS and not is_proven:
        note_begun(relay.gateway, relay.call, run.record)


async def write_events(
    relay: StreamRelay, run: StreamRun, head: ResponseHead, events: Events
) -> None:
    """Send complete events to the caller, and record how far the stream has come."""
    response = await ensure_response(relay, head)
    relay.order.note(events)
    run.last_event_id = relay.last_event_id
    run.has_ids |= len(events.ids) > 0
    relay.events += len(events.ids)
    await response.write(events.data)


async def finish_stream(
    relay: StreamRelay,
    run: StreamRun,
    head: ResponseHead,
    remainder: bytes,
    joins_stream: bool,
) -> Failure | None:
    """
    End the answer to the caller after the run has ended.

    Parameters
    ----------
    relay, run, head
        The stream, the run and the head of its answer.
    remainder : bytes
        Start of an event whose end has not arrived.
    joins_stream : bool
        Whether the answer to the caller had begun before the run delivered anything.

    Returns
    -------
    Failure or None
        None if the stream was relayed completely.

    Raises
    ------
    UpstreamError
        If the run has ended within an event, or without an event in a begun stream or
        in an answer without framing.
    """
    proves_nothing = run.events == 0 and (joins_stream or run.exchange.ends_at_eof)
    if remainder.strip() or proves_nothing:
        # An engine that breaks off may still end the framing of its answer.
        detail = "the stream ended within an event, or before the first"
        raise UpstreamError("truncated", detail, sent=True)
    relay.take_lead(run)
    response = await ensure_response(relay, head)
    await response.write_eof(remainder)
    if run.events:
        note_answered(relay.gateway, run.record, not run.exchange.ends_at_eof)
    return None


async def ensure_response(relay: StreamRelay, head: ResponseHead) -> web.StreamResponse:
    """Return the answer to the caller; its first run sends its head."""
    if relay.response is None:
        relay.weights = relay.weights or head.weights_version
        relay.response = make_response(relay, head)
        await relay.response.prepare(relay.request)
        now = asyncio.get_running_loop().time()
        record_first_event(relay.gateway, relay.call, now - relay.call.arrived)
    return relay.response


def make_response(relay: StreamRelay, head: ResponseHead) -> web.StreamResponse:
    """Return the answer to the caller, which is not sent yet."""
    response = web.StreamResponse(
        status=head.status, headers=list(head.forwarded_headers)
    )
    response.enable_chunked_encoding()
    if relay.gateway.leaving:
        response.force_close()
    return response


def expected_first_event(relay: StreamRelay, chain: Chain) -> float:
    """Return the estimated time of prefill and one decoding step, in seconds."""
    output_tokens = max(1.0, float(relay.call.head.length_hint or 1))
    spec = relay.spec
    prompt_tokens = relay.call.head.prompt_tokens
    prefill_seconds = sum(
        prompt_tokens
        / spec.prefill_tokens_per_s
        * (kind.prefill_factor if (kind := spec.cards.get(part.card)) else 1.0)
        * len(span)
        / spec.layers
        for part, span in chain.parts
    )
    return prefill_seconds + spec.tokens_per_step * chain.cost / 1000.0 / max(
        output_tokens, spec.mean_output_tokens
    )


def expected_pause(relay: StreamRelay, chain: Chain) -> float:
    """Return the estimated pause between two events, in seconds."""
    spec = relay.spec
    output_tokens = relay.call.head.length_hint or spec.mean_output_tokens or 1.0
    return spec.tokens_per_step * chain.cost / 1000.0 / output_tokens
