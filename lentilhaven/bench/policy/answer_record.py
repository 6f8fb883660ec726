"""What became of one request."""

import attrs

from lentilhaven.core.ids import RequestId, WorkspaceId


@attrs.define(eq=False)
class AnswerRecord:
    """
    Times of one request, in seconds of virtual time.

    Attributes
    ----------
    request : str
        Unique id.
    workspace : str
        Who asks.
    arrived : float
        When it came to the router.
    prompt, length : int
        Tokens of the prompt and of the answer.
    prefix : str
        Names its prompt's prefix.
    refused : float or None
        When it was refused.
    started, first_token, finished : float or None
        When it was dispatched, and when its first and last token came.
    last_token : float
        When its newest token came.
    attempts : int
        Tries, the first included.
    cached, stages : int
        Stages that found its prefix cached, and all stages of its path.
    """

    request: RequestId
    workspace: WorkspaceId
    arrived: float
    prompt: int
    length: int
    prefix: str = ""
    refused: float | None = None
    started: float | None = None
    first_token: float | None = None
    finished: float | None = None
    last_token: float = 0.0
    attempts: int = 0
    cached: int = 0
    stages: int = 0

    @property
    def wait(self) -> float:
        """Return the seconds to the first token, without end if none came."""
        if self.first_token is None:
            return float("inf")
        return self.first_token - self.arrived

    @property
    def pace(self) -> float:
        """Return the mean seconds between tokens."""
        if self.finished is None or self.first_token is None:
            return float("inf")
        return (self.finished - self.first_token) / max(1, self.length - 1)

    def is_good(self, first_token: float, between_tokens: float) -> bool:
        """Return whether the answer is complete and came in time."""
        return self.wait <= first_token and self.pace <= between_tokens
