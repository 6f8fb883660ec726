"""Mean lengths of the requests to a pool."""

import attrs


@attrs.frozen
class TrafficMix:
    """
    Mean lengths of requests.

    Attributes
    ----------
    prompt_tokens : float
        Mean length of the prompt, in tokens.
    generated_tokens : float
        Mean length of the answer, in tokens.

    Examples
    --------
    >>> TrafficMix(150, 60).prompt_ratio
    2.5
    """

    prompt_tokens: float = 150.0
    generated_tokens: float = 60.0

    @property
    def prompt_ratio(self) -> float:
        """Return the number of prompt tokens per generated token."""
        return self.prompt_tokens / self.generated_tokens

    @property
    def total_tokens(self) -> float:
        """Return the number of tokens that a finished stream holds in KV caches."""
        return self.prompt_tokens + self.generated_tokens
