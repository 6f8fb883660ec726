"""Whether a chain can read another prompt in time."""

from collections.abc import Callable

import attrs

from lentilhaven.admission.unread_prompts import Parts
from lentilhaven.fleet.engine_spec import EngineSpec


def read_ms(spec: EngineSpec, card: str, slowdown: float = 1.0) -> float:
    """Return the time in which an engine reads one token on one layer, in ms."""
    kind = spec.cards.get(card)
    factor = kind.prefill_factor if kind else 1.0
    nominal = 1000.0 / spec.prefill_tokens_per_s / max(1, spec.layers)
    return slowdown * factor * nominal


def usual_read_time(spec: EngineSpec, tokens: float) -> float:
    """Return the seconds in which an idle chain of mixed cards reads a prompt."""
    factors = [kind.prefill_factor for kind in spec.cards.values()] or [1.0]
    return tokens / spec.prefill_tokens_per_s * sum(factors) / len(factors)


@attrs.frozen
class ReadEstimate:
    """
    The expected reading of a prompt on a chain.

    Attributes
    ----------
    seconds : float
        Time until it is read.
    idle_seconds : float
        The same if the engines had nothing else to read.
    pause : float
        Longest time for which an engine reads it together with the unread prompts of
        others, in seconds; 0 if no engine has any.  Streams pause there meanwhile.
    """

    seconds: float
    idle_seconds: float
    pause: float

    def leaves_room(self, time_left: float, allowed_pause: float) -> bool:
        """
        Return whether the prompt should be sent to the chain.

        Parameters
        ----------
        time_left : float
            Seconds until it is due.  A prompt that would be late even on idle engines
            gains nothing from a wait, so that its due time does not count.
        allowed_pause : float
            Longest pause that the streams on the chain accept, in seconds; 0 for any.

        Examples
        --------
        >>> estimate = ReadEstimate(0.4, 0.04, 0.2)
        >>> estimate.leaves_room(0.5, 0.25), estimate.leaves_room(0.3, 0.25)
        (True, False)
        >>> estimate.leaves_room(0.01, 0.25), estimate.leaves_room(0.5, 0.1)
        (True, False)
        """
        is_in_time = self.seconds <= time_left or self.idle_seconds > time_left
        return is_in_time and (not allowed_pause or self.pause <= allowed_pause)


def estimate_reading(
    spec: EngineSpec,
    parts: Parts,
    tokens: float,
    unread: Callable[[str], float],
    slowdown: Callable[[str], float] = lambda endpoint: 1.0,
    hop_ms: Callable[[str, str], float] = lambda origin, target: 0.0,
) -> ReadEstimate:
    """
    Estimate how a chain reads a prompt.

    A prompt passes from part to part; what was sent before it is read at all parts
    meanwhile.

    Parameters
    ----------
    spec : EngineSpec
        Specification of the engines.
    parts : Parts
        The chain.
    tokens : float
        Length of the prompt, in tokens.
    unread : callable
        Takes an endpoint id and returns the layer-tokens that are unread there.
    slowdown : callable
        Takes an endpoint id and returns its time relative to that of its kind.
    hop_ms : callable
        Takes two data centres and returns the time of the prompt between them, in ms.
    """
    now = idle = pause = 0.0
    origin = parts[0][0].data_centre
    for endpoint, span in parts:
        token_ms = read_ms(spec, endpoint.card, slowdown(endpoint.id))
        own = tokens * len(span) * token_ms
        waiting = unread(endpoint.id) * token_ms
        hop = hop_ms(origin, endpoint.data_centre) if endpoint != parts[0][0] else 0.0
        now = max(now + hop, waiting) + own
        idle += hop + own
        if waiting > 0.0:
            pause = max(pause, waiting + own)
        origin = endpoint.data_centre
    return ReadEstimate(now / 1000.0, idle / 1000.0, pause / 1000.0)
