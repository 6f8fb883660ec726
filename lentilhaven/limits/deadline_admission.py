"""
Fair queueing between workspaces, and earliest deadline first within each.

References
----------
P. Goyal, H. Vin, H. Cheng, "Start-Time Fair Queueing", 1996.
"""

import heapq

from lentilhaven.core.ids import WorkspaceId
from lentilhaven.limits.admission_request import AdmissionRequest
from lentilhaven.limits.admission_state import AdmissionState

#: Fraction of their shares of the limit that is reserved for workspaces with running
#: requests but without a queue.
RESERVE_FRACTION = 0.7

#: Minimum fraction of the limit that is reserved for workspaces below their share.
MIN_RESERVE_FRACTION = 0.1


def predict_fair_wait(state: AdmissionState, ticket: AdmissionRequest) -> float:
    """
    Return the predicted seconds until a request starts.

    A request waits until virtual time reaches its start tag, or until all queued
    requests are served, whichever is sooner.  A burst of requests therefore lengthens
    only the wait of the workspace that sends the burst.

    Parameters
    ----------
    state : AdmissionState
        Requests in flight and in queue.
    ticket : AdmissionRequest
        A request that is not queued yet.
    """
    if not state.queues and may_start(state, ticket):
        return 0.0
    rate = state.drain_rate()
    ahead = state.start_tag(ticket.workspace, ticket.weight) - state.virtual_time
    queued = state.queued_tokens.get(ticket.workspace, 0.0) / ticket.weight
    fair_backlog = max(0.0, ahead + queued) * backlogged_weight(state, ticket)
    total_backlog = sum(state.queued_tokens.values())
    return (min(fair_backlog, total_backlog) + ticket.tokens) / rate


def backlogged_weight(state: AdmissionState, ticket: AdmissionRequest) -> float:
    """Return the total weight of the request's workspace and others with a queue."""
    others = (
        queue[0].weight
        for workspace, queue in state.queues.items()
        if workspace != ticket.workspace
    )
    return ticket.weight + sum(others)


def pick_fairly(state: AdmissionState) -> AdmissionRequest | None:
    """
    Return the next request that may start, or None if there is none.

    Workspaces are considered by ascending start tag, the least served one first.

    Parameters
    ----------
    state : AdmissionState
        Requests in flight and in queue.
    """
    if len(state.running) + 1 > state.limit.limit:
        return None
    order = [
        (state.start_tag(workspace, queue[0].weight), workspace)
        for workspace, queue in state.queues.items()
    ]
    # Mostly the first workspace may start, so that the others need no sorting.
    heapq.heapify(order)
    while order:
        _, workspace = heapq.heappop(order)
        ticket = state.queues[workspace][0]
        if may_start(state, ticket):
            return ticket
    return None


def may_start(state: AdmissionState, ticket: AdmissionRequest) -> bool:
    """Return whether the limit and the reserve allow a request to start now."""
    limit = state.limit.limit
    running = len(state.running) + 1
    if running > limit:
        return False
    # One request may always run; otherwise a queue could wait forever.
    unreserved = max(1.0, limit - reserved_slots(state, ticket))
    return running <= unreserved or is_below_share(state, ticket)


def reserved_slots(state: AdmissionState, ticket: AdmissionRequest) -> float:
    """
    Return the part of the limit reserved for workspaces without a queue, in requests.

    While a few workspaces overload the pool, the reserve absorbs fluctuations in
    the demand of the others.  Once all active workspaces have a queue, only
    `MIN_RESERVE_FRACTION` of the limit is reserved.

    Parameters
    ----------
    state : AdmissionState
        Requests in flight and in queue.
    ticket : AdmissionRequest
        A request that competes for the unreserved part.
    """
    weights = active_weights(state, ticket)
    queued = {*state.queues, ticket.workspace}
    others = sum(it for name, it in weights.items() if name not in queued)
    fraction = RESERVE_FRACTION * others / sum(weights.values())
    return max(MIN_RESERVE_FRACTION, fraction) * state.limit.limit


def active_weights(
    state: AdmissionState, ticket: AdmissionRequest
) -> dict[WorkspaceId, float]:
    """Return the weight of the request's workspace and of each one with requests."""
    weights = {it.workspace: it.weight for it in state.running.values()}
    weights |= {name: queue[0].weight for name, queue in state.queues.items()}
    weights[ticket.workspace] = ticket.weight
    return weights


def is_below_share(state: AdmissionState, ticket: AdmissionRequest) -> bool:
    """
    Return whether a workspace runs, or has been served, less than its share.

    The number of requests in flight alone is not a sufficient criterion: for a
    workspace that demands less than its share, the number exceeds the share by chance
    now and then.  Past service alone would hold a workspace back even while no other
    workspace waits.

    Parameters
    ----------
    state : AdmissionState
        Requests in flight and in queue.
    ticket : AdmissionRequest
        A request of the workspace.
    """
    if state.start_tag(ticket.workspace, ticket.weight) < state.virtual_time:
        return True
    weights = active_weights(state, ticket)
    share = ticket.weight / sum(weights.values()) * state.limit.limit
    max_running = min(share, (1.0 - MIN_RESERVE_FRACTION) * state.limit.limit)
    return state.running_by_workspace[ticket.workspace] + 1 <= max_running
