"""Reading the store although nothing seems to have changed."""

import asyncio

from lentilhaven.core.logs import get_logger
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.store_watching import KindWatch

#: Seconds after which some gateway reads the store again.  A watch that hears
#: nothing of a change ends too late, and a change must be in force within two
#: seconds; one gateway reads for all, since each call is paid for.
CHECK_INTERVAL = 0.7

#: Most seconds added at random, so that gateways do not read at the same time.
CHECK_SPREAD = 0.4

#: Seconds added in a large fleet for a gateway that does not follow the store: the
#: leaders read it, unless all of them are cut off.
MEMBER_PATIENCE = 0.9

#: Seconds after which the digest is made again even if nothing has changed.
DIGEST_INTERVAL = 1.0

log = get_logger("store")


async def check_store(
    gateway: Gateway, manifest: KindWatch, replicas: KindWatch
) -> None:
    """
    Read everything whenever no gateway has done so for a while.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    manifest, replicas : KindWatch
        What is read.
    """
    loop = asyncio.get_running_loop()
    while True:
        spread = gateway.random.uniform(0.0, CHECK_SPREAD)
        newest = max(gateway.checked_at, gateway.others_checked_at)
        if not gateway.reads_store(loop.time()):
            spread = 2 * spread + MEMBER_PATIENCE
        wait = newest + CHECK_INTERVAL + spread - loop.time()
        if wait > 0:
            await asyncio.sleep(wait)
            continue
        began = loop.time()
        if await read_all(manifest) and await read_all(replicas):
            gateway.checked_at = began
            gateway.urgent.notify()
        else:
            await asyncio.sleep(CHECK_INTERVAL)


async def read_all(watch: KindWatch) -> bool:
    """List all objects of a kind, and return whether the store has answered."""
    listing = await watch.client.list_kind(watch.kind)
    if listing.is_error():
        watch.note_loss(listing.error)
        return False
    watch.on_listing(listing.ok)
    return True


async def keep_digest(gateway: Gateway) -> None:
    """Renew the digest of the endpoints whenever they change, for ever."""
    while True:
        gateway.digest = gateway.view.digest()
        await wait_for_change(gateway)


async def wait_for_change(gateway: Gateway) -> None:
    """Wait until the endpoints change, but not for long."""
    view = gateway.view
    seen = view.endpoints_revision

    def changed() -> bool:
        return view.endpoints_revision != seen

    await view.changed.wait_until(changed, DIGEST_INTERVAL)
