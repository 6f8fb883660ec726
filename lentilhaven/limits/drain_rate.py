"""The rate at which a full queue drains."""

import attrs

#: Weight of a new measurement.
WEIGHT = 0.1


@attrs.define
class DrainRate:
    """
    Mean cost and duration of requests.

    By Little's law a router that runs n requests completes n per mean duration.
    That follows a change of its limit at once, where counting completions would
    show it only after a request's whole duration.

    Attributes
    ----------
    cost : float
        Mean tokens of a request, prompt and longest answer together.
    duration : float
        Mean seconds from a request's start to its end.

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
        Take in a completed request.

        Parameters
        ----------
        cost : float
            Its tokens.
        duration : float
            Seconds from its start to its end.
        """
        self.cost += WEIGHT * (cost - self.cost)
        self.duration += WEIGHT * (duration - self.duration)

    def rate(self, running: float) -> float:
        """
        Return the tokens per second that complete.

        Parameters
        ----------
        running : float
            Requests in flight.
        """
        return max(1.0, running) * self.cost / max(self.duration, 1e-9)
