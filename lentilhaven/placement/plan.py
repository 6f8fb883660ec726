"""The layers that each engine is to hold."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from itertools import accumulate

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.engine_spec import EngineSpec
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.placement.coverage import Coverage

#: Share of the engines' stated memory for requests, in tokens, that must fit
#: beside the weights: a chain is only as wide as its narrowest part.
STATE_SHARE = 0.5


def plan_layers(
    spec: EngineSpec,
    engines: Iterable[Endpoint],
    ordered: Mapping[str, LayerSpan],
) -> dict[str, LayerSpan]:
    """
    Return the range that each engine is to hold.

    Engines that hold layers, or have been ordered to, keep them; the others are
    filled one after the other, the fastest first, each where a copy of its
    layers is worth most.

    Parameters
    ----------
    spec : EngineSpec
        The model, and the kinds of accelerators.
    engines : iterable of Endpoint
        The engines that stay.
    ordered : mapping
        Ranges that were ordered and do not show yet, by the engine's id.

    Returns
    -------
    dict
        Range by the engine's id.  An engine of an unknown kind has none.
    """
    pool = list(engines)
    centres = {engine.data_centre for engine in pool}
    coverage = Coverage(spec.layers, len(centres))
    plan: dict[str, LayerSpan] = {}
    empty = []
    for engine in pool:
        held = ordered.get(engine.id) or engine.layers
        if held:
            plan[engine.id] = held
            coverage.add(engine.data_centre, held)
        elif spec.most_layers(engine.card) > 0:
            empty.append(engine)
    for engine in in_order(spec, empty):
        span = best_span(spec, engine, coverage)
        plan[engine.id] = span
        coverage.add(engine.data_centre, span)
    return plan


def in_order(spec: EngineSpec, engines: list[Endpoint]) -> list[Endpoint]:
    """Return engines by speed, and within a kind by data centre in turn."""
    turns: dict[tuple[str, str], int] = defaultdict(int)
    keyed = []
    for engine in sorted(engines, key=lambda it: it.id):
        place = (engine.card, engine.data_centre)
        pace = spec.cards[engine.card].step_factor
        keyed.append((pace, turns[place], engine.data_centre, engine.id, engine))
        turns[place] += 1
    return [entry[-1] for entry in sorted(keyed, key=lambda entry: entry[:-1])]


def size_of(spec: EngineSpec, card: str) -> int:
    """Return how many layers an engine of a kind should hold."""
    room = STATE_SHARE * spec.usual_state_tokens
    return spec.most_layers(card, room) or min(1, spec.most_layers(card))


def best_span(spec: EngineSpec, engine: Endpoint, coverage: Coverage) -> LayerSpan:
    """Return the range whose copy in the engine's data centre is worth most."""
    size = min(spec.layers, size_of(spec, engine.card))
    sums = [0.0, *accumulate(coverage.gains(engine.data_centre))]
    starts = range(spec.layers - size + 1)
    best = max(starts, key=lambda start: (sums[start + size] - sums[start], -start))
    return LayerSpan(best, best + size)
