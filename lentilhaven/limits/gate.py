"""Admits, queues or refuses each request of one pool."""

import attrs

from lentilhaven.limits.admission_policies import ADMISSION_POLICIES
from lentilhaven.limits.admission_state import AdmissionState
from lentilhaven.limits.brown_out import BrownOut
from lentilhaven.limits.ticket import Ticket

#: Seconds to the first token before any was seen.
FIRST_TOKEN_GUESS = 0.3

#: Part of the time until a request has to start that it may wait by prediction;
#: the rest covers a limit that falls after it was admitted.
QUEUE_SHARE = 0.25

#: Weights of a new time to the first token, above and below the estimate; their
#: ratio makes the estimate settle near the 95th percentile.
RISE_WEIGHT, FALL_WEIGHT = 0.19, 0.01


@attrs.define
class Gate:
    """
    Admission of one router to one pool.

    A request is refused when it arrives or never.

    Attributes
    ----------
    state : AdmissionState
        Requests in flight and in queue.
    policy : str
        Name in `ADMISSION_POLICIES`.
    brown_out : BrownOut
        Steps taken under lasting overload.
    first_token : float
        Seconds that a started request takes to its first token, generously.
    """

    state: AdmissionState
    policy: str = "deadline"
    brown_out: BrownOut = attrs.field(factory=BrownOut)
    first_token: float = FIRST_TOKEN_GUESS

    def offer(self, ticket: Ticket, now: float) -> float | None:
        """
        Queue a ticket, or refuse it at once.

        Parameters
        ----------
        ticket : Ticket
            The ticket.
        now : float
            Monotonic time, in seconds.

        Returns
        -------
        float or None
            None if it is queued; otherwise seconds after which another try may
            help.
        """
        wait = ADMISSION_POLICIES[self.policy].predict_wait(self.state, ticket)
        budget = (
            QUEUE_SHARE
            * (ticket.start_by - now)
            * self.brown_out.budget_factor(ticket.priority)
        )
        refused = wait > max(0.0, budget)
        self.brown_out.observe(refused, now)
        if refused:
            return max(wait - budget, 0.1)
        self.state.enqueue(ticket)
        return None

    def pick(self) -> Ticket | None:
        """Return the ticket to start next, which stays in queue."""
        return ADMISSION_POLICIES[self.policy].pick(self.state)

    def start(self, ticket: Ticket, now: float) -> None:
        """Move a ticket from the queue to those in flight."""
        self.state.dequeue(ticket)
        self.state.start(ticket, now)

    def finish(self, ticket: Ticket, now: float) -> None:
        """Count a ticket out once its request has ended."""
        self.state.finish(ticket, now)

    def start_by(self, due: float) -> float:
        """
        Return the time by which a request has to start.

        Parameters
        ----------
        due : float
            Monotonic time at which its first token is due, in seconds.
        """
        return due - self.first_token

    def observe_first(self, seconds: float) -> None:
        """Take in the seconds from a request's start to its first token."""
        weight = RISE_WEIGHT if seconds > self.first_token else FALL_WEIGHT
        self.first_token += weight * (seconds - self.first_token)

    def observe(self, gap: float, now: float) -> None:
        """
        Take in the seconds between two tokens of any request.

        Parameters
        ----------
        gap : float
            Seconds between the tokens.
        now : float
            Monotonic time, in seconds.
        """
        self.state.limit.observe(gap)
        self.state.limit.adjust(len(self.state.running), now)
