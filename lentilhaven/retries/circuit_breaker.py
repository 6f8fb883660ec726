"""The circuit breaker of one endpoint."""

import random

import attrs
from transitions import Machine

from lentilhaven.retries.backoff import jittered_delay

CLOSED = "closed"
OPEN = "open"
HALF_OPEN = "half_open"

#: Consecutive failures that open a closed circuit.
FAILURE_THRESHOLD = 3

#: Longest open time of a circuit that opens for the first time, in seconds.
INITIAL_OPEN_TIME = 1.0

#: Longest open time of any circuit, in seconds.
MAX_OPEN_TIME = 30.0


@attrs.define(slots=False, eq=False)
class CircuitBreaker:
    """
    Decides whether an endpoint may get new requests after failures.

    A closed circuit allows all requests.  An open circuit allows none until
    `retry_at`, and from then on one request at a time, as a trial.  A success closes
    the circuit, and the failure of a trial opens it for longer.  The half-open state
    lasts only while the failure of a trial is recorded; it also allows one request at
    a time.

    Attributes
    ----------
    failures : int
        Number of failures since the last success.
    open_count : int
        Number of times that the circuit opened since the last success.
    retry_at : float
        Monotonic time from which an open circuit allows a trial, in seconds.
    state : str
        ``"closed"``, ``"open"`` or ``"half_open"``; set by `machine`.
    machine : transitions.Machine
        State machine with the allowed transitions.

    Examples
    --------
    >>> import random
    >>> circuit = CircuitBreaker()
    >>> circuit.record_failure(0.0, random.Random(1), unreachable=True)
    >>> circuit.allows(0.0, in_flight=0), circuit.allows(60.0, in_flight=0)
    (False, True)
    """

    failures: int = 0
    open_count: int = 0
    retry_at: float = 0.0
    state: str = attrs.field(init=False, default=CLOSED)
    machine: Machine = attrs.field(init=False, repr=False)

    def __attrs_post_init__(self) -> None:
        """Create the state machine of this circuit."""
        states = [CLOSED, OPEN, HALF_OPEN]
        self.machine = Machine(self, states, CLOSED, auto_transitions=False)
        self.machine.add_transition("trip", [CLOSED, HALF_OPEN], OPEN)
        self.machine.add_transition("admit_trial", OPEN, HALF_OPEN)
        self.machine.add_transition("close", [CLOSED, HALF_OPEN, OPEN], CLOSED)

    def fire(self, event: str) -> None:
        """Apply the transition named `event` of the state machine."""
        self.machine.events[event].trigger(self)

    def allows(self, now: float, in_flight: int) -> bool:
        """
        Return whether a request may be sent now.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        in_flight : int
            Requests of this process in flight at the endpoint.
        """
        if self.state == CLOSED:
            return True
        if self.state == OPEN and now < self.retry_at:
            return False
        return in_flight == 0

    def record_success(self) -> None:
        """Close the circuit and reset its counters."""
        self.failures = 0
        self.open_count = 0
        self.fire("close")

    def record_failure(
        self, now: float, rng: random.Random, unreachable: bool = False
    ) -> None:
        """
        Count a failure, and open the circuit if necessary.

        A closed circuit opens at `FAILURE_THRESHOLD` or if the endpoint is unreachable,
        and a failed trial opens the circuit again.  Until `retry_at`, the failures of
        an open circuit are only counted.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        rng : random.Random
            Random number generator.
        unreachable : bool
            Whether the endpoint is known to be unreachable; the circuit then
            opens at once.
        """
        # Any failure after `retry_at` counts as the failure of a trial.
        if self.state == OPEN and now >= self.retry_at:
            self.fire("admit_trial")
        self.failures += 1
        if self.state == OPEN:
            return
        if (
            not unreachable
            and self.state == CLOSED
            and self.failures < FAILURE_THRESHOLD
        ):
            return
        self.open_count += 1
        jitter = jittered_delay(
            self.open_count, rng, INITIAL_OPEN_TIME / 2, MAX_OPEN_TIME / 2
        )
        bound = min(
            MAX_OPEN_TIME, INITIAL_OPEN_TIME * 2.0 ** min(self.open_count - 1, 32)
        )
        # The open time lies at random between half the bound and the bound.
        self.retry_at = now + bound / 2 + jitter
        self.fire("trip")
