"""
The state machine of a call's entry in the journal.

A call is claimed, then settled.  An abandoned call may be claimed again; an
unknown one may turn out to be done, or not to have run at all.  ``rerun`` claims
a call whose outcome is unknown; it is used only for pools whose endpoints
themselves execute each key at most once.

A call without an entry can be settled too: it was sent without a claim, or its
request withdrew before the claim was committed.
"""

from typing import Any

import attrs
from transitions import Machine, MachineError

from lentilhaven.core.invariants import ensure
from lentilhaven.idempotency.journal_entry import EntryState


@attrs.define
class EntryModel:
    """
    The model object on which the state machine runs.

    Attributes
    ----------
    state : str
        Value of an `EntryState`.
    """

    state: str


TRANSITIONS: list[Any] = [
    ["claim", ["absent", "abandoned"], "claimed"],
    ["rerun", ["claimed", "unknown"], "claimed"],
    ["settle_done", ["claimed", "unknown", "absent"], "done"],
    ["settle_done", "done", "done"],
    ["settle_unknown", ["claimed", "unknown", "absent"], "unknown"],
    ["settle_unknown", "done", "done"],
    ["settle_abandoned", ["absent", "claimed", "unknown", "abandoned"], "abandoned"],
]

MACHINE = Machine(
    model=None,
    states=[state.value for state in EntryState],
    initial="absent",
    transitions=TRANSITIONS,
    auto_transitions=False,
)


def next_state(state: EntryState, trigger: str) -> EntryState:
    """
    Return the state after a trigger.

    Parameters
    ----------
    state : EntryState
        The current state.
    trigger : str
        One of the triggers in `TRANSITIONS`.

    Raises
    ------
    InvariantError
        If the state machine has no such transition.

    Examples
    --------
    >>> next_state(EntryState.ABSENT, "claim")
    <EntryState.CLAIMED: 'claimed'>
    >>> next_state(EntryState.DONE, "claim")
    Traceback (most recent call last):
        ...
    lentilhaven.core.invariants.InvariantError: one-dispatch-a-key: claim from done
    """
    model = EntryModel(state.value)
    try:
        MACHINE.events[trigger].trigger(model)
    except MachineError:
        ensure(False, "one-dispatch-a-key", f"{trigger} from {state.value}")
    return EntryState(model.state)
