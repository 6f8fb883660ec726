"""Requests that crash each replica that runs them, and the check of their phase."""

import asyncio
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial

from lentilhaven.bench.soak.kept_connection import open_connection
from lentilhaven.bench.soak.soak_callers import KIND_WEIGHTS, MAX_IDLE, Attempt
from lentilhaven.bench.soak.soak_checks import Findings
from lentilhaven.bench.soak.soak_crashes import (
    COUNTED_TIME,
    MAX_ARRIVALS,
    MIN_SERVED_RATIO,
    REACTION_TIME,
    crash_times,
    served_fraction,
    wait_for_crashes,
)
from lentilhaven.bench.soak.soak_environment import SoakEnvironment
from lentilhaven.bench.soak.soak_replica_faults import CRASH_TIME
from lentilhaven.bench.soak.soak_tables import API_KEYS
from lentilhaven.core.tasks import running_tasks
from lentilhaven.standins.platform.fake_replica import CrashingRequest

#: Number of crashes after which gateways must know the request.
CRASHES = 3

#: Numbers of events, or of pieces of another answer, before the crash; None if not even
#: the head is sent.
PIECES = (None, 0, 3)

#: Number of events of a stream that crashes engines.
EVENTS = 20

#: Seconds between two requests; every other one is a neighbour of the crashing request.
SEND_INTERVAL = 0.1

#: Seconds between an ordinary crash and the first request that crashes replicas.
ORDINARY_CRASH_TIME = 0.1


def draw_rule(environment: SoakEnvironment) -> CrashingRequest:
    """Return a new request that crashes the replicas that run it."""
    random = environment.random
    name = f"{random.getrandbits(32):08x}"
    return CrashingRequest(
        tenant=random.choice(sorted(API_KEYS)),
        method="POST",
        target=f"/{random.choice([*KIND_WEIGHTS])}/{name}",
        body=f"crash on {name}".encode(),
        pieces=random.choice(PIECES),
        part=random.randrange(2),
    )


def kind_of(rule: CrashingRequest) -> str:
    """Return the kind of a crashing request."""
    return rule.target.split("/")[1]


@asynccontextmanager
async def crashing_request(
    environment: SoakEnvironment,
) -> AsyncIterator[CrashingRequest]:
    """Let callers at all gateways repeat a request that crashes replicas."""
    fleet = environment.fleet
    rule = draw_rule(environment)
    fleet.crash_time = CRASH_TIME
    fleet.keeps_layers = environment.random.random() < 0.5
    fleet.crashing_requests.append(rule)
    try:
        async with running_tasks(send_repeatedly(environment, rule)):
            yield rule
    finally:
        fleet.crashing_requests.remove(rule)


async def send_repeatedly(environment: SoakEnvironment, rule: CrashingRequest) -> None:
    """Send a crashing request and its neighbours to all gateways until cancelled."""
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            group.create_task(send_once(environment, rule, number))
            await asyncio.sleep(SEND_INTERVAL)


async def send_once(
    environment: SoakEnvironment, rule: CrashingRequest, number: int
) -> None:
    """
    Send a crashing request, or a neighbour of it if the number is odd.

    A neighbour shares the path, and either the caller or the body.
    """
    callers = environment.callers
    gateway = number % len(callers.addresses)
    attempt = callers.make_attempt(kind_of(rule), gateway, rule.target)
    attempt.workspace, attempt.sent_body = rule.tenant, rule.body
    if number % 4 == 1:
        attempt.sent_body = f"body of {attempt.id}".encode()
    elif number % 4 == 3:
        attempt.workspace = next(it for it in sorted(API_KEYS) if it != rule.tenant)
    if attempt.events:
        attempt.events = EVENTS
        attempt.set_prompt()
    async with open_connection(callers.addresses[gateway], MAX_IDLE) as connection:
        await callers.send_request(connection, attempt)


async def repeat_crashing_request(environment: SoakEnvironment, seconds: float) -> None:
    """Let callers repeat a request that crashes replicas for some time."""
    async with crashing_request(environment):
        await asyncio.sleep(seconds)


async def crash_on_request(
    environment: SoakEnvironment, before: tuple[float, float], findings: Findings
) -> bool:
    """
    Let replicas crash on a request; check that gateways contain it.

    Parameters
    ----------
    environment : SoakEnvironment
        Environment with the callers and replicas.
    before : tuple of (float, float)
        Begin and end of a period without faults; times of the event loop, in seconds.
    findings : Findings
        Receives the violations.

    Returns
    -------
    bool
        Whether the request has crashed so many replicas that its refusal was checked.
    """
    loop = asyncio.get_running_loop()
    fleet = environment.fleet
    fleet.crashing_request_arrivals.clear()
    if environment.random.random() < 0.5:
        # Evidence against sound requests, too.
        fleet.begin_crash(environment.random.choice([*fleet.replicas.values()]))
        await asyncio.sleep(ORDINARY_CRASH_TIME)
    began = loop.time()
    async with crashing_request(environment) as rule:
        await wait_for_crashes(environment, began, CRASHES)
        since = loop.time() + REACTION_TIME
        await asyncio.sleep(REACTION_TIME + COUNTED_TIME)
        until = loop.time()
        # Time for the last of the counted requests to end.
        await asyncio.sleep(1.0)
    check_others(environment, rule, before, (since, until), findings)
    crashes = crash_times(environment, began)
    if len(crashes) < CRASHES:
        return False
    after = (crashes[CRASHES - 1] + REACTION_TIME, until)
    check_refusal(environment, rule, after, findings)
    return True


def check_refusal(
    environment: SoakEnvironment,
    rule: CrashingRequest,
    after: tuple[float, float],
    findings: Findings,
) -> None:
    """Check that a crashing request reaches few replicas, and its callers are told."""
    arrivals = environment.fleet.crashing_request_arrivals
    late_count = sum(it >= after[0] for it in arrivals)
    if late_count > MAX_ARRIVALS:
        detail = f"{late_count} of {len(arrivals)} arrivals of {rule} came late"
        findings.add("crashing request", detail)
    statuses = [
        it.status
        for it in environment.callers.attempts
        if after[0] <= it.began < after[1] and it.reached and is_same(rule, it)
    ]
    others = [it for it in statuses if it != 503]
    if len(others) > MAX_ARRIVALS:
        detail = f"{len(others)} of {len(statuses)} callers of {rule} got {others[:9]}"
        findings.add("refusal of a crashing request", detail)


def check_others(
    environment: SoakEnvironment,
    rule: CrashingRequest,
    before: tuple[float, float],
    after: tuple[float, float],
    findings: Findings,
) -> None:
    """
    Check that requests of the same route as a crashing one are served.

    Parameters
    ----------
    environment : SoakEnvironment
        Environment with the callers and replicas.
    rule : CrashingRequest
        The crashing request.
    before, after : tuple of (float, float)
        Begin and end of the periods before the crashes and after the reaction to
        them; times of the event loop, in seconds.
    findings : Findings
        Receives the violations.
    """
    kind = kind_of(rule)
    earlier = served_fraction(environment, *before, lambda it: it.kind == kind)
    for name, is_counted in (
        ("sound requests", partial(is_sound, rule)),
        ("same path and caller", partial(is_neighbour, rule, True)),
        ("same path and body", partial(is_neighbour, rule, False)),
    ):
        served = served_fraction(environment, *after, is_counted)
        if served < MIN_SERVED_RATIO * earlier:
            detail = f"{served:.2f} of them were served, {earlier:.2f} before; {rule}"
            findings.add(f"{name} beside a crashing request", detail)


def is_same(rule: CrashingRequest, attempt: Attempt) -> bool:
    """Return whether an attempt is the crashing request."""
    sent = (attempt.workspace, attempt.target, attempt.sent_body)
    return sent == (rule.tenant, rule.target, rule.body)


def is_neighbour(rule: CrashingRequest, same_caller: bool, attempt: Attempt) -> bool:
    """Return whether an attempt shares the path, and either the caller or the body."""
    shares_caller = attempt.workspace == rule.tenant
    return (
        attempt.target == rule.target
        and shares_caller is same_caller
        and not is_same(rule, attempt)
    )


def is_sound(rule: CrashingRequest, attempt: Attempt) -> bool:
    """Return whether an attempt is another request of the route."""
    return attempt.kind == kind_of(rule) and attempt.target != rule.target
