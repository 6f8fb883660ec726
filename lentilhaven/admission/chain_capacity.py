"""Times in which engines read prompts."""

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
