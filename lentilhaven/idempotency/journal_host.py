"""Runs a VM's `JournalNode` with a limit on the rate of its writes."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from lentilhaven.core.clock import Clock
from lentilhaven.core.ids import VmId
from lentilhaven.idempotency.journal import open_journal
from lentilhaven.idempotency.journal_node import JournalNode
from lentilhaven.idempotency.journal_peers import JournalPeers
from lentilhaven.idempotency.write_budget import WriteBudget
from lentilhaven.objects.object_client import ObjectClient

#: Sustained rate of one agent's journal writes for keys that contain no time, in
#: writes per second.
WRITE_RATE = 40.0

#: Number of writes for such keys that one agent's journal may make in a burst.
WRITE_BURST = 40.0


@asynccontextmanager
async def open_journal_host(
    vm: VmId,
    client: ObjectClient,
    clock: Clock,
    peers: JournalPeers,
) -> AsyncIterator[JournalNode]:
    """
    Run the journal node of a VM until the context ends.

    Parameters
    ----------
    vm : str
        This VM.
    client : ObjectClient
        Client of the platform's object store.
    clock : Clock
        Source of time.
    peers : JournalPeers
        Client for the agents of the other VMs.
    """
    budget = WriteBudget(clock, WRITE_RATE, WRITE_BURST)
    async with open_journal(client, clock, budget) as journal:
        yield JournalNode(vm, journal, peers.forward, peers.live_vms, clock)
