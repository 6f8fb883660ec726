"""Reports the token latencies of an answer to admission and path choice."""

import attrs

from lentilhaven.core.ids import RequestId
from lentilhaven.limits.admission_controller import AdmissionController
from lentilhaven.router.path_state import PathState


@attrs.define
class TokenLatencyReporter:
    """
    Reports the time to the first token, and the times between tokens, of one answer.

    Attributes
    ----------
    gate : AdmissionController
        Collects the latencies of all answers of a pool.
    paths : PathState
        Detects slow links from the latencies of the answers that use them.
    request : str
        The request.
    started : float
        Monotonic time at which the answer was started, in seconds.
    first_token_seen : bool
        Whether the first token has arrived.
    """

    gate: AdmissionController
    paths: PathState
    request: RequestId
    started: float
    first_token_seen: bool = False

    def record(self, count: int, waited: float, now: float) -> None:
        """
        Record tokens that arrived together.

        Parameters
        ----------
        count : int
            Number of tokens.
        waited : float
            Seconds for which the router waited for these tokens.  Zero means that
            they had already arrived; such a gap is not recorded, since the caller
            delayed them and not an engine.
        now : float
            Monotonic time of the arrival, in seconds.
        """
        if not self.first_token_seen:
            self.first_token_seen = True
            self.gate.observe_first(now - self.started)
        elif waited > 0:
            gap = waited / count
            self.paths.observe_token_gap(self.request, gap, now)
            for _ in range(count):
                self.gate.observe(gap, now)
