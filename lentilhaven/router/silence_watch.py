"""Decides when a stream has been silent for too long."""

import attrs

#: Shares of the route's token timeout between which a stream is first suspected.
LEAST_SHARE = 0.25
LARGEST_SHARE = 0.5

#: Multiple of the mean time between tokens after which a stream is suspected.
SUSPECT_FACTOR = 4.0

#: Weight of the newest gap in the mean.
GAP_WEIGHT = 0.2

#: Seconds that the first token of an attempt may take beside its prompt.
FIRST_TOKEN_TIMEOUT = 1.5

#: Seconds that a token of the prompt or of a rebuilt cache may take.
SLOWEST_PREFILL = 0.002

#: Token timeouts after which a stage that claims to work is taken for hung.
HUNG_FACTOR = 5.0


@attrs.define
class SilenceWatch:
    """
    Expected time between the tokens of one attempt.

    Attributes
    ----------
    token_timeout : float
        The route's limit on silence before the pipeline is suspected, in seconds.
    length : int
        Tokens of the prompt and the answer when the attempt began.
    last_token : float
        Monotonic time of the attempt's start or newest token, in seconds.
    mean_gap : float or None
        Mean time between tokens, in seconds; None before the second token.
    started : bool
        Whether a token has come.

    Examples
    --------
    >>> watch = SilenceWatch(0.2, 10, last_token=0.0)
    >>> watch.suspect_after
    0.1
    >>> for step in range(1, 30):
    ...     watch.record_tokens(step * 0.01)
    >>> watch.suspect_after
    0.05
    """

    token_timeout: float
    length: int
    last_token: float
    mean_gap: float | None = None
    started: bool = False

    @property
    def suspect_after(self) -> float:
        """Return the seconds of silence after which stages are probed."""
        longest = self.token_timeout * LARGEST_SHARE
        if self.mean_gap is None:
            return longest
        shortest = self.token_timeout * LEAST_SHARE
        return min(longest, max(shortest, SUSPECT_FACTOR * self.mean_gap))

    @property
    def probe_timeout(self) -> float:
        """Return the seconds that a probe may take."""
        return self.token_timeout * LARGEST_SHARE

    @property
    def hung_after(self) -> float:
        """Return the seconds of silence after which a working stage is hung."""
        if self.started:
            return self.token_timeout * HUNG_FACTOR
        return FIRST_TOKEN_TIMEOUT + self.length * SLOWEST_PREFILL

    def record_tokens(self, now: float) -> None:
        """
        Note that tokens have come.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        if self.started:
            gap = now - self.last_token
            known = gap if self.mean_gap is None else self.mean_gap
            self.mean_gap = known + GAP_WEIGHT * (gap - known)
        self.started = True
        self.last_token = now

    def is_hung(self, now: float) -> bool:
        """Return whether a stage that claims to work has taken too long."""
        return now - self.last_token >= self.hung_after
