"""
Graceful shutdown of a router.

The VM says that it is not ready, goes on taking requests for as long as the
balancer needs to notice, then refuses new ones and waits for those in flight.
Only the limit or a second signal cuts a request off, with an error that says so.
"""

import asyncio

from lentilhaven.core.logs import get_logger
from lentilhaven.router.router import Router

#: Seconds between two looks at what is still being sent.
FLUSH_INTERVAL = 0.01

#: Seconds for which requests that are cut off may send their last error.
CUT_OFF_TIME = 1.0

#: Seconds for which a shutdown waits for settlements.
SETTLE_LIMIT = 10.0

log = get_logger("router")


async def drain(router: Router, hurry: asyncio.Event) -> int:
    """
    Stop taking requests and wait for those in flight.

    Parameters
    ----------
    router : Router
        The router.
    hurry : asyncio.Event
        Set to end the wait at once.

    Returns
    -------
    int
        Number of requests that were cut off.
    """
    log.info("shutdown has begun", in_flight=router.in_flight)
    router.leaving = True
    await wait_either(hurry, router.clock.sleep(router.settings.drain_delay))
    router.draining = True
    limit = router.settings.drain_limit
    try:
        async with asyncio.timeout(limit):
            await wait_either(hurry, wait_until_sent(router))
    except TimeoutError:
        log.error("requests are still in flight at the drain limit", limit=limit)
    cut = await cut_off_rest(router)
    await wait_either(hurry, router.settler.wait_settled(SETTLE_LIMIT))
    unsettled = len(router.settler.tasks)
    if unsettled:
        log.error("calls were left without a settlement", count=unsettled)
    log.info("shutdown is complete", cut_off=cut)
    return cut


async def wait_until_sent(router: Router) -> None:
    """Wait until nothing is in flight and every response has left this process."""
    await router.idle.wait()
    while any(is_sending(transport) for transport in list(router.transports)):
        await router.clock.sleep(FLUSH_INTERVAL)


def is_sending(transport: asyncio.Transport) -> bool:
    """Return whether a connection has bytes that the system has not taken yet."""
    return not transport.is_closing() and transport.get_write_buffer_size() > 0


async def cut_off_rest(router: Router) -> int:
    """Cut off what is in flight, report it, and return its number."""
    tasks = dict(router.requests)
    if not tasks:
        return 0
    router.cutting = True
    now = router.clock.monotonic()
    for task, record in tasks.items():
        log.error(
            "request was cut off",
            method=record.method,
            path=record.path,
            age=round(now - record.began, 3),
        )
        task.cancel()
    await asyncio.wait(tasks, timeout=CUT_OFF_TIME)
    return len(tasks)


async def wait_either(hurry: asyncio.Event, awaited) -> None:
    """Wait for `awaited` or for `hurry`, whichever comes first."""
    tasks = [asyncio.ensure_future(awaited), asyncio.create_task(hurry.wait())]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
