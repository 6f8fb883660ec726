"""Waiting for the next data of a stream, with recovery from silence."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from lentilhaven.gateway.chain_choice import choose_chain
from lentilhaven.gateway.chain_move import MAX_MOVES, move_chain
from lentilhaven.gateway.silence import suspect_silent_parts
from lentilhaven.gateway.stream_state import StreamRelay, StreamRun

#: Seconds after which a silent run is given up although all of its endpoints are
#: active.  Until then, the run is assumed to wait behind other work, as a second run
#: would too.
SLOW_RUN_LIMIT = 0.8

#: Seconds between two checks of a silent run.
RECHECK_INTERVAL = 0.04

#: Seconds granted to the first event after a move, in addition to the usual limit.
MOVE_ALLOWANCE = 0.2

T = TypeVar("T")


async def wait_or_move(
    relay: StreamRelay,
    run: StreamRun,
    wait: Callable[[float], Awaitable[T | None]],
    limit: float,
) -> T | None:
    """
    Wait for the next data of an answer, and replace failed parts of the chain.

    Parameters
    ----------
    relay, run
        The stream and its current run.
    wait : callable
        Takes a deadline in event loop time and returns what arrives before it, or
        None.
    limit : float
        Seconds of silence that count as a fault.

    Returns
    -------
    T or None
        None if the call's deadline has passed or the request should be run again.
    """
    until = run.silent_since + limit
    while True:
        received = await wait(min(until, relay.call.deadline))
        now = asyncio.get_running_loop().time()
        if received is not None or now >= relay.call.deadline:
            return received
        suspects = suspect_silent_parts(
            relay.gateway, run.chain, relay.call.id, run.silent_since, now
        )
        if relay.may_run_again:
            if prepare_new_run(relay, run, suspects, now):
                return None
            until = now + RECHECK_INTERVAL
        elif run.moves < MAX_MOVES:
            await move_run(relay, run, suspects, now)
            until = run.silent_since + limit
        else:
            until = relay.call.deadline


def prepare_new_run(
    relay: StreamRelay, run: StreamRun, suspects: list[str], now: float
) -> bool:
    """
    Return whether to give up a silent run for a new one.

    If so, the suspects are excluded from the new run, or the first engine if there are
    none.

    A run whose endpoints are all active for other requests is slow and has not
    failed.  If no other chain or no retry budget is available, it is better to keep
    waiting.
    """
    if not suspects and now - run.silent_since < SLOW_RUN_LIMIT:
        return False
    excluded = relay.excluded | set(suspects or [run.chain.first.id])
    gateway, call = relay.gateway, relay.call
    if choose_chain(gateway, call, relay.spec, excluded, now) is None:
        return False
    budget = gateway.budget_of(call.service)
    if budget.remaining(now, gateway.count_gateways(now)) < 1.0:
        return False
    relay.excluded = excluded
    return True


async def move_run(
    relay: StreamRelay, run: StreamRun, suspects: list[str], now: float
) -> None:
    """Replace the failed parts of a run's chain, and restart its silence timer."""
    run.moves += 1
    moved = await move_chain(
        relay.gateway, relay.call, relay.spec, run.chain, suspects, now
    )
    if moved is not None:
        run.chain = moved
    # The new endpoints process the prompt and all output so far before they produce
    # the next event.
    run.silent_since = asyncio.get_running_loop().time() + MOVE_ALLOWANCE
