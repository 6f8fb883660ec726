"""Phase of a round in which a part of the prompt crashes engines, and its check."""

import asyncio
from collections.abc import Callable

from lentilhaven.bench.soak.soak_callers import Attempt
from lentilhaven.bench.soak.soak_checks import Findings
from lentilhaven.bench.soak.soak_environment import SoakEnvironment
from lentilhaven.bench.soak.soak_replica_faults import crashing_part

#: Number of crashes after which gateways must know the part.
CRASHES = 5

#: Maximum seconds until these crashes.
MAX_CRASH_TIME = 6.0

#: Seconds after these crashes from which on gateways must keep the part from engines.
REACTION_TIME = 3.0

#: Maximum number of requests with the part that reach engines from then on.
MAX_ARRIVALS = 3

#: Seconds for which requests are counted before and after.
COUNTED_TIME = 5.0

#: Minimum ratio of the served fractions of sound requests after and before.
MIN_SERVED_RATIO = 0.5


async def crash_on_part(
    environment: SoakEnvironment, before: tuple[float, float], findings: Findings
) -> None:
    """
    Let engines crash on a part of the prompt; check that gateways contain it.

    Parameters
    ----------
    environment : SoakEnvironment
        Environment with the callers and engines.
    before : tuple of (float, float)
        Begin and end of a period without faults; times of the event loop, in seconds.
    findings : Findings
        Receives the violations.
    """
    loop = asyncio.get_running_loop()
    fleet = environment.fleet
    fleet.crashing_arrivals.clear()
    began = loop.time()
    with crashing_part(environment):
        await wait_for_crashes(environment, began, CRASHES)
        since = loop.time() + REACTION_TIME
        await asyncio.sleep(REACTION_TIME + COUNTED_TIME)
        until = loop.time()
        # Time for the last of the counted requests to end.
        await asyncio.sleep(1.0)
    check_crashing_part(environment, before, (since, until), findings)


def check_crashing_part(
    environment: SoakEnvironment,
    before: tuple[float, float],
    after: tuple[float, float],
    findings: Findings,
) -> None:
    """
    Check that few requests with a crashing part reach engines, and others are served.

    Parameters
    ----------
    environment : SoakEnvironment
        Environment with the callers and engines.
    before, after : tuple of (float, float)
        Begin and end of the periods before the crashes and after the reaction to
        them; times of the event loop, in seconds.
    findings : Findings
        Receives the violations.
    """
    arrivals = environment.fleet.crashing_arrivals
    late_count = sum(it >= after[0] for it in arrivals)
    if late_count > MAX_ARRIVALS:
        detail = (
            f"{late_count} of {len(arrivals)} requests with it reached engines late"
        )
        findings.add("crashing part", detail)
    served = served_fraction(environment, *after, is_sound_stream)
    earlier = served_fraction(environment, *before, is_sound_stream)
    if served < MIN_SERVED_RATIO * earlier:
        detail = f"{served:.2f} of them were served, {earlier:.2f} before"
        findings.add("sound requests beside a crashing part", detail)


def crash_times(environment: SoakEnvironment, began: float) -> list[float]:
    """Return the times of the crashes since a time, in ascending order."""
    replicas = environment.fleet.replicas.values()
    return sorted(time for it in replicas for time in it.crashes if time >= began)


async def wait_for_crashes(
    environment: SoakEnvironment, began: float, count: int
) -> None:
    """Wait for some crashes since a time, or for `MAX_CRASH_TIME`."""
    for _ in range(int(MAX_CRASH_TIME / 0.05)):
        if len(crash_times(environment, began)) >= count:
            return
        await asyncio.sleep(0.05)


def served_fraction(
    environment: SoakEnvironment,
    begin: float,
    end: float,
    is_counted: Callable[[Attempt], bool],
) -> float:
    """Return the served fraction of some of the attempts between two times."""
    counted = [
        it
        for it in environment.callers.attempts
        if begin <= it.began < end and it.reached and is_counted(it)
    ]
    return sum(it.served for it in counted) / max(1, len(counted))


def is_sound_stream(attempt: Attempt) -> bool:
    """Return whether an attempt is a stream without the part that crashes engines."""
    # Faulty prompts have a further part between the shared one and their own.
    return bool(attempt.events) and attempt.prompt.count(",") == 1
