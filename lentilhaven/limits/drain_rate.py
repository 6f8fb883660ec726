"""Estimate of the rate at which a full queue drains."""

import attrs

#: Smoothing factor of the moving averages.
SMOOTHING_FACTOR = 0.1


@attrs.define
class DrainRate:
    """
    Moving averages of the cost and the duration of requests.

    By Little's law, a router that runs n requests completes n per mean duration.
    This estimate follows a change of the limit at once, whereas a count of
    completions would show it only after a request's whole duration.

    Attributes
    ----------
    cost : float
        Mean cost of a request, in tokens: those of its prompt plus the maximum length
        of its answer.
    duration : float
        Mean time from a request's start to its end, in seconds.

    Examples
    --------
    >>> DrainRate(cost=200.0, duration=2.0).rate(running=10)
    1000.0

    References
    ----------
    J. D. C. Little, "A Proof for the Queuing Formula: L = λW", 1961.
    """

    cost: float
    duration: float

    def observe(self, cost: float, duration: float) -> None:
        """
        Record a completed request.

        Parameters
        ----------
        cost : float
            Cost of the request, in tokens.
        duration : float
            Time from its start to its end, in seconds.
        """
        self.cost += SMOOTHING_FACTOR * (cost - self.cost)
        self.duration += SMOOTHING_FACTOR * (duration - self.duration)

    def rate(self, running: float) -> float:
        """
        Return the rate of completed work, in tokens per second.

        Parameters
        ----------
        running : float
            Number of requests in flight.
        """
        return max(1.0, running) * self.cost / max(self.duration, 1e-9)
