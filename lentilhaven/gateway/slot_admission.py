"""Slots of replicas for requests to plain services, through the service's queue."""

import asyncio
from collections.abc import Sequence

from lentilhaven.admission import Refusal
from lentilhaven.admission.service_queue import NOT_STARTED
from lentilhaven.admission.slots import free_slots
from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.gateway.call import Call
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.intake import with_current_terms
from lentilhaven.gateway.replica_choice import usable_replicas
from lentilhaven.limits.retry_time import retry_after
from lentilhaven.limits.waiting_queue import QueueEntry

#: Share of the target latency for which a request waits for a slot.  After that it is
#: sent to a replica, which queues or refuses it: what is known of other gateways is up
#: to 0.45 s old, and must not turn a request away that could be served.
SLOT_WAIT_SHARE = 0.3


async def wait_for_slot(gateway: Gateway, call: Call) -> Failure | None:
    """
    Wait until a replica has a free slot, in the order of the service's queue.

    There is no wait if the manifest orders nothing, or without a replica.

    Returns
    -------
    Failure or None
        Why the request must not be sent: the queue is full.
    """
    if not gateway.rules.is_ordered:
        return None
    now = asyncio.get_running_loop().time()

    def make_entry() -> tuple[QueueEntry, float]:
        terms = with_current_terms(gateway, call)
        due = call.arrived + terms.route.target_latency
        entry = QueueEntry(
            call.id, terms.priority, terms.workspace, 1.0, call.arrived, due
        )
        patience = SLOT_WAIT_SHARE * terms.route.target_latency
        return entry, min(terms.deadline, now + patience)

    def has_slot() -> bool | None:
        usable = usable_replicas(gateway, call.service, ())
        return True if not usable or with_free_slots(gateway, usable) else None

    queue = gateway.queues.of(call.service)
    entry, until = make_entry()
    found = await queue.wait(
        entry, has_slot, until=until, renew=make_entry, starts_anyway=True
    )
    if not isinstance(found, Refusal) or found is NOT_STARTED:
        return None
    left = call.deadline - asyncio.get_running_loop().time()
    pause = retry_after(found.wait, entry.priority, left, gateway.random)
    detail = f"requests to {call.service} wait: {found.cause}"
    return Failure(Step.ADMIT, "", "no-room", detail, retry_after=pause)


def with_free_slots(gateway: Gateway, replicas: Sequence[Endpoint]) -> list[Endpoint]:
    """Return the replicas that can begin a request at once and are available."""
    now = asyncio.get_running_loop().time()
    others = gateway.peers.load_of_others(now)
    found = []
    for replica in replicas:
        state = gateway.endpoint_states.of(replica)
        told = others.load_of(replica.id)[0]
        free = free_slots(replica.slots, state.requests, told, state.stated, now)
        if free > 0 and state.available(now):
            found.append(replica)
    return found


def prefer_free_slots(
    gateway: Gateway, replicas: Sequence[Endpoint]
) -> Sequence[Endpoint]:
    """Return those with free slots, or all if there is none or nothing is ordered."""
    if not gateway.rules.is_ordered:
        return replicas
    return with_free_slots(gateway, replicas) or replicas
