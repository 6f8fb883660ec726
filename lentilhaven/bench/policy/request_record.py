"""Times and outcome of one simulated request."""

import attrs

from lentilhaven.core.ids import RequestId, WorkspaceId


@attrs.define(eq=False)
class RequestRecord:
    """
    Times and outcome of one request; times are in seconds of virtual time.

    Attributes
    ----------
    request : str
        Unique id.
    workspace : str
        Workspace that sent it.
    arrived : float
        Time of arrival at the router.
    prompt, length : int
        Number of tokens of the prompt and of the response.
    prefix : str
        Name of the prompt's shared prefix; empty for none.
    refused : float or None
        Time at which it was refused; None if it was not.
    started, first_token, finished : float or None
        Times of its dispatch and of the arrival of its first and its last token.
    last_token : float
        Time at which its newest token arrived, or of its dispatch or its last move to
        another path if that is later.
    attempts : int
        Number of attempts, the first included; 0 if it was not dispatched.
    cached, stages : int
        Number of stages that had its prefix cached, and of all stages of its path;
        0 until it has finished.
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
    def time_to_first_token(self) -> float:
        """Return the seconds to the first token; infinite if none arrived."""
        if self.first_token is None:
            return float("inf")
        return self.first_token - self.arrived

    @property
    def time_per_output_token(self) -> float:
        """Return the mean seconds between tokens; infinite if the last is missing."""
        if self.finished is None or self.first_token is None:
            return float("inf")
        return (self.finished - self.first_token) / max(1, self.length - 1)

    def meets_targets(self, first_token: float, between_tokens: float) -> bool:
        """Return whether the response is complete and met both targets, in seconds."""
        return (
            self.time_to_first_token <= first_token
            and self.time_per_output_token <= between_tokens
        )
