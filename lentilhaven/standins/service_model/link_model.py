"""Model of the transfer times of a link."""

import attrs


@attrs.define
class LinkModel:
    """
    One direction of a link between two data centres at one layer boundary.

    Attributes
    ----------
    latency : float
        One-way latency, in seconds.
    rate : float
        Transfer rate, in activations per second.
    free_at : float
        Virtual time in seconds at which the last queued activation will be sent.

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
        Queue activations and return the virtual time of their arrival.

        Parameters
        ----------
        activations : int
            Number of activations.
        now : float
            Current virtual time, in seconds.
        """
        self.free_at = max(self.free_at, now) + activations / self.rate
        return self.free_at + self.latency

    def slow_down(self, factor: float) -> None:
        """Divide the current rate and multiply the current latency by a factor."""
        self.rate /= factor
        self.latency *= factor
