"""
Fair shares between workspaces, deadlines within each.

References
----------
P. Goyal, H. Vin, H. Cheng, "Start-Time Fair Queueing", 1996.
"""

from lentilhaven.core.ids import WorkspaceId
from lentilhaven.limits.admission_state import AdmissionState
from lentilhaven.limits.ticket import Ticket

#: Part of the shares of workspaces without a queue that is kept free for them.
RESERVE_PART = 0.7

#: Least part of the limit that is kept free for workspaces below their share.
LEAST_RESERVE = 0.1


def predict_fair_wait(state: AdmissionState, ticket: Ticket) -> float:
    """
    Return the seconds until a ticket would start.

    A workspace waits until virtual time has come to its own turn, or for the
    whole backlog, whichever is sooner.  A flood therefore lengthens only the
    wait of the workspace that sends it.

    Parameters
    ----------
    state : AdmissionState
        Requests in flight and in queue.
    ticket : Ticket
        The ticket, not yet in queue.
    """
    if not state.queues and may_start(state, ticket):
        return 0.0
    rate = state.drain_rate()
    ahead = state.start_tag(ticket.workspace, ticket.weight) - state.virtual_time
    own = state.queued_tokens.get(ticket.workspace, 0.0) / ticket.weight
    turn = max(0.0, ahead + own) * backlogged_weight(state, ticket)
    everyone = sum(state.queued_tokens.values())
    return (min(turn, everyone) + ticket.tokens) / rate


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

    def start_tag(workspace: WorkspaceId) -> float:
        return state.start_tag(workspace, state.queues[workspace][0].weight)

    order = sorted(state.queues, key=lambda it: (start_tag(it), it))
    for workspace in order:
        ticket = state.queues[workspace][0]
        if may_start(state, ticket):
            return ticket
    return None


def may_start(state: AdmissionState, ticket: Ticket) -> bool:
    """Return whether the limit leaves room for a ticket now."""
    limit = state.limit.limit
    running = len(state.running) + 1
    if running > limit:
        return False
    # One request may always run, or a queue could wait for ever.
    free = max(1.0, limit - reserve(state, ticket))
    return running <= free or is_below_share(state, ticket)


def reserve(state: AdmissionState, ticket: Ticket) -> float:
    """
    Return how many requests are kept free for workspaces without a queue.

    While a few workspaces flood, the others keep room for the ups and downs of
    what they ask for; once everybody queues, little is kept.

    Parameters
    ----------
    state : AdmissionState
        Requests in flight and in queue.
    ticket : Ticket
        A ticket that asks for what is not kept.
    """
    weights = active_weights(state, ticket)
    queued = {*state.queues, ticket.workspace}
    others = sum(it for name, it in weights.items() if name not in queued)
    kept = RESERVE_PART * others / sum(weights.values())
    return max(LEAST_RESERVE, kept) * state.limit.limit


def active_weights(state: AdmissionState, ticket: Ticket) -> dict[WorkspaceId, float]:
    """Return the weight of each workspace that runs, waits or asks."""
    weights = {it.workspace: it.weight for it in state.running.values()}
    weights |= {name: queue[0].weight for name, queue in state.queues.items()}
    weights[ticket.workspace] = ticket.weight
    return weights


def is_below_share(state: AdmissionState, ticket: Ticket) -> bool:
    """
    Return whether a workspace runs, or has been served, less than its share.

    Requests in flight alone would not tell: those of a workspace that asks for
    less than its share exceed that share by chance now and then.  Service alone
    would hold somebody back even while nobody waits.

    Parameters
    ----------
    state : AdmissionState
        Requests in flight and in queue.
    ticket : Ticket
        A ticket of the workspace.
    """
    if state.start_tag(ticket.workspace, ticket.weight) < state.virtual_time:
        return True
    weights = active_weights(state, ticket)
    share = ticket.weight / sum(weights.values()) * state.limit.limit
    most = min(share, (1.0 - LEAST_RESERVE) * state.limit.limit)
    return state.running_by_workspace[ticket.workspace] + 1 <= most
