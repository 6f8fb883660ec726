"""Decides when a stream has produced no token for too long."""

import attrs

#: Bounds of the time until stages are probed, as shares of the token timeout.
MIN_TIMEOUT_SHARE = 0.25
MAX_TIMEOUT_SHARE = 0.5

#: Multiple of the mean time between tokens after which stages are probed.
SUSPECT_FACTOR = 4.0

#: Weight of the newest gap in the moving average.
GAP_WEIGHT = 0.2

#: Maximum seconds to the first token of an attempt, in addition to prefill.
FIRST_TOKEN_TIMEOUT = 1.5

#: Maximum seconds of prefill per token of the prompt or of a rebuilt KV cache.
MAX_PREFILL_TIME = 0.002

#: Number of token timeouts after which a stage that reports work counts as hung.
HUNG_FACTOR = 5.0


@attrs.define
class SilenceDetector:
    """
    Tracks the time between the tokens of one attempt.

    Attributes
    ----------
    token_timeout : float
        The route's limit on silence before its pipeline is suspected, in seconds.
    token_count : int
        Tokens of the prompt and the answer at the start of the attempt.
    last_token_time : float
        Monotonic time of the newest token, or of the attempt's start, in seconds.
    mean_gap : float or None
        Moving average of the time between tokens, in seconds; None before the
        second token.
    token_seen : bool
        Whether a token has arrived.

    Examples
    --------
    >>> detector = SilenceDetector(0.2, 10, last_token_time=0.0)
    >>> detector.suspect_after
    0.1
    >>> for step in range(1, 30):
    ...     detector.record_tokens(step * 0.01)
    >>> detector.suspect_after
    0.05
    """

    token_timeout: float
    token_count: int
    last_token_time: float
    mean_gap: float | None = None
    token_seen: bool = False

    @property
    def suspect_after(self) -> float:
        """Return the seconds of silence after which stages are probed."""
        longest = self.token_timeout * MAX_TIMEOUT_SHARE
        if self.mean_gap is None:
            return longest
        shortest = self.token_timeout * MIN_TIMEOUT_SHARE
        return min(longest, max(shortest, SUSPECT_FACTOR * self.mean_gap))

    @property
    def probe_timeout(self) -> float:
        """Return the timeout of a probe, in seconds."""
        return self.token_timeout * MAX_TIMEOUT_SHARE

    @property
    def hung_after(self) -> float:
        """Return the seconds of silence after which a working stage counts as hung."""
        if self.token_seen:
            return self.token_timeout * HUNG_FACTOR
        return FIRST_TOKEN_TIMEOUT + self.token_count * MAX_PREFILL_TIME

    def record_tokens(self, now: float) -> None:
        """
        Record the arrival of tokens.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        if self.token_seen:
            gap = now - self.last_token_time
            mean = gap if self.mean_gap is None else self.mean_gap
            self.mean_gap = mean + GAP_WEIGHT * (gap - mean)
        self.token_seen = True
        self.last_token_time = now

    def is_hung(self, now: float) -> bool:
        """Return whether a stage that reports work has taken too long."""
        return now - self.last_token_time >= self.hung_after
