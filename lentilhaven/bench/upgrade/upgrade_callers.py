"""Callers of gateways that are replaced."""

import asyncio
import math

from lentilhaven.bench.soak.kept_connection import open_connection
from lentilhaven.bench.soak.soak_callers import MAX_PAUSE, SoakCallers

#: Mean seconds between the requests of one caller.
MEAN_PAUSE = 0.1

#: Number of requests to another gateway after which a caller tries its own again.
AWAY_REQUESTS = 10


async def send_requests(
    callers: SoakCallers, home: int, max_idle: float, stopping: asyncio.Event
) -> None:
    """
    Send requests in sequence until an event, and wait for the last response.

    While a gateway is unreachable, requests are sent to the next one.

    Parameters
    ----------
    callers : SoakCallers
        Records the requests.
    home : int
        Index of the gateway to which the requests are sent while it is reachable.
    max_idle : float
        Seconds for which an idle connection is kept; 0 for a new connection for each
        request.
    stopping : asyncio.Event
        Set when no further request is to be sent.
    """
    gateway = home
    while not stopping.is_set():
        max_requests = math.inf if gateway == home else AWAY_REQUESTS
        sent = 0
        async with open_connection(callers.addresses[gateway], max_idle) as connection:
            is_reached = True
            while is_reached and sent < max_requests and not stopping.is_set():
                attempt = callers.draw_attempt(gateway, has_faulty_prompts=False)
                retry_after = await callers.send_request(connection, attempt)
                is_reached = attempt.reached
                sent += 1
                pause = callers.random.expovariate(1 / MEAN_PAUSE)
                await asyncio.sleep(max(pause, min(retry_after, MAX_PAUSE)))
        gateway = home if is_reached else (gateway + 1) % len(callers.addresses)
