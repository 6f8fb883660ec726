"""
Circuit breakers of subjects that end endpoints.

A breaker is open while its subject is refused.  Once the time of refusal has passed
it is half-open: one request may run as a trial.  If that ends another endpoint, the
breaker opens again for twice the time; if it is answered, the breaker closes.  So a
subject that is still sent when the evidence is too old costs one endpoint, not a new
set of them.
"""

import math

import attrs

#: Seconds for which a subject is refused after the last end, before the first trial.
FIRST_HOLD = 120.0


#: Maximum time of refusal, in seconds; from `FIRST_HOLD` on it doubles with each trial.
MAX_HOLD = 960.0

#: Number of trials after which the time no longer grows.
MAX_DOUBLINGS = 10

#: Seconds after the begin of a trial for which no other one begins.  A trial that
#: neither ends an endpoint nor is answered within this time has shown nothing.
TRIAL_TIME = 30.0

#: Seconds for which a gateway may begin a trial once it is its turn.
TURN_TIME = 60.0

#: Seconds after the time of refusal for which a breaker is kept if nobody sends its
#: subject.
IDLE_TIME = 600.0

#: Seconds by which the time of refusal that another gateway states must be later to be
#: adopted.  Gateways that repeat each other's time would otherwise extend it for ever
#: by the time that datagrams are in transit.
ADOPTION_MARGIN = 5.0


@attrs.define(eq=False)
class Breaker:
    """
    The refusal of one subject.

    All points in time are times of the event loop, in seconds.

    Attributes
    ----------
    ended_at : float
        Time of the last end of an endpoint under the subject.
    until : float
        Time until which every gateway refuses the subject, except the trial.
    trials : int
        Number of trials that have begun, at any gateway.
    trial_until : float
        Time until which the latest trial may be in progress.
    base_hold : float
        Seconds of refusal that double with each trial.
    asked_at : float
        Time at which this gateway was first asked for the subject after `until`, or
        again after it has not used its turn.

    Examples
    --------
    >>> breaker = Breaker(ended_at=0.0)
    >>> breaker.until
    120.0
    >>> breaker.begin_trial(125.0)
    >>> breaker.until, breaker.time_left(126.0)
    (155.0, 29.0)
    >>> breaker.note_end(126.0)
    >>> breaker.until
    366.0
    """

    ended_at: float
    until: float = attrs.field()
    trials: int = 0
    trial_until: float = -math.inf
    base_hold: float = FIRST_HOLD
    asked_at: float = -math.inf

    @until.default
    def first_until(self) -> float:
        """Return the end of the first time of refusal."""
        return self.ended_at + FIRST_HOLD

    def note_end(self, at: float) -> None:
        """Record an end of an endpoint under the subject."""
        if at > self.ended_at:
            self.ended_at = at
            doublings = min(self.trials, MAX_DOUBLINGS)
            hold = min(MAX_HOLD, self.base_hold * 2.0**doublings)
            self.until = max(self.until, at + hold)
            self.trial_until = -math.inf

    def time_left(self, now: float, delay: float = 0.0) -> float:
        """
        Return the seconds until a request may run as a trial; 0 if it may now.

        Parameters
        ----------
        now : float
            Time of the event loop.
        delay : float
            Seconds for which this gateway waits after it was first asked, so that not
            all begin the trial at once.
        """
        if now < self.until:
            return self.until - now
        if not self.until <= self.asked_at >= now - delay - TURN_TIME:
            self.asked_at = now
        return max(0.0, self.asked_at + delay - now)

    @property
    def is_in_trial(self) -> bool:
        """Return whether the latest trial has ended no endpoint, as far as is known."""
        return self.trial_until > -math.inf

    @property
    def changed_at(self) -> float:
        """Return the time of the last end, or of the begin of the trial after it."""
        return max(self.ended_at, self.trial_until - TRIAL_TIME)

    def begin_trial(self, now: float) -> None:
        """Refuse all requests while the one that is sent now runs as a trial."""
        self.trials += 1
        self.until = self.trial_until = now + TRIAL_TIME

    def adopt(self, other: "Breaker") -> bool:
        """
        Take over what another gateway states, and return whether it was news.

        Parameters
        ----------
        other : Breaker
            The breaker of the same subject at the other gateway.
        """
        is_later = other.until > self.until + ADOPTION_MARGIN
        if other.trials < self.trials or (other.trials == self.trials and not is_later):
            return False
        if other.ended_at > self.ended_at + ADOPTION_MARGIN:
            self.trial_until = -math.inf
        elif other.trials > self.trials:
            self.trial_until = other.until
        self.ended_at = max(self.ended_at, other.ended_at)
        self.until = other.until
        self.trials = other.trials
        return True

    def is_forgotten(self, now: float) -> bool:
        """Return whether the subject has not been sent for long."""
        return now > self.until + IDLE_TIME


def is_closed(breaker: Breaker, proven_at: float) -> bool:
    """
    Return whether a proof of the subject has closed a breaker.

    Examples
    --------
    >>> is_closed(Breaker(10.0), 9.0), is_closed(Breaker(10.0), 11.0)
    (False, True)
    """
    return proven_at > breaker.ended_at
