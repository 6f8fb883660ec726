"""Decides when a stream has produced no token for too long."""

import attrs

#: Bounds of the silence after which stages are probed, as shares of the token timeout.
MIN_TIMEOUT_SHARE = 0.25
MAX_TIMEOUT_SHARE = 0.5

#: Multiple of the mean time between tokens after which stages are probed.
SUSPECT_FACTOR = 4.0

#: Weight of the newest gap in the moving average.
GAP_WEIGHT = 0.2

#: Maximum time to the first token of a stream, in addition to the prefill time, in
#: seconds.
FIRST_TOKEN_TIMEOUT = 1.5

#: Maximum prefill time per token of the prompt or of a rebuilt KV cache, in seconds.
MAX_PREFILL_TIME = 0.002

#: Multiple of the token timeout after which a stage that reports that it is working
#: counts as hung, if a token has arrived on the stream.
HUNG_FACTOR = 5.0


@attrs.define
class SilenceDetector:
    """
    Tracks the time between the tokens of one open stream.

    A stream that is opened again, also for the same attempt, has a new detector.

    Attributes
    ----------
    token_timeout : float
        The route's maximum time without a token before its pipeline is suspected, in
        seconds.  Stages are probed after at most `MAX_TIMEOUT_SHARE` of it, and a
        probe times out after the same share.
    token_count : int
        Number of tokens of the prompt and the answer when the stream was opened.
    last_token_time : float
        Monotonic time of the newest token, or of the opening of the stream, in
        seconds.
    mean_gap : float or None
        Moving average of the time between arrivals of tokens, in seconds; None
        before the second arrival.
    token_seen : bool
        Whether a token has arrived on the stream.

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
        """
        Return the seconds of silence after which a working stage counts as hung.

        Before the first token, the time includes the prefill of all tokens.
        """
        if self.token_seen:
            return self.token_timeout * HUNG_FACTOR
        return FIRST_TOKEN_TIMEOUT + self.token_count * MAX_PREFILL_TIME

    def record_tokens(self, now: float) -> None:
        """
        Update the mean time between tokens after one or more tokens have arrived.

        Tokens that arrive together count as one arrival.

        Parameters
        ----------
        now : float
            Monotonic time of the arrival, in seconds.
        """
        if self.token_seen:
            gap = now - self.last_token_time
            mean = gap if self.mean_gap is None else self.mean_gap
            self.mean_gap = mean + GAP_WEIGHT * (gap - mean)
        self.token_seen = True
        self.last_token_time = now

    def is_hung(self, now: float) -> bool:
        """Return whether a stage that reports that it is working counts as hung."""
        return now - self.last_token_time >= self.hung_after
