"""
Fair shares between workspaces, deadlines within each.

References
----------
P. Goyal, H. Vin, H. Cheng, "Start-Time Fair Queueing", 1996.
"""

from lentilhaven.limits.admission_state import AdmissionState
from lentilhaven.limits.ticket import Ticket

#: Part of the limit kept free for workspaces that run less than their share.
RESERVE = 0.1


def predict_fair_wait(state: AdmissionState, ticket: Ticket) -> float:
    """
    Return the seconds until a ticket would start.

    A workspace waits for its own backlog at its own share of the drain rate, or
    for the whole backlog at the whole rate, whichever is sooner.  A flood
    therefore lengthens only the wait of the workspace that sends it.

    Parameters
    ----------
    state : AdmissionState
        Requests in flight and in queue.
    ticket : Ticket
        The ticket, not yet in queue.
    """
    if not state.queues and may_start(state, ticket):
        return 0.0
    own = state.queued_tokens.get(ticket.workspace, 0.0) + ticket.tokens
    everyone = sum(state.queued_tokens.values()) + ticket.tokens
    share = ticket.weight / backlogged_weight(state, ticket)
    rate = state.drain_rate()
    return min(own / (share * rate), everyone / rate)


def backlogged_weight(state: AdmissionState, ticket: Ticket) -> float:
    """Return the weight of all workspaces with a queue, a ticket's included."""
    others = (
        queue[0].weight
        for workspace, queue in state.queues.items()
        if workspace != ticket.workspace
    )
    return ticket.weight + sum(others)


def pick_fairly(state: AdmissionState) -> Ticket | None:
    """
    Return the next ticket of the workspace that has been served least.

    Parameters
    ----------
    state : AdmissionState
        Requests in flight and in queue.
    """
    order = sorted(state.queues, key=lambda it: (state.start_tag(it), it))
    for workspace in order:
        ticket = state.queues[workspace][0]
        if may_start(state, ticket):
            return ticket
    return None


def may_start(state: AdmissionState, ticket: Ticket) -> bool:
    """Return whether the limit leaves room for a ticket now."""
    limit = state.limit.limit
    running = len(state.running)
    if running + 1 > limit:
        return False
    return running + 1 <= (1.0 - RESERVE) * limit or is_below_share(state, ticket)


def is_below_share(state: AdmissionState, ticket: Ticket) -> bool:
    """Return whether a workspace runs less than its share of what runs."""
    weights = {it.workspace: it.weight for it in state.running.values()}
    weights[ticket.workspace] = ticket.weight
    share = ticket.weight / sum(weights.values())
    own = state.running_by_workspace[ticket.workspace] + 1
    return own <= max(1.0, min(share, 1.0 - RESERVE) * state.limit.limit)
