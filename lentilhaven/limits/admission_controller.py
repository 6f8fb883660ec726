"""Admission control of one router for one pool."""

import attrs

from lentilhaven.limits.admission_policies import ADMISSION_POLICIES
from lentilhaven.limits.admission_request import AdmissionRequest
from lentilhaven.limits.admission_state import AdmissionState
from lentilhaven.limits.brown_out import BrownOut

#: Initial estimate of the time to the first token, in seconds.
INITIAL_FIRST_TOKEN = 0.3

#: Maximum predicted wait, as a fraction of the time until a request has to start; the
#: rest is a margin, because the limit may decrease after the request was admitted.
MAX_WAIT_FRACTION = 0.25

#: Smoothing factors for measurements above and below the estimate of the time to
#: the first token; their ratio makes it converge near the 95th percentile.
RISE_WEIGHT, FALL_WEIGHT = 0.19, 0.01


@attrs.define
class AdmissionController:
    """
    Queues or refuses a router's requests to one pool.

    A request is refused on arrival or not at all.

    Attributes
    ----------
    state : AdmissionState
        Requests in flight and in queue.
    policy : str
        Name in `ADMISSION_POLICIES`.
    brown_out : BrownOut
        Degradation steps during an overload.
    first_token : float
        Estimate of the 95th percentile of the time from a request's start to its first
        token, in seconds.
    """

    state: AdmissionState
    policy: str = "deadline"
    brown_out: BrownOut = attrs.field(factory=BrownOut)
    first_token: float = INITIAL_FIRST_TOKEN

    def offer(self, ticket: AdmissionRequest, now: float) -> float | None:
        """
        Queue a request, or refuse it immediately.

        Parameters
        ----------
        ticket : AdmissionRequest
            A request that has just arrived.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        float or None
            None if the request is queued; otherwise the seconds after which a
            retry may succeed.
        """
        wait = ADMISSION_POLICIES[self.policy].predict_wait(self.state, ticket)
        max_wait = (
            MAX_WAIT_FRACTION
            * (ticket.start_by - now)
            * self.brown_out.wait_factor(ticket.priority)
        )
        refused = wait > max(0.0, max_wait)
        self.brown_out.observe(refused, now)
        if refused:
            return max(wait - max_wait, 0.1)
        self.state.enqueue(ticket)
        return None

    def pick(self) -> AdmissionRequest | None:
        """Return the request to start next, without removing it from the queue."""
        return ADMISSION_POLICIES[self.policy].pick(self.state)

    def start(self, ticket: AdmissionRequest, now: float) -> None:
        """Move a request from the queue to those in flight."""
        self.state.dequeue(ticket)
        self.state.start(ticket, now)

    def finish(self, ticket: AdmissionRequest, now: float) -> None:
        """Remove a request that has ended from the requests in flight."""
        self.state.finish(ticket, now)

    def start_by(self, due: float) -> float:
        """
        Return the monotonic time by which a request has to start.

        Parameters
        ----------
        due : float
            Monotonic time at which its first token is due, in seconds.
        """
        return due - self.first_token

    def observe_first(self, seconds: float) -> None:
        """Record the seconds from a request's start to its first token."""
        weight = RISE_WEIGHT if seconds > self.first_token else FALL_WEIGHT
        self.first_token += weight * (seconds - self.first_token)

    def observe(self, gap: float, now: float) -> None:
        """
        Record the time between two tokens of any request, and adjust the limit if due.

        Parameters
        ----------
        gap : float
            Seconds between the tokens.
        now : float
            Monotonic time, in seconds.
        """
        self.state.limit.observe(gap)
        self.state.limit.adjust(len(self.state.running), now)
