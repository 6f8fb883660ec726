"""Tells admission how fast an answer's tokens come."""

import attrs

from lentilhaven.core.ids import RequestId
from lentilhaven.limits.gate import Gate
from lentilhaven.router.path_state import PathState


@attrs.define
class TokenPace:
    """
    The waits of one answer for its engines.

    Attributes
    ----------
    gate : Gate
        Follows the waits of all answers of a pool.
    paths : PathState
        Finds slow links by the waits of the answers that cross them.
    request : str
        The request.
    started : float
        Monotonic time at which the answer was started, in seconds.
    seen_first : bool
        Whether its first token has come.
    """

    gate: Gate
    paths: PathState
    request: RequestId
    started: float
    seen_first: bool = False

    def record(self, count: int, waited: float, now: float) -> None:
        """
        Take in tokens that came together.

        Parameters
        ----------
        count : int
            Number of tokens.
        waited : float
            Seconds for which the router waited for them.  Tokens that were there
            already tell nothing: a slow caller held them up, not an engine.
        now : float
            Monotonic time, in seconds.
        """
        if not self.seen_first:
            self.seen_first = True
            self.gate.observe_first(now - self.started)
        elif waited > 0:
            gap = waited / count
            self.paths.note_gap(self.request, gap, now)
            for _ in range(count):
                self.gate.observe(gap, now)
