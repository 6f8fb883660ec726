"""
The state machine of a non-idempotent call in the router that dispatches it.

The right to dispatch is bound to one request id, which lives in one router's
memory and in no other place.  However often a claim is sent, granted or granted
late, this machine lets the call out once, and never after it was given up.
"""

from typing import Any

import attrs
from transitions import Machine, MachineError

from lentilhaven.control.claim import ClaimRequest, SettleOutcome
from lentilhaven.core.invariants import ensure
from lentilhaven.core.ran import Ran

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

SETTLEMENTS = {
    "done": SettleOutcome.DONE,
    "uncertain": SettleOutcome.UNKNOWN,
    "sent": SettleOutcome.UNKNOWN,
    "not-run": SettleOutcome.ABANDONED,
}

RAN = {"done": Ran.YES, "uncertain": Ran.UNKNOWN, "sent": Ran.UNKNOWN}


@attrs.define
class GuardedCall:
    """
    One attempt at a non-idempotent call.

    Attributes
    ----------
    claim : ClaimRequest
        What is claimed.
    state : str
        One of the states above.
    sends : int
        Number of times that the call was let out.

    Examples
    --------
    >>> call = GuardedCall(ClaimRequest("w", "r", "k", "f", "q"))
    >>> call.move("give_up")
    >>> call.ran
    <Ran.NO: 'no'>
    >>> call.move("grant")
    Traceback (most recent call last):
        ...
    lentilhaven.core.invariants.InvariantError: guarded-call: grant from not-run
    """

    claim: ClaimRequest
    state: str = "claiming"
    sends: int = 0

    def move(self, trigger: str) -> None:
        """
        Move on, or raise if the machine has no such transition.

        Parameters
        ----------
        trigger : str
            One of the triggers above.

        Raises
        ------
        InvariantError
            If the call may not move in this way.
        """
        before = self.state
        try:
            MACHINE.events[trigger].trigger(self)
        except MachineError:
            ensure(False, "guarded-call", f"{trigger} from {before}")

    def let_out(self) -> None:
        """
        Count a dispatch; only endpoints that check keys may get a second one.

        Raises
        ------
        InvariantError
            If no claim is confirmed, or the call was let out before.
        """
        self.move("send" if self.sends == 0 else "send_again")
        self.sends += 1
        once = self.sends == 1 or self.claim.rerun_unknown
        ensure(once, "one-dispatch-a-claim", self.claim.request)

    def take_back(self) -> None:
        """Forget a dispatch of which it is proved that it did not and won't run."""
        self.move("take_back")
        self.sends -= 1

    def trust_endpoints(self) -> None:
        """
        Go on without a claim, where the endpoints run a key at most once.

        Raises
        ------
        InvariantError
            If the endpoints do not check keys.
        """
        checked = self.claim.rerun_unknown
        ensure(checked, "dispatch-after-claim", self.claim.request)
        self.move("trust_endpoints")

    @property
    def ran(self) -> Ran:
        """Return what is known of the execution."""
        return RAN.get(self.state, Ran.NO)

    @property
    def settlement(self) -> SettleOutcome:
        """Return how the call is to be settled."""
        return SETTLEMENTS[self.state]
