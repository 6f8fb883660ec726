"""Chains for streams, through the queue of their service."""

import asyncio
from collections.abc import Collection

import attrs

from lentilhaven.admission import Refusal
from lentilhaven.admission.chain_capacity import usual_read_time
from lentilhaven.admission.start_room import EngineUse, start_room
from lentilhaven.chains.chain import Chain
from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step
from lentilhaven.gateway.chain_choice import (
    MAX_MEMORY_USE,
    choose_chain,
    live_engines_cover_model,
    log_missing_layers,
    possible_starts,
    time_to_cover,
)
from lentilhaven.gateway.intake import with_current_terms
from lentilhaven.gateway.limit_checks import limit_wait
from lentilhaven.gateway.stream_state import RunOutcome, StreamRelay
from lentilhaven.limits.queue_decision import LATE_WAIT_SHARE, may_start
from lentilhaven.limits.retry_time import retry_after
from lentilhaven.limits.shared_room import own_room, urgent_waiting_elsewhere
from lentilhaven.limits.waiting_queue import QueueEntry

#: Share of the target latency for which a request waits for capacity if the manifest
#: orders nothing.  Under overload, a longer wait only delays the refusals.
CAPACITY_WAIT_SHARE = 0.12

#: Minimum time that a request waits for capacity, in seconds.  It matters to a stream
#: that must continue on another chain after the time of `CAPACITY_WAIT_SHARE` has
#: passed.
MIN_CAPACITY_WAIT = 0.05

#: Share of the time until its caller leaves for which a stream that continues waits
#: for a chain: the caller would wait as long after a refusal.  New ones that were not
#: refused at once wait until they are due, or for `LATE_WAIT_SHARE`: a late answer is
#: better than a refusal after a wait.
RECOVERY_WAIT_SHARE = 1 / 3


def make_entry(relay: StreamRelay) -> QueueEntry:
    """
    Return the place of a stream in the queue of its service.

    It is due when a prompt that begins to be read then still meets the target of the
    first event, or the longest pause of a stream that continues.
    """
    call = with_current_terms(relay.gateway, relay.call)
    cost = max(1.0, relay.tokens)
    if not relay.gateway.rules.is_ordered:
        return QueueEntry(call.id, 0, "", cost, call.arrived, call.arrived)
    due = call.arrived + call.route.target_latency
    if relay.heard_at:
        due = relay.heard_at + (call.route.gap_target or call.route.stream_patience)
    due -= usual_read_time(relay.spec, call.head.prompt_tokens)
    return QueueEntry(
        call.id, call.priority, call.workspace, cost, call.arrived, due, relay.continues
    )


def wait_limit(relay: StreamRelay, entry: QueueEntry) -> float:
    """Return the event loop time at which a stream's wait for capacity ends."""
    now = asyncio.get_running_loop().time()
    call = with_current_terms(relay.gateway, relay.call)
    latest = call.arrived + CAPACITY_WAIT_SHARE * call.route.target_latency
    until = max(latest, now + MIN_CAPACITY_WAIT)
    if relay.gateway.rules.is_ordered:
        share = RECOVERY_WAIT_SHARE if relay.continues else LATE_WAIT_SHARE
        until = max(until, entry.due, now + share * (call.deadline - now))
        if relay.heard_at:
            # Then its caller leaves, and may go on at another gateway.
            until = min(until, relay.heard_at + call.route.stream_patience)
    return min(call.deadline, until)


async def wait_for_chain(
    relay: StreamRelay, replaced: Collection[str] = ()
) -> Chain | Refusal:
    """
    Return a chain, or why there is none in time.

    A stream is refused at once if the engines that are not suspected do not cover the
    model, or if all that could begin a chain are at their limits.  Serving a request
    after a wait is better than refusing it if the answer still meets its target.

    Parameters
    ----------
    relay : StreamRelay
        The stream.
    replaced : collection of str
        Ids of endpoints that are not used in addition to those that the stream avoids.
    """
    gateway, call = relay.gateway, relay.call
    now = asyncio.get_running_loop().time()
    entry = make_entry(relay)
    until = wait_limit(relay, entry)

    def try_start() -> Chain | Refusal | None:
        return try_chain(relay, entry, replaced, until)

    def renew() -> tuple[QueueEntry, float]:
        renewed = make_entry(relay)
        return renewed, min(until, wait_limit(relay, renewed))

    is_ordered = gateway.rules.is_ordered
    avoided = frozenset(relay.avoided(now) | set(replaced))
    scope = (avoided, frozenset(relay.held(now)), round(entry.cost).bit_length())
    return await gateway.queues.of(call.service).wait(
        entry,
        try_start,
        until=until,
        deadline=call.deadline if is_ordered else None,
        scope=scope,
        renew=renew,
    )


def try_chain(
    relay: StreamRelay, entry: QueueEntry, replaced: Collection[str], until: float
) -> Chain | Refusal | None:
    """
    Return a chain that has room for a stream, None, or why a wait is in vain.

    Parameters
    ----------
    relay, replaced
        As in `wait_for_chain`.
    entry : QueueEntry
        The stream's place in the queue.
    until : float
        Event loop time at which its wait ends, in seconds.
    """
    gateway, call, spec = relay.gateway, relay.call, relay.spec
    now = asyncio.get_running_loop().time()
    avoided = relay.avoided(now) | set(replaced)
    held = relay.held(now)
    chain = find_chain_for(relay, avoided, now)
    if chain is not None:
        is_held = not relay.continues and must_leave_room(relay, entry, now)
        return None if is_held else chain
    # Most suspicions after a loss are refuted soon, and a stream that has begun would
    # break off without a chain.
    is_patient = gateway.rules.is_ordered and relay.response is not None
    if now < until and (
        is_patient
        or live_engines_cover_model(gateway, call, spec, avoided, now, until, held)
    ):
        return None
    log_missing_layers(gateway, call, spec, avoided, now, held)
    return Refusal("no-chain")


def find_chain_for(
    relay: StreamRelay, avoided: Collection[str], now: float
) -> Chain | None:
    """Return the best chain for a stream, whether or not it has room."""
    gateway = relay.gateway
    has_begun = relay.response is not None
    recovers = gateway.rules.is_ordered and relay.continues
    return choose_chain(
        gateway,
        relay.call,
        relay.spec,
        avoided,
        now,
        has_begun,
        relay.held(now),
        relay.broken_at(now) if recovers else None,
    )


def must_leave_room(relay: StreamRelay, entry: QueueEntry, now: float) -> bool:
    """Return whether the room is for more urgent work that waits at other gateways."""
    gateway, service = relay.gateway, relay.call.service
    if not gateway.rules.is_ordered:
        return False
    reports = gateway.peers.queue_reports(service, now)
    urgent = urgent_waiting_elsewhere(reports, entry.priority)
    if urgent <= 0.0:
        return False
    load_of = gateway.peers.load_of_others(now).load_of
    engines = [
        EngineUse(it.card, len(it.layers), state.kv_token_layers + load_of(it.id)[1])
        for it in gateway.view.of_service(service)
        if it.layers and (state := gateway.endpoint_states.of(it)).available(now)
    ]
    room = start_room(relay.spec, engines, MAX_MEMORY_USE)
    room = own_room(room, reports, gateway.count_gateways(now))
    return not may_start(entry.cost, room=room, urgent_waiting=urgent)


def no_chain_failure(
    relay: StreamRelay, refusal: Refusal, outcome: RunOutcome
) -> Failure:
    """
    Return the failure of a stream for which there is no chain.

    Parameters
    ----------
    relay : StreamRelay
        The stream.
    refusal : Refusal
        Why there is none.
    outcome : UpstreamResponse, Failure or None
        Outcome of its last run; None if there was none.
    """
    gateway, call = relay.gateway, relay.call
    now = asyncio.get_running_loop().time()
    avoided = relay.avoided(now)
    starts = possible_starts(gateway, call.service, avoided, now)
    pause = limit_wait(gateway, call.service, starts, now)
    pause = pause or time_to_cover(gateway, call, relay.spec, avoided, now)
    if pause is None and gateway.rules.is_ordered:
        left = call.deadline - now
        pause = retry_after(refusal.wait, call.priority, left, gateway.random)
    if not isinstance(outcome, Failure):
        kind, detail = "no-chain", f"no chain of {call.service} covers the model"
        if refusal.cause != "no-chain":
            detail = f"no chain of {call.service} has room in time: {refusal.cause}"
        outcome = Failure(Step.CHOOSE, "", kind, detail)
    return attrs.evolve(outcome, retry_after=outcome.retry_after or pause)
