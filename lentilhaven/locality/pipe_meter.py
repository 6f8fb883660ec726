"""Token rates on the pipes: a pipe is the link between two data centres."""

import math
from collections.abc import Sequence

import attrs

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.layer_span import LayerSpan

#: Time constant of the exponential decay, in seconds: after it, a transfer counts 1/e
#: of its size.
TIME_CONSTANT = 1.0


def pipe_name(one: str, other: str) -> str:
    """Return the name of the pipe between two data centres; their order is ignored."""
    return "|".join(sorted((one, other)))


@attrs.define
class PipeMeter:
    """
    Measures the tokens that this gateway's requests send through each pipe.

    Attributes
    ----------
    rates : dict
        Tokens per second by pipe, decayed to the time `updated`.
    updated : float
        Event loop time of the last decay.

    Examples
    --------
    >>> meter = PipeMeter()
    >>> meter.record({"a|b": 2}, 100.0, now=0.0)
    >>> round(meter.current(1.0)["a|b"], 1)
    73.6
    """

    rates: dict[str, float] = attrs.field(factory=dict)
    updated: float = 0.0

    def decay(self, now: float) -> None:
        """Decay all rates to a time, and drop those below 1 token per second."""
        factor = math.exp(min(0.0, self.updated - now) / TIME_CONSTANT)
        self.updated = now
        self.rates = {
            pipe: rate * factor
            for pipe, rate in self.rates.items()
            if rate * factor >= 1.0
        }

    def record(self, crossings: dict[str, int], tokens: float, now: float) -> None:
        """Add the tokens of a request, given how often it crosses each pipe."""
        self.decay(now)
        for pipe, count in crossings.items():
            self.rates[pipe] = (
                self.rates.get(pipe, 0.0) + count * tokens / TIME_CONSTANT
            )

    def current(self, now: float) -> dict[str, float]:
        """Return the current tokens per second by pipe."""
        self.decay(now)
        return self.rates


def count_crossings(parts: Sequence[tuple[Endpoint, LayerSpan]]) -> dict[str, int]:
    """Return how often a chain crosses each pipe."""
    found: dict[str, int] = {}
    for (one, _), (other, _) in zip(parts, parts[1:], strict=False):
        if one.data_centre != other.data_centre:
            name = pipe_name(one.data_centre, other.data_centre)
            found[name] = found.get(name, 0) + 1
    return found
