"""Runs a VM's part in the journal."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from lentilhaven.core.clock import Clock
from lentilhaven.core.ids import VmId
from lentilhaven.idempotency.journal import open_journal
from lentilhaven.idempotency.journal_node import JournalNode
from lentilhaven.idempotency.journal_peers import JournalPeers
from lentilhaven.idempotency.write_budget import WriteBudget
from lentilhaven.objects.object_client import ObjectClient

#: Writes a second that one agent's journal may make in the long run.
WRITE_RATE = 40.0

#: Writes that one agent's journal may make at once after a pause.
WRITE_BURST = 40.0


@asynccontextmanager
async def open_journal_host(
    vm: VmId,
    client: ObjectClient,
    clock: Clock,
    peers: JournalPeers,
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
    peers : JournalPeers
        Where the other agents are, and how to ask them.
    """
    budget = WriteBudget(clock, WRITE_RATE, WRITE_BURST)
    async with open_journal(client, clock, budget) as journal:
        yield JournalNode(vm, journal, peers.forward, peers.live_vms, clock)
