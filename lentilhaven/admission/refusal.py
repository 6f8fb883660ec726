"""Refusals of requests that have waited, or would wait, in a queue."""

import attrs


@attrs.frozen
class Refusal:
    """
    The request does not start, and has not run.

    Attributes
    ----------
    cause : str
        Why, for logs and counters, such as ``"wait-too-long"``.
    wait : float
        Predicted seconds until room for it is likely; 0 if unknown.
    """

    cause: str
    wait: float = 0.0
