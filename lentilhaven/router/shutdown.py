"""Graceful shutdown of a router."""

import asyncio

from lentilhaven.core.logs import get_logger
from lentilhaven.router.router import Router

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
    router.leaving = True
    await wait_either(hurry, router.clock.sleep(router.settings.drain_delay))
    router.draining = True
    limit = router.settings.drain_limit
    try:
        async with asyncio.timeout(limit):
            await wait_either(hurry, router.idle.wait())
    except TimeoutError:
        log.error("requests are still in flight at the drain limit", limit=limit)
    unsettled = await router.settler.wait_settled(SETTLE_LIMIT)
    if unsettled:
        log.error("calls were left without a settlement", count=unsettled)
    if router.in_flight:
        log.error("requests were cut off", count=router.in_flight)
    return router.in_flight


async def wait_either(hurry: asyncio.Event, awaited) -> None:
    """Wait for `awaited` or for `hurry`, whichever comes first."""
    tasks = [asyncio.ensure_future(awaited), asyncio.create_task(hurry.wait())]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
