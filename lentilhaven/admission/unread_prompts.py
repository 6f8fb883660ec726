"""Prompts that engines have got but not yet read."""

from collections import defaultdict

import attrs

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.layer_span import LayerSpan

Parts = tuple[tuple[Endpoint, LayerSpan], ...]


@attrs.define
class UnreadPrompts:
    """
    The prompts that one process has sent and that have led to no event yet.

    Attributes
    ----------
    layer_tokens : dict
        Prompt tokens times the layers that read them, by endpoint id.
    """

    layer_tokens: dict[str, float] = attrs.field(factory=lambda: defaultdict(float))

    def begin(self, parts: Parts, tokens: float) -> "PromptReading":
        """Add a prompt that is sent to a chain."""
        for endpoint, span in parts:
            self.layer_tokens[endpoint.id] += tokens * len(span)
        return PromptReading(self, parts, tokens)

    def of(self, endpoint: str) -> float:
        """Return the unread layer-tokens at an endpoint."""
        return self.layer_tokens.get(endpoint, 0.0)


@attrs.define(eq=False)
class PromptReading:
    """
    One prompt that is being read.

    Attributes
    ----------
    unread : UnreadPrompts
        Where it is counted.
    parts : Parts
        The chain that reads it.
    tokens : float
        Length of the prompt, in tokens.
    is_read : bool
        Whether the first event has arrived, or the run has ended.

    Examples
    --------
    >>> unread = UnreadPrompts()
    >>> one = Endpoint("a", "s", "10.0.0.1:80", "z")
    >>> reading = unread.begin(((one, LayerSpan(0, 4)),), 100.0)
    >>> unread.of("a"), reading.end(), reading.end(), unread.of("a")
    (400.0, True, False, 0.0)
    """

    unread: UnreadPrompts
    parts: Parts
    tokens: float
    is_read: bool = False

    def end(self) -> bool:
        """Remove the prompt, and return whether it was still counted."""
        if self.is_read:
            return False
        self.is_read = True
        counted = self.unread.layer_tokens
        for endpoint, span in self.parts:
            left = counted[endpoint.id] - self.tokens * len(span)
            if left > 0.5:
                counted[endpoint.id] = left
            else:
                del counted[endpoint.id]
        return True
