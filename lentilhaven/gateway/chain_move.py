"""Moving a running stream to other endpoints."""

from lentilhaven.chains.chain import Chain
from lentilhaven.core.logs import get_logger
from lentilhaven.fleet.engine_spec import EngineSpec
from lentilhaven.gateway.call import Call
from lentilhaven.gateway.chain_choice import replace_parts
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.platform.engine_calls import (
    OrderOutcome,
    fetch_report,
    order_path,
)

#: Timeout of a call to the first engine of a chain, in seconds.  The engine answers
#: from its own state.
CALL_TIMEOUT = 0.3

#: Maximum number of attempts to move one run.
MAX_MOVES = 2

log = get_logger("gateway")


async def move_chain(
    gateway: Gateway,
    call: Call,
    spec: EngineSpec,
    chain: Chain,
    suspects: list[str],
    now: float,
) -> Chain | None:
    """
    Replace the failed parts of a chain for a stream that can't be run again.

    The first engine reports which part it waits for, but its report is some hundred
    ms old.  If the report names no part, the suspects are replaced.  The first engine
    itself is never replaced.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    call : Call
        The request.
    spec : EngineSpec
        Specification of the engines.
    chain : Chain
        The current chain.
    suspects : list of str
        Ids of the endpoints from which nothing has arrived since the silence began.
    now : float
        Time of the event loop.

    Returns
    -------
    Chain or None
        The chain on which the stream continues, or None if it was not moved.
    """
    if gateway.session is None:
        return None
    if gateway.is_paused(chain.first):
        log.info("first part wants no requests", request=call.id)
        return None
    report = await fetch_report(
        gateway.session, chain.first, CALL_TIMEOUT, gateway.note_head
    )
    if report.is_error():
        log.info("first part is silent", request=call.id, detail=str(report.error))
        return None
    awaited = {
        address for name, address in report.ok.stalled_requests if name == call.id
    }
    dead = {it.id for it in chain.endpoints if it.address in awaited}
    dead = (dead or set(suspects)) - {chain.first.id}
    moved = replace_parts(gateway, call, spec, chain, dead, now) if dead else None
    if moved is None:
        log.info("no other parts", request=call.id, dead=sorted(dead))
        return None
    outcome = await order_path(
        gateway.session,
        chain.first,
        call.id,
        moved.parts,
        CALL_TIMEOUT,
        gateway.note_head,
    )
    log.info(
        "stream moved",
        request=call.id,
        dead=sorted(dead),
        known=bool(awaited),
        parts=[f"{part.id}={span.start}-{span.end}" for part, span in moved.parts],
        outcome=outcome.value,
    )
    # An order with an unknown outcome may have been carried out.
    accepted = (OrderOutcome.BEGUN, OrderOutcome.HOLDS, OrderOutcome.UNKNOWN)
    return moved if outcome in accepted else None
