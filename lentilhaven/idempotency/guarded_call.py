"""
The state machine of a non-idempotent call in the router that dispatches it.

The right to dispatch is bound to one request id, which exists only in the memory
of one router.  However often a claim is sent or granted, and however late, this
machine allows the call to be sent once, and never after it was given up.  Only
endpoints that *check keys*, that is, execute each key at most once, may be sent a
call again that may have run.
"""

from typing import Any

import attrs
from transitions import Machine, MachineError

from lentilhaven.control.claim import ClaimRequest, SettleOutcome
from lentilhaven.core.invariants import ensure
from lentilhaven.core.ran import Ran

#: ``uncertain`` means that the call was sent and may have run, ``not-run`` that it
#: did not run and will not run later.
STATES = ["claiming", "granted", "sent", "done", "uncertain", "not-run"]

TRANSITIONS: list[Any] = [
    ["grant", "claiming", "granted"],
    ["give_up", ["claiming", "granted"], "not-run"],
    ["trust_endpoints", "claiming", "granted"],
    ["send", "granted", "sent"],
    ["take_back", "sent", "granted"],
    ["send_again", ["sent", "uncertain"], "sent"],
    ["finish", ["sent", "uncertain"], "done"],
    ["lose", "sent", "uncertain"],
    ["disprove", ["sent", "uncertain"], "not-run"],
]

MACHINE = Machine(
    model=None,
    states=STATES,
    initial="claiming",
    transitions=TRANSITIONS,
    auto_transitions=False,
)

SETTLEMENT_BY_STATE = {
    "done": SettleOutcome.DONE,
    "uncertain": SettleOutcome.UNKNOWN,
    "sent": SettleOutcome.UNKNOWN,
    "not-run": SettleOutcome.ABANDONED,
}

RAN_BY_STATE = {"done": Ran.YES, "uncertain": Ran.UNKNOWN, "sent": Ran.UNKNOWN}


@attrs.define
class GuardedCall:
    """
    One attempt at a non-idempotent call.

    Attributes
    ----------
    claim : ClaimRequest
        The claim on the call.
    state : str
        One of `STATES`.
    sends : int
        Number of times that the call was sent, except sends that were taken back.

    Examples
    --------
    >>> call = GuardedCall(ClaimRequest("w", "r", "k", "f", "q"))
    >>> call.apply_trigger("give_up")
    >>> call.ran
    <Ran.NO: 'no'>
    >>> call.apply_trigger("grant")
    Traceback (most recent call last):
        ...
    lentilhaven.core.invariants.InvariantError: guarded-call: grant from not-run
    """

    claim: ClaimRequest
    state: str = "claiming"
    sends: int = 0

    def apply_trigger(self, trigger: str) -> None:
        """
        Apply a trigger to the state machine.

        Parameters
        ----------
        trigger : str
            One of the triggers in `TRANSITIONS`.

        Raises
        ------
        InvariantError
            If the state machine has no such transition.
        """
        before = self.state
        try:
            MACHINE.events[trigger].trigger(self)
        except MachineError:
            ensure(False, "guarded-call", f"{trigger} from {before}")

    def let_out(self) -> None:
        """
        Record a send; only endpoints that check keys may receive a second one.

        Raises
        ------
        InvariantError
            If the state allows no send, or if the call was sent before and the
            endpoints do not check keys.
        """
        self.apply_trigger("send" if self.sends == 0 else "send_again")
        self.sends += 1
        allowed = self.sends == 1 or self.claim.rerun_unknown
        ensure(allowed, "one-dispatch-a-claim", self.claim.request)

    def take_back(self) -> None:
        """Undo a send that is proven not to have run and not to run later."""
        self.apply_trigger("take_back")
        self.sends -= 1

    def trust_endpoints(self) -> None:
        """
        Proceed without a claim if the endpoints execute each key at most once.

        Raises
        ------
        InvariantError
            If the endpoints do not check keys.
        """
        checks_keys = self.claim.rerun_unknown
        ensure(checks_keys, "dispatch-after-claim", self.claim.request)
        self.apply_trigger("trust_endpoints")

    @property
    def ran(self) -> Ran:
        """Return whether the call was executed, as far as known."""
        return RAN_BY_STATE.get(self.state, Ran.NO)

    @property
    def settlement(self) -> SettleOutcome:
        """Return the outcome with which to settle a call that was sent or given up."""
        return SETTLEMENT_BY_STATE[self.state]
