"""
Asking suspected engines whether they are alive.

A chain that is silent makes all its parts suspect, and a sound engine may be silent for
a second and go on.  Once another run has taken over, no data arrive that would refute
the suspicion, so each suspect is asked for its report until it answers or the suspicion
ends.  The other gateways are told of an answer like of other data.
"""

import asyncio

from lentilhaven.core.logs import get_logger
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.gateway.crash_checks import begin_end_check
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.pace_check import question_limit, take_affordable
from lentilhaven.objects.token_bucket import TokenBucket
from lentilhaven.platform.engine_calls import NO_LISTENER, EngineReport, fetch_report

#: Seconds between two rounds of questions.
CHECK_INTERVAL = 0.25

#: Seconds from one question to an engine to the next.
ASK_INTERVAL = 0.5

#: Timeout of a question, in seconds.  The engine answers from its own state.
CALL_TIMEOUT = 0.3

log = get_logger("gateway")


async def check_suspects(gateway: Gateway) -> None:
    """
    Ask the engines that this gateway suspects whether they are alive, until cancelled.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    """
    loop = asyncio.get_running_loop()
    bucket = TokenBucket.full(gateway.clock, question_limit(1))
    asked_at: dict[tuple[str, int], float] = {}
    while True:
        await asyncio.sleep(CHECK_INTERVAL)
        now = loop.time()
        asked_at = {it: at for it, at in asked_at.items() if now - at < ASK_INTERVAL}
        suspects = [
            it for it in own_suspects(gateway, now) if it.incarnation not in asked_at
        ]
        if not suspects:
            continue
        bucket.limit = question_limit(gateway.peers.count_gateways(now))
        gateway.random.shuffle(suspects)
        asked = take_affordable(suspects, bucket)
        asked_at |= {endpoint.incarnation: now for endpoint in asked}
        await asyncio.gather(*(ask_suspect(gateway, endpoint) for endpoint in asked))


def own_suspects(gateway: Gateway, now: float) -> list[Endpoint]:
    """Return the engines with layers that streams of this gateway make suspect."""
    states = gateway.endpoint_states.states
    return [
        endpoint
        for endpoint in gateway.view.endpoints.values()
        if endpoint.layers is not None
        and (state := states.get(endpoint.incarnation)) is not None
        and now < state.suspected_until
        and now < state.suspicions[0][1]
        and state.unreached_since is None
        and gateway.accepts_new_work(endpoint)
    ]


async def ask_suspect(gateway: Gateway, endpoint: Endpoint) -> None:
    """Ask a suspected engine for its report, which ends the suspicion."""
    if gateway.session is None:
        return
    report = await fetch_report(
        gateway.session, endpoint, CALL_TIMEOUT, gateway.note_head
    )
    if report.is_error():
        if report.error.kind == NO_LISTENER:
            begin_end_check(gateway, endpoint)
        log.info(
            "suspected engine is silent",
            endpoint=endpoint.id,
            detail=str(report.error),
        )
    elif holds_same_layers(endpoint, report.ok):
        now = asyncio.get_running_loop().time()
        gateway.endpoint_states.of(endpoint).note_heard(now)
        gateway.queues.notify_room()
        gateway.urgent_signal.notify()
        log.info("suspected engine is alive", endpoint=endpoint.id)


def holds_same_layers(endpoint: Endpoint, report: EngineReport) -> bool:
    """Return whether an engine has neither restarted nor given up its layers."""
    return (endpoint.incarnation[1], endpoint.layers) == (report.born, report.layers)
