"""Waiting for the next data of a stream, with recovery from silence."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs

from lentilhaven.admission import Refusal
from lentilhaven.chains.chain import Chain
from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import get_logger
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.core.tasks import report_task_failure
from lentilhaven.gateway.chain_move import MAX_MOVES, move_chain
from lentilhaven.gateway.crash_checks import forbids_repeat, is_refused
from lentilhaven.gateway.endpoint_links import begin_link_check
from lentilhaven.gateway.silence import suspect_silent_parts
from lentilhaven.gateway.stream_admission import find_chain_for, wait_for_chain
from lentilhaven.gateway.stream_lead import StreamRun
from lentilhaven.gateway.stream_state import RunOutcome, StreamRelay

#: Seconds after which a second run begins beside a silent one although all of its
#: endpoints are active.  Until then, the run is assumed to wait behind other work, as
#: a second run would too.
SLOW_RUN_LIMIT = 0.8

#: Seconds after which a run that could not be moved is tried to be moved again.
MOVE_RETRY_INTERVAL = 0.5

#: Seconds between two checks of a silent run.
RECHECK_INTERVAL = 0.04

#: Seconds granted to the first event after a move, in addition to the usual limit.
MOVE_ALLOWANCE = 0.2

T = TypeVar("T")

log = get_logger("gateway")


async def wait_or_move(
    relay: StreamRelay,
    run: StreamRun,
    wait: Callable[[float], Awaitable[T | None]],
    limit: float,
) -> T | None:
    """
    Wait for the next data of an answer, and act if the run is silent.

    If the request may run again, a second run begins, which takes over once it has
    data.  A silent endpoint may be sound and go on, so the first run continues until
    then.  Otherwise failed parts of the chain are replaced.

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
        None if the call's deadline has passed.

    Raises
    ------
    UpstreamError
        If the exchange has failed, or a second run has taken over.
    """
    until = run.silent_since + limit
    while True:
        received = await wait(min(until, relay.call.deadline))
        now = asyncio.get_running_loop().time()
        if received is not None or now >= relay.call.deadline:
            return received
        lost_link = has_lost_link(relay, run)
        suspects: list[str] = []
        if not lost_link:
            begin_link_check(relay.gateway, run.chain.first)
            suspects = suspect_silent_parts(
                relay.gateway, run.chain, relay.call.id, run.silent_since, now
            )
        if relay.has_successor or run is not relay.lead.leader:
            until = now + RECHECK_INTERVAL
        elif relay.may_run_again:
            begin_second_run(relay, run, suspects, now, lost_link)
            until = now + RECHECK_INTERVAL
        elif run.moves < MAX_MOVES and not is_refused(relay.gateway, relay.call):
            moved = await move_run(relay, run, suspects, now)
            until = run.silent_since + limit if moved else now + MOVE_RETRY_INTERVAL
        else:
            until = relay.call.deadline


def has_lost_link(relay: StreamRelay, run: StreamRun) -> bool:
    """
    Return whether a run is silent since the link to its first engine is gone.

    A connection that has outlived the link may be silent for other reasons.
    """
    state = relay.gateway.endpoint_states.of(run.chain.first)
    since, connection = state.unreached_since, run.connection
    if since is None or connection is None or connection.relayed:
        return False
    return connection.activity.at <= since


def begin_second_run(
    relay: StreamRelay,
    run: StreamRun,
    suspects: list[str],
    now: float,
    lost_link: bool = False,
) -> None:
    """
    Begin a second run beside a silent one, if a chain and a retry are available.

    The suspects are excluded from it, or the first engine if there are none.  A run
    whose endpoints are all active for other requests is slow and has not failed.  If
    the link to the first engine is gone, no engine is at fault.
    """
    is_slow_only = not suspects and not lost_link
    if is_slow_only and now - run.silent_since < SLOW_RUN_LIMIT:
        return
    replaced = set() if lost_link else set(suspects or [run.chain.first.id])
    begin = SecondRun(relay, run, suspects, replaced)
    if relay.gateway.rules.is_ordered:
        task = asyncio.ensure_future(begin.run_in_turn())
    else:
        chain = find_chain_for(relay, relay.avoided(now) | replaced, now)
        if chain is None or not begin.is_permitted(chain):
            return
        task = asyncio.ensure_future(relay.run_on_chain(relay, chain))
    task.add_done_callback(report_task_failure)
    relay.successor = task


@attrs.frozen
class SecondRun:
    """
    A run that is to begin beside a silent one.

    Attributes
    ----------
    relay, run
        The stream and its silent run.
    suspects : list of str
        Ids of the endpoints that are suspected.
    replaced : set of str
        Ids of the endpoints that the second run must not use.
    """

    relay: StreamRelay
    run: StreamRun
    suspects: list[str]
    replaced: set[str]

    async def run_in_turn(self) -> RunOutcome:
        """Run once the service's queue gives a chain, unless that takes too long."""
        relay = self.relay
        chain = await wait_for_chain(relay, self.replaced)
        if not isinstance(chain, Refusal) and self.is_permitted(chain):
            return await relay.run_on_chain(relay, chain)
        if relay.successor is asyncio.current_task():
            relay.successor = None
        detail = "no chain for a second run"
        return Failure(Step.STREAM, "", "no-chain", detail, Ran.UNKNOWN)

    def is_permitted(self, chain: Chain) -> bool:
        """Return whether the request may be sent again, and count it if so."""
        gateway, call = self.relay.gateway, self.relay.call
        now = asyncio.get_running_loop().time()
        budget = gateway.budget_of(call.service)
        if forbids_repeat(gateway, call) or not budget.try_spend(
            now, gateway.count_gateways(now)
        ):
            return False
        self.relay.excluded |= self.replaced
        log.info(
            "second run begins",
            request=call.id,
            silent_ms=round((now - self.run.silent_since) * 1000),
            suspects=self.suspects,
            first=chain.first.id,
        )
        return True


async def move_run(
    relay: StreamRelay, run: StreamRun, suspects: list[str], now: float
) -> bool:
    """
    Replace the failed parts of a run's chain, and restart its silence timer.

    Returns False if the run stays where it is.
    """
    moved = await move_chain(
        relay.gateway, relay.call, relay.spec, run.chain, suspects, now
    )
    if moved is None:
        return False
    run.moves += 1
    run.chain = moved
    incarnations = [endpoint.incarnation for endpoint in moved.endpoints]
    relay.gateway.run_log.add_endpoints(run.record, incarnations)
    # The new endpoints process the prompt and all output so far before they produce
    # the next event.
    run.silent_since = asyncio.get_running_loop().time() + MOVE_ALLOWANCE
    return True
