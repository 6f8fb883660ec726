"""Runs a VM's part in the journal."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp

from lentilhaven.core.clock import Clock
from lentilhaven.core.ids import VmId
from lentilhaven.core.logs import get_logger
from lentilhaven.core.tasks import running_tasks
from lentilhaven.idempotency.journal import open_journal
from lentilhaven.idempotency.journal_node import JournalNode
from lentilhaven.idempotency.journal_peers import JournalPeers
from lentilhaven.idempotency.write_budget import WriteBudget
from lentilhaven.platform.object_client import ObjectClient

#: Writes a second that one agent's journal may make in the long run.
WRITE_RATE = 40.0

#: Writes that one agent's journal may make at once after a pause.
WRITE_BURST = 40.0

#: Seconds between two reads of the list of VMs.
VM_LIST_INTERVAL = 2.0

log = get_logger("idempotency")


async def follow_vms(peers: JournalPeers, client: ObjectClient, clock: Clock) -> None:
    """
    Keep the addresses of the other agents up to date, for ever.

    Parameters
    ----------
    peers : JournalPeers
        Holds the addresses.
    client : ObjectClient
        The platform.
    clock : Clock
        Source of time.
    """
    while True:
        listed = await client.list_vms()
        if listed.is_ok():
            peers.addresses = {vm.id: vm.address for vm in listed.ok}
        await clock.sleep(VM_LIST_INTERVAL)


@asynccontextmanager
async def open_journal_host(
    vm: VmId,
    client: ObjectClient,
    clock: Clock,
    token: str,
    connector: aiohttp.BaseConnector | None = None,
) -> AsyncIterator[JournalNode]:
    """
    Run a VM's part in the journal until the context ends.

    Parameters
    ----------
    vm : str
        This VM.
    client : ObjectClient
        The platform.
    clock : Clock
        Source of time.
    token : str
        The cluster's token.
    connector : aiohttp.BaseConnector or None
        Replaces the TCP connector, for virtual time.
    """
    budget = WriteBudget(clock, WRITE_RATE, WRITE_BURST)
    async with (
        aiohttp.ClientSession(connector=connector) as session,
        open_journal(client, clock, budget) as journal,
    ):
        peers = JournalPeers(session, token)
        node = JournalNode(vm, journal, peers.forward, peers.live_vms, clock)
        async with running_tasks(follow_vms(peers, client, clock)):
            yield node
