"""The circuit of one endpoint."""

import random

import attrs
from transitions import Machine

from lentilhaven.retries.backoff import jittered_delay

CLOSED = "closed"
OPEN = "open"
HALF_OPEN = "half_open"

#: Failures in a row that open a closed circuit.
FAILURE_LIMIT = 3

#: Upper bound of the first time that a circuit stays open, in seconds.
FIRST_OPEN = 1.0

#: Upper bound of the time that a circuit stays open, in seconds.
LONGEST_OPEN = 30.0


@attrs.define(slots=False, eq=False)
class Circuit:
    """
    Whether an endpoint may get new work after failures.

    A closed circuit passes everything.  An open one passes nothing until
    `retry_at`.  A half-open one passes one request at a time.

    Attributes
    ----------
    failures : int
        Failures since the last success.
    openings : int
        Times that it opened since the last success.
    retry_at : float
        Monotonic time at which an open circuit lets a trial pass, in seconds.
    state : str
        ``"closed"``, ``"open"`` or ``"half_open"``; set by `machine`.
    machine : transitions.Machine
        The allowed changes of state.

    Examples
    --------
    >>> import random
    >>> circuit = Circuit()
    >>> circuit.record_failure(0.0, random.Random(1), proven=True)
    >>> circuit.allows(0.0, in_flight=0), circuit.allows(60.0, in_flight=0)
    (False, True)
    """

    failures: int = 0
    openings: int = 0
    retry_at: float = 0.0
    state: str = attrs.field(init=False, default=CLOSED)
    machine: Machine = attrs.field(init=False, repr=False)

    def __attrs_post_init__(self) -> None:
        """Bind a machine to this circuit."""
        states = [CLOSED, OPEN, HALF_OPEN]
        self.machine = Machine(self, states, CLOSED, auto_transitions=False)
        self.machine.add_transition("trip", [CLOSED, HALF_OPEN], OPEN)
        self.machine.add_transition("admit_trial", OPEN, HALF_OPEN)
        self.machine.add_transition("close", [CLOSED, HALF_OPEN, OPEN], CLOSED)

    def fire(self, event: str) -> None:
        """Change the state as the machine allows."""
        self.machine.events[event].trigger(self)

    def allows(self, now: float, in_flight: int) -> bool:
        """
        Return whether a request may be sent now.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        in_flight : int
            Requests of this process at the endpoint.
        """
        if self.state == CLOSED:
            return True
        if self.state == OPEN and now < self.retry_at:
            return False
        return in_flight == 0

    def record_success(self) -> None:
        """Close the circuit."""
        self.failures = 0
        self.openings = 0
        self.fire("close")

    def record_failure(
        self, now: float, random: random.Random, proven: bool = False
    ) -> None:
        """
        Count a failure and open the circuit if it is one too many.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        random : random.Random
            Source of chance.
        proven : bool
            Whether the endpoint is known to be unreachable.
        """
        if self.state == OPEN and now >= self.retry_at:
            self.fire("admit_trial")
        self.failures += 1
        if self.state == OPEN:
            return
        if not proven and self.state == CLOSED and self.failures < FAILURE_LIMIT:
            return
        self.openings += 1
        half = jittered_delay(self.openings, random, FIRST_OPEN / 2, LONGEST_OPEN / 2)
        bound = min(LONGEST_OPEN, FIRST_OPEN * 2.0 ** min(self.openings - 1, 32))
        self.retry_at = now + bound / 2 + half
        self.fire("trip")
