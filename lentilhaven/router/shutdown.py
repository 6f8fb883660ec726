"""
Graceful shutdown of a router.

The router reports that it is not ready, but accepts requests for `drain_delay`
seconds, so that the load balancer can notice.  It then refuses new requests, also
those whose bodies are incomplete, and waits for those in flight.  Requests are cut off
only at the drain limit or on a second signal, and their callers receive an error that
says so.
"""

import asyncio

from lentilhaven.core.logs import get_logger
from lentilhaven.router.router import Router

#: Seconds between two checks for unsent data.
FLUSH_POLL_INTERVAL = 0.01

#: Seconds that cut-off requests get to send their error to the caller.
CUT_OFF_TIMEOUT = 1.0

#: Maximum seconds that a shutdown waits for settlements to be confirmed.
SETTLEMENT_TIMEOUT = 10.0

log = get_logger("router")


async def drain(router: Router, force_stop: asyncio.Event) -> int:
    """
    Stop accepting requests, wait for those in flight and for unsettled calls.

    Parameters
    ----------
    router : Router
        Router to shut down.
    force_stop : asyncio.Event
        Once set, ends each wait at once, so that requests in flight are cut off.

    Returns
    -------
    int
        Number of requests that were cut off.
    """
    log.info("shutdown has begun", in_flight=router.in_flight)
    router.leaving = True
    await wait_unless_forced(
        force_stop, router.clock.sleep(router.settings.drain_delay)
    )
    router.draining = True
    router.intake_limits.set(asyncio.get_running_loop().time())
    limit = router.settings.drain_limit
    try:
        async with asyncio.timeout(limit):
            await wait_unless_forced(force_stop, wait_until_flushed(router))
    except TimeoutError:
        log.error("requests are still in flight at the drain limit", limit=limit)
    cut_off_count = await cut_off_requests(router)
    await wait_unless_forced(
        force_stop, router.settler.wait_settled(SETTLEMENT_TIMEOUT)
    )
    unsettled = len(router.settler.tasks)
    if unsettled:
        log.error("calls were left without a settlement", count=unsettled)
    log.info("shutdown is complete", cut_off=cut_off_count)
    return cut_off_count


async def wait_until_flushed(router: Router) -> None:
    """Wait until no request is in flight and all responses have been sent."""
    await router.idle.wait()
    while any(has_unsent_data(transport) for transport in list(router.transports)):
        await router.clock.sleep(FLUSH_POLL_INTERVAL)


def has_unsent_data(transport: asyncio.Transport) -> bool:
    """Return whether an open connection has data that the system has not accepted."""
    return not transport.is_closing() and transport.get_write_buffer_size() > 0


async def cut_off_requests(router: Router) -> int:
    """Cancel and log all requests in flight, and return their number."""
    tasks = dict(router.requests)
    if not tasks:
        return 0
    router.cutting_off = True
    now = router.clock.monotonic()
    for task, record in tasks.items():
        log.error(
            "request was cut off",
            method=record.method,
            path=record.path,
            age=round(now - record.started_at, 3),
        )
        task.cancel()
    await asyncio.wait(tasks, timeout=CUT_OFF_TIMEOUT)
    return len(tasks)


async def wait_unless_forced(force_stop: asyncio.Event, awaitable) -> None:
    """Wait for `awaitable`, and cancel it once `force_stop` is set."""
    tasks = [asyncio.ensure_future(awaitable), asyncio.create_task(force_stop.wait())]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
