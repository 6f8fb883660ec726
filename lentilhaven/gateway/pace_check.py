"""
Finding the slow engine of a slow chain.

A gateway sees only how fast a whole chain is.  When the events of a stream come much
slower than estimated, it asks the parts of that chain for their pace, which each engine
states in its report, and asks those that are slow again until they recover.  The other
gateways are told, so that one question serves all.
"""

import asyncio
from collections.abc import Iterable

from lentilhaven.chains.chain import Chain
from lentilhaven.core.logs import get_logger
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.gateway.endpoint_states import PACE_EXPIRY
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.objects.share import RateLimit
from lentilhaven.objects.token_bucket import TokenBucket
from lentilhaven.platform.engine_calls import fetch_report

#: A stream whose mean pause is this many times the estimate is slow.
SLOW_RATIO = 1.5

#: Number of events after which the mean pause of a stream is judged.
MIN_EVENTS = 4

#: Seconds from one question to an engine to the next.
ASK_INTERVAL = 1.0

#: Questions that all gateways together ask in a second.  In an overload all streams are
#: slow, and each gateway would ask all engines.
FLEET_QUESTION_RATE = 60.0

#: Seconds in which questions gather before some of them are asked.
GATHER_TIME = 0.05

#: Timeout of a question, in seconds.  The engine answers from its own state.
CALL_TIMEOUT = 0.3

#: Pace from which an engine counts as slow; paces below vary by themselves.
MIN_SLOW_PACE = 1.2

log = get_logger("gateway")


def note_pause(
    gateway: Gateway, chain: Chain, events: int, mean: float, expected: float
) -> None:
    """
    Ask the parts of a chain for their pace if its stream is slow.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    chain : Chain
        The chain on which the stream runs.
    events : int
        Number of events so far.
    mean, expected : float
        Mean pause between the events, and its estimate, in seconds.
    """
    if events < MIN_EVENTS or mean < SLOW_RATIO * expected:
        return
    now = asyncio.get_running_loop().time()
    for endpoint in chain.endpoints:
        if now - gateway.endpoint_states.of(endpoint).pace_at >= ASK_INTERVAL:
            gateway.pace_questions[endpoint.incarnation] = endpoint
    if gateway.pace_questions:
        gateway.pace_signal.notify()


async def check_paces(gateway: Gateway) -> None:
    """
    Ask the engines of slow chains for their pace, until cancelled.

    Known slow engines come first, then the others by chance: chains cross, so that the
    gateways together ask each of them soon.
    """
    loop = asyncio.get_running_loop()
    bucket = TokenBucket.full(gateway.clock, question_limit(1))
    while True:
        await gateway.pace_signal.wait(ASK_INTERVAL)
        await asyncio.sleep(GATHER_TIME)
        bucket.limit = question_limit(gateway.peers.count_gateways(loop.time()))
        questions, gateway.pace_questions = gateway.pace_questions, {}
        known = slow_endpoints(gateway)
        for endpoint in known:
            questions.pop(endpoint.incarnation, None)
        others = list(questions.values())
        gateway.random.shuffle(others)
        asked = take_affordable([*known, *others], bucket)
        await asyncio.gather(*(ask_pace(gateway, endpoint) for endpoint in asked))


def question_limit(gateways: int) -> RateLimit:
    """
    Return the rate limit of one gateway's questions.

    Examples
    --------
    >>> question_limit(6)
    RateLimit(rate=10.0, burst=10.0)
    >>> question_limit(600)
    RateLimit(rate=0.1, burst=1.0)
    """
    share = FLEET_QUESTION_RATE / max(1, gateways)
    return RateLimit(share, max(1.0, share))


def take_affordable(
    endpoints: Iterable[Endpoint], bucket: TokenBucket
) -> list[Endpoint]:
    """Return the first endpoints for which a bucket has tokens left now."""
    found = []
    for endpoint in endpoints:
        if bucket.reserve(0.0) is None:
            break
        found.append(endpoint)
    return found


def slow_endpoints(gateway: Gateway) -> list[Endpoint]:
    """Return the engines that this gateway has found slow and should ask again."""
    now = asyncio.get_running_loop().time()
    found = []
    for endpoint in gateway.view.endpoints.values():
        state = gateway.endpoint_states.states.get(endpoint.incarnation)
        if state is None or state.pace_distance or state.slowdown < MIN_SLOW_PACE:
            continue
        if ASK_INTERVAL <= now - state.pace_at < PACE_EXPIRY:
            found.append(endpoint)
    return found


async def ask_pace(gateway: Gateway, endpoint: Endpoint) -> None:
    """Ask an engine for its pace, and keep the answer."""
    if gateway.session is None or not gateway.accepts_new_work(endpoint):
        return
    state = gateway.endpoint_states.of(endpoint)
    # Also keeps the question from being asked again if there is no answer.
    state.pace_at = asyncio.get_running_loop().time()
    report = await fetch_report(
        gateway.session, endpoint, CALL_TIMEOUT, gateway.note_head
    )
    if report.is_error():
        log.info(
            "engine does not state its pace",
            endpoint=endpoint.id,
            detail=str(report.error),
        )
        return
    pace = report.ok.pace
    was_slow = state.slowdown >= MIN_SLOW_PACE
    state.note_pace(pace, asyncio.get_running_loop().time())
    if was_slow != (pace >= MIN_SLOW_PACE):
        log.info("pace of an engine", endpoint=endpoint.id, pace=round(pace, 2))
        gateway.urgent_signal.notify()
