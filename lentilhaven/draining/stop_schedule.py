"""The times of a planned stop."""

import attrs

#: Seconds after SIGTERM for which new requests are still taken: the load balancer
#: checks once a second and removes a gateway after two failed checks.
ACCEPT_TIME = 2.6

#: Seconds before the end of the grace period at which the process exits.
GRACE_MARGIN = 0.6

#: Seconds before the exit at which requests that have not ended are answered, so that
#: the answers reach their callers.
ANSWER_MARGIN = 0.3


@attrs.frozen
class StopSchedule:
    """
    The times of a stop, in seconds of the event loop.

    Attributes
    ----------
    began : float
        When the signal arrived.
    refuse_at : float
        From when on new requests are refused, and those whose bodies are incomplete.
    answer_at : float
        When the requests that have not ended are answered.
    end_at : float
        When the process exits at the latest.
    """

    began: float
    refuse_at: float
    answer_at: float
    end_at: float

    def leaves_time_for(self, seconds: float, now: float) -> bool:
        """
        Return whether work that begins now can end before it is cut off.

        Parameters
        ----------
        seconds : float
            Estimated time of the work.
        now : float
            Current time.

        Examples
        --------
        >>> stop = plan_stop(0.0, 8.0)
        >>> stop.leaves_time_for(5.0, 2.0), stop.leaves_time_for(6.4, 2.0)
        (True, False)
        """
        return now + seconds <= self.answer_at


def plan_stop(began: float, grace: float) -> StopSchedule:
    """
    Return the times of a stop.

    Parameters
    ----------
    began : float
        When the signal arrived, in seconds of the event loop.
    grace : float
        Seconds after which the process is killed.

    Examples
    --------
    >>> stop = plan_stop(10.0, 8.0)
    >>> [round(it, 3) for it in (stop.refuse_at, stop.answer_at, stop.end_at)]
    [12.6, 17.1, 17.4]

    A grace period no longer than the margin leaves time for nothing:

    >>> plan_stop(10.0, 0.5)
    StopSchedule(began=10.0, refuse_at=10.0, answer_at=10.0, end_at=10.0)
    """
    end_at = began + max(0.0, grace - GRACE_MARGIN)
    answer_at = max(began, end_at - ANSWER_MARGIN)
    return StopSchedule(began, min(began + ACCEPT_TIME, answer_at), answer_at, end_at)
