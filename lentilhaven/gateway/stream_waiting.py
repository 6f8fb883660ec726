"""Waiting for the next part of a stream."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from lentilhaven.gateway.chain_choice import choose_chain
from lentilhaven.gateway.chain_move import MOST_MOVES, move_chain
from lentilhaven.gateway.silence import note_silence
from lentilhaven.gateway.stream_state import StreamRelay, StreamRun

#: Seconds after which a silent run is given up although all of its parts are heard
#: of; it waits behind other work, which a second run would do too.
SLOW_LIMIT = 0.8

#: Seconds between two looks at a silent run.
RECHECK_INTERVAL = 0.04

#: Seconds beside the usual silence for the first event after a move.
MOVE_TIME = 0.2

T = TypeVar("T")


async def wait_or_move(
    relay: StreamRelay,
    run: StreamRun,
    wait: Callable[[float], Awaitable[T | None]],
    limit: float,
) -> T | None:
    """
    Wait for the next part of an answer, and replace dead parts of the chain.

    Parameters
    ----------
    relay, run
        The stream.
    wait : callable
        Takes a time of the event loop and returns what arrived until then, or
        None.
    limit : float
        Seconds of silence that are taken for a fault.

    Returns
    -------
    T or None
        None if the request should be run again.
    """
    until = run.heard + limit
    while True:
        found = await wait(min(until, relay.call.deadline))
        now = asyncio.get_running_loop().time()
        if found is not None or now >= relay.call.deadline:
            return found
        suspects = note_silence(relay.gateway, run.chain, relay.call.id, run.heard, now)
        if relay.may_run_again:
            if find_replacement(relay, run, suspects, now):
                return None
            until = now + RECHECK_INTERVAL
        elif run.moves < MOST_MOVES:
            await move_run(relay, run, suspects, now)
            until = run.heard + limit
        else:
            until = relay.call.deadline


def find_replacement(
    relay: StreamRelay, run: StreamRun, suspects: list[str], now: float
) -> bool:
    """
    Return whether a silent run should be given up for another one.

    A run whose parts are all heard of elsewhere is slow and not dead, and one
    that has no successor is better waited for.
    """
    if not suspects and now - run.heard < SLOW_LIMIT:
        return False
    excluded = relay.excluded | set(suspects or [run.chain.first.id])
    gateway, call = relay.gateway, relay.call
    if choose_chain(gateway, call, relay.spec, excluded, now) is None:
        return False
    budget = gateway.budget_of(call.service)
    if budget.left(now, gateway.count_gateways(now)) < 1.0:
        return False
    relay.excluded = excluded
    return True


async def move_run(
    relay: StreamRelay, run: StreamRun, suspects: list[str], now: float
) -> None:
    """Replace the dead parts of a run's chain, and wait for its next event anew."""
    run.moves += 1
    moved = await move_chain(
        relay.gateway, relay.call, relay.spec, run.chain, suspects, now
    )
    if moved is not None:
        run.chain = moved
    # The new parts read everything so far before the next event.
    run.heard = asyncio.get_running_loop().time() + MOVE_TIME
