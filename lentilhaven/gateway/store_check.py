"""Periodic full reads of the store, in case a watch misses a change."""

import asyncio

from lentilhaven.core.logs import get_logger
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.store_watch import KindWatch

#: Seconds from the last full read by any gateway to the next one.  A change must take
#: effect within two seconds, and a watch that misses a change times out much later.
#: One gateway reads for all, since each call is billed.
CHECK_INTERVAL = 0.7

#: Maximum random delay, in seconds, so that gateways do not read at the same time.
CHECK_JITTER = 0.4

#: Seconds of further delay in a large fleet for a gateway that does not follow the
#: store: the leaders read it, unless all of them are cut off from the store.
FOLLOWER_DELAY = 0.9

#: Seconds after which the digest is computed again even if nothing has changed.
DIGEST_INTERVAL = 1.0

log = get_logger("store")


async def check_store(
    gateway: Gateway, manifest: KindWatch, replicas: KindWatch
) -> None:
    """
    Read the store in full whenever no gateway has done so recently, until cancelled.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    manifest, replicas : KindWatch
        Watches of the kinds that are read.
    """
    loop = asyncio.get_running_loop()
    while True:
        delay = gateway.random.uniform(0.0, CHECK_JITTER)
        newest = max(gateway.store_read_at, gateway.peers_store_read_at)
        if not gateway.reads_store(loop.time()):
            delay = 2 * delay + FOLLOWER_DELAY
        wait = newest + CHECK_INTERVAL + delay - loop.time()
        if wait > 0:
            await asyncio.sleep(wait)
            continue
        began = loop.time()
        if await read_all(manifest) and await read_all(replicas):
            gateway.store_read_at = began
            gateway.urgent_signal.notify()
        else:
            await asyncio.sleep(CHECK_INTERVAL)


async def read_all(watch: KindWatch) -> bool:
    """List and apply all objects of a kind; return whether the store answered."""
    listing = await watch.client.list_kind(watch.kind)
    if listing.is_error():
        watch.note_failure(listing.error)
        return False
    watch.on_listing(listing.ok)
    return True


async def refresh_digest(gateway: Gateway) -> None:
    """Recompute the digest of the endpoints whenever they change, until cancelled."""
    while True:
        gateway.digest = gateway.view.digest()
        await wait_for_change(gateway)


async def wait_for_change(gateway: Gateway) -> None:
    """Wait until the endpoints change, for at most `DIGEST_INTERVAL` seconds."""
    view = gateway.view
    seen = view.endpoints_position

    def changed() -> bool:
        return view.endpoints_position != seen

    await view.changed.wait_until(changed, DIGEST_INTERVAL)
