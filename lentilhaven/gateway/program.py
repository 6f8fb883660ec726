"""Starts the gateway process, runs its background tasks and shuts it down."""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial

import attrs
import structlog

from lentilhaven.callers.connection_memory import connection_memory_limit
from lentilhaven.core.client_session import open_session
from lentilhaven.core.ids import VmId
from lentilhaven.core.logs import get_logger
from lentilhaven.core.tasks import keep_running, running_tasks
from lentilhaven.draining.signal_time import SignalTime
from lentilhaven.draining.stop_schedule import plan_stop
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.gateway.connection_factories import ConnectionFactories
from lentilhaven.gateway.crash_checks import note_gone
from lentilhaven.gateway.endpoint_links import (
    leaves_placement,
    probe_links,
    serving_other_gateways,
)
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.gateway_metrics import open_metrics_listener
from lentilhaven.gateway.listeners import (
    CallerListener,
    open_caller_listener,
    open_ready_listener,
)
from lentilhaven.gateway.pace_check import check_paces
from lentilhaven.gateway.peer_exchange import open_peer_exchange
from lentilhaven.gateway.peer_relay import catch_up, open_relay
from lentilhaven.gateway.store_check import check_store, read_all, refresh_digest
from lentilhaven.gateway.store_watch import (
    limit_calls,
    watch_manifest,
    watch_replicas,
)
from lentilhaven.gateway.suspect_check import check_suspects
from lentilhaven.leases.lease import Lease, open_lease
from lentilhaven.leases.lease_settings import LeaseSettings
from lentilhaven.objects.share import RateLimit
from lentilhaven.objects.token_bucket import TokenBucket
from lentilhaven.peering.subject import Incarnation
from lentilhaven.placement.placer import Placer
from lentilhaven.platform.settings import (
    PlatformSettings,
    SettingsFileError,
    read_settings,
)
from lentilhaven.platform.store_client import StoreClient, open_store_client
from lentilhaven.platform.store_kinds import LEASES
from lentilhaven.upstream.answer_memory import answer_memory_limit

#: Rate limit of one process's calls to the store, in calls per second, and maximum
#: burst, in calls; enough for a few watches and the renewals of a lease.
STORE_RATE = RateLimit(10.0, 40.0)

#: Seconds after which a call to the store times out.
STORE_TIMEOUT = 1.0

#: Times of the placement lease, in seconds.  A gateway reads the lease only while no
#: gateway that it hears from claims to hold it, so that a short `poll_interval` costs
#: few calls.  After the holder stops, its lease expires and is then observed for the
#: same time again, so that a take-over takes the sum of twice `duration`, `margin` and
#: twice `poll_interval`.
PLACEMENT_LEASE = LeaseSettings(
    duration=3.0, renewal_interval=1.0, margin=0.3, poll_interval=0.5
)

#: Seconds between two removals of the state of endpoints that are gone.
SWEEP_INTERVAL = 1.0

#: Seconds between two reads of the settings file.
SETTINGS_INTERVAL = 2.0

log = get_logger("gateway")


async def serve(
    settings: PlatformSettings, factories: ConnectionFactories | None = None
) -> None:
    """
    Run a gateway until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : PlatformSettings
        Settings of the process.
    factories : ConnectionFactories or None
        Factories of connections; None for those of the operating system.
    """
    structlog.contextvars.bind_contextvars(vm=settings.vm)
    gateway = Gateway(settings)
    stop_signal = SignalTime()
    stop_signal.watch((signal.SIGTERM, signal.SIGINT))
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload_settings, gateway)
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(open_ready_listener(gateway))
        await stack.enter_async_context(open_metrics_listener(gateway))
        # The callers' listener is opened last so that it closes first: the shutdown
        # of the background tasks must not keep a caller waiting.
        await stack.enter_async_context(running_background_tasks(gateway, factories))
        await stack.enter_async_context(
            running_tasks(keep_running(lambda: poll_settings(gateway)))
        )
        listener = await stack.enter_async_context(open_caller_listener(gateway))
        log.info("gateway started", callers=settings.callers)
        began = await stop_signal.wait()
        late_ms = round((loop.time() - began) * 1000, 1)
        log.info("gateway stopping", active=gateway.active, late_ms=late_ms)
        await drain(gateway, listener, began)
        log.info(
            "callers are served",
            active=gateway.active,
            connections=len(listener.http_server.connections),
        )
    log.info("gateway stopped", active=gateway.active)


def reload_settings(gateway: Gateway) -> None:
    """
    Read the settings file again and apply what has changed.

    Retry budgets follow the new settings; addresses in use stay as they are.  If the
    file can't be read, an error is logged and the old settings stay.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    """
    try:
        settings = read_settings()
    except SettingsFileError as error:
        log.error("settings can't be read; the old ones stay", detail=str(error))
        return
    changed = [
        name
        for name in attrs.fields_dict(PlatformSettings)
        if getattr(settings, name) != getattr(gateway.settings, name)
    ]
    if not changed:
        return
    gateway.settings = settings
    gateway.pool.memory.limit = answer_memory_limit(settings.memory)
    gateway.body_memory.limit = answer_memory_limit(settings.memory)
    gateway.connections.memory.limit = connection_memory_limit(settings.memory)
    for budget in gateway.budgets.values():
        budget.window = settings.budget_window
        budget.ratio = settings.budget_ratio
        budget.slack = settings.budget_slack
    log.info("settings reloaded", changed=changed)


async def poll_settings(gateway: Gateway) -> None:
    """Periodically read the settings file, which may change without a signal."""
    while True:
        await asyncio.sleep(SETTINGS_INTERVAL)
        reload_settings(gateway)


@asynccontextmanager
async def running_background_tasks(
    gateway: Gateway, factories: ConnectionFactories | None = None
) -> AsyncIterator[None]:
    """
    Run the tasks that follow the store and place layers.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    factories : ConnectionFactories or None
        Factories of connections; None for those of the operating system.
    """
    settings = gateway.settings
    factories = factories or ConnectionFactories()
    bucket = TokenBucket.full(gateway.clock, STORE_RATE)
    limit = limit_calls(bucket.reserve, STORE_TIMEOUT)
    async with AsyncExitStack() as stack:
        client = await stack.enter_async_context(
            open_store_client(
                settings.store,
                STORE_TIMEOUT,
                limit,
                factories.store_connector,
                note_era=lambda era: note_store_era(gateway, era),
            )
        )
        session = await stack.enter_async_context(
            open_session(connector=factories.connector())
        )
        gateway.session = session
        lease = await stack.enter_async_context(open_lease(make_lease(gateway, client)))
        gateway.holds_placement_lease = lambda: lease.fencing_number() is not None
        placer = Placer(
            gateway.view,
            session,
            lease.fencing_number,
            gateway.is_lost,
            gateway.accepts_new_work,
            gateway.note_head,
            monotonic=gateway.clock.monotonic,
        )
        exchange = await stack.enter_async_context(
            open_peer_exchange(gateway, factories.open_datagrams)
        )
        manifest_watch = watch_manifest(gateway, client)
        replica_watch = watch_replicas(gateway, client)
        read_manifest = partial(read_all, manifest_watch)
        await stack.enter_async_context(open_relay(gateway))
        await stack.enter_async_context(
            serving_other_gateways(gateway, factories.connect)
        )
        await stack.enter_async_context(
            running_tasks(
                *map(
                    keep_running,
                    (
                        exchange.run,
                        manifest_watch.follow,
                        replica_watch.follow,
                        lambda: check_store(gateway, manifest_watch, replica_watch),
                        lambda: catch_up(gateway, session, read_manifest),
                        lambda: refresh_digest(gateway),
                        placer.run,
                        lambda: gateway.queues.follow(gateway.view),
                        lambda: check_paces(gateway),
                        lambda: check_suspects(gateway),
                        lambda: probe_links(gateway),
                        lambda: sweep_endpoints(gateway),
                    ),
                )
            )
        )
        yield


def make_lease(gateway: Gateway, client: StoreClient) -> Lease:
    """Return the lease whose holder assigns layers to engines."""
    return Lease(
        client,
        f"{LEASES}/placement",
        VmId(gateway.settings.vm),
        f"{gateway.random.getrandbits(64):016x}",
        gateway.clock,
        PLACEMENT_LEASE,
        should_acquire=partial(wants_placement_lease, gateway),
        should_hold=lambda: not leaves_placement(gateway, gateway.clock.monotonic()),
        current_era=lambda: gateway.view.era.current,
    )


def wants_placement_lease(gateway: Gateway) -> bool:
    """Return whether this gateway should try to take the placement lease."""
    now = asyncio.get_running_loop().time()
    return gateway.wants_placement_lease() and not leaves_placement(gateway, now)


def note_store_era(gateway: Gateway, era: int) -> None:
    """Take note of the era that an answer of the store names."""
    if gateway.view.era.learn(era, "store"):
        gateway.urgent_signal.notify()


async def sweep_endpoints(gateway: Gateway) -> None:
    """Periodically remove connections and states of endpoints that are gone."""
    known: dict[Incarnation, Endpoint] = {}
    while True:
        await asyncio.sleep(SWEEP_INTERVAL)
        note_gone(gateway, known)
        known = {it.incarnation: it for it in gateway.view.endpoints.values()}
        live = set(known)
        gateway.pool.close_stale(live)
        gateway.endpoint_states.remove_gone(live)
        gateway.view.expire()


async def drain(
    gateway: Gateway, listener: CallerListener, began: float | None = None
) -> None:
    """
    Finish the requests in progress within the grace period.

    The readiness check fails from the start, while requests are still accepted until
    `StopSchedule.refuse_at`.  Then idle connections are closed, and new requests and
    those whose bodies are incomplete are refused, which also answers callers on
    connections that have just been used.  Other gateways, which need no time to notice,
    send no further requests through this one from the start.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    listener : CallerListener
        The listener for callers.
    began : float or None
        Event loop time since which the grace period runs, in seconds; None for now.
    """
    loop = asyncio.get_running_loop()
    gateway.leaving = True
    began = loop.time() if began is None else began
    stop = gateway.stop = plan_stop(began, gateway.settings.grace)
    gateway.intake_limits.set(stop.refuse_at)
    gateway.work_limits.set(stop.answer_at)
    gateway.retire_tunnels()
    await asyncio.sleep(stop.refuse_at - loop.time())
    gateway.refuses_requests = True
    await listener.stop()
    await listener.close_connections(stop.end_at)
    await gateway.request_finished.wait_until(
        lambda: not gateway.active and not gateway.tunnels, stop.end_at - loop.time()
    )
