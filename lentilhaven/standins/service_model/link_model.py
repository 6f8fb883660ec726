"""A link that takes time."""

import attrs


@attrs.define
class LinkModel:
    """
    One direction between two data centres at one boundary.

    Attributes
    ----------
    latency : float
        Seconds, one way.
    rate : float
        Activations per second.
    free_at : float
        Virtual time at which the last activation has left, in seconds.

    Examples
    --------
    >>> link = LinkModel(latency=0.5, rate=10.0)
    >>> link.send(10, 0.0), link.send(10, 0.0)
    (1.5, 2.5)
    """

    latency: float
    rate: float
    free_at: float = 0.0

    def send(self, activations: int, now: float) -> float:
        """
        Return the time at which activations arrive.

        Parameters
        ----------
        activations : int
            Their number.
        now : float
            Virtual time, in seconds.
        """
        self.free_at = max(self.free_at, now) + activations / self.rate
        return self.free_at + self.latency

    def slow_down(self, factor: float) -> None:
        """Divide the rate and multiply the latency by a factor."""
        self.rate /= factor
        self.latency *= factor
