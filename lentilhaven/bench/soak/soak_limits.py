"""Replicas that name the request rate that they take, and what they get."""

import asyncio
import math
from collections.abc import Iterable

import attrs

from lentilhaven.bench.soak.soak_checks import Findings
from lentilhaven.bench.soak.soak_environment import SoakEnvironment

#: Duration of a named limit, relative to that of other faults, in which it must be kept
#: only after `STABLE_TIME`.
DURATION_FACTOR = 4.0

#: Smallest and largest limit, in requests per second.
MIN_LIMIT, MAX_LIMIT = 0.5, 10.0

#: Seconds from the first answer that names a limit until it must be kept, and seconds
#: of any window in which a replica must not get more.
STABLE_TIME, WINDOW = 3.0, 4.0

#: Requests in a window that are allowed: relative to the limit, and in addition.
ALLOWED_FACTOR, ALLOWED_MORE = 1.5, 5

#: Seconds between two checks whether a replica still names its limit.
POLL_INTERVAL = 0.05


@attrs.frozen
class LimitSpan:
    """
    A time during which a replica has named a limit.

    Attributes
    ----------
    replica : str
        Id of the replica.
    rate : float
        The limit, in requests per second.
    began, ended : float
        Times of the event loop, in seconds.
    """

    replica: str
    rate: float
    began: float
    ended: float


async def name_limit(environment: SoakEnvironment, seconds: float) -> None:
    """Let a replica name a limit for some time, unless it starts again before."""
    random, loop = environment.random, asyncio.get_running_loop()
    replica = environment.fleet.replicas[random.choice([*environment.fleet.replicas])]
    if replica.named_limits:
        return
    rate = round(random.uniform(MIN_LIMIT, MAX_LIMIT), 2)
    limits = replica.named_limits = (str(rate),)
    began = loop.time()
    while replica.named_limits is limits:
        if loop.time() - began > DURATION_FACTOR * seconds:
            replica.named_limits = ()
            break
        await asyncio.sleep(POLL_INTERVAL)
    span = LimitSpan(replica.id, rate, began, loop.time())
    environment.limit_spans.append(span)


def check_limits(environment: SoakEnvironment, findings: Findings) -> None:
    """
    Check that replicas have got no more than the limits that they named.

    Excepted are limits during which a gateway was killed, terminated, suspended or cut
    off: it may not have heard of the limit, or of what the others send.

    Parameters
    ----------
    environment : SoakEnvironment
        Environment with the replicas and the limits that they named.
    findings : Findings
        Receives the violations.
    """
    for span in environment.limit_spans:
        if environment.is_disturbed(span.began, span.ended):
            continue
        replica = environment.fleet.replicas.get(span.replica)
        arrivals = replica.arrivals if replica is not None else []
        most = most_in_window(arrivals, span.began + STABLE_TIME, span.ended)
        if most > ALLOWED_FACTOR * span.rate * WINDOW + ALLOWED_MORE:
            findings.add(
                "named limit",
                f"{span.replica} named {span.rate} requests per second and got {most} "
                f"in {WINDOW} s",
            )


def most_in_window(
    arrivals: Iterable[float], since: float, until: float = math.inf
) -> int:
    """
    Return the largest number of arrivals within any `WINDOW` seconds.

    Examples
    --------
    >>> most_in_window([0.5, 1.0, 2.0, 6.0, 7.0], 1.0, 9.0)
    2
    """
    times = sorted(at for at in arrivals if since <= at <= until)
    return max(
        (sum(at <= other < at + WINDOW for other in times) for at in times), default=0
    )
