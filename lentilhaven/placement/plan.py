"""The layers that each engine is to hold."""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from itertools import accumulate

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.engine_spec import EngineSpec
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.placement.coverage import Coverage

#: Share of the engines' stated memory for requests, in tokens, that must fit
#: beside the weights: a chain is only as wide as its narrowest part.
STATE_SHARE = 1.0

#: How many times as much an engine must be worth elsewhere to be moved: a move
#: costs a load, and its memory is of no use meanwhile.
MOVE_RATIO = 1.6

#: Most usual copies that one engine counts for.
MOST_COPIES = 2.0


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
            coverage.add(engine.data_centre, held, copies_of(spec, engine, held))
        elif spec.most_layers(engine.card) > 0:
            empty.append(engine)
    for engine in in_order(spec, empty):
        span = best_span(spec, engine, coverage)
        plan[engine.id] = span
        coverage.add(engine.data_centre, span, copies_of(spec, engine, span))
    return plan


def copies_of(spec: EngineSpec, engine: Endpoint, span: LayerSpan) -> float:
    """
    Return what an engine can serve of a range, in usual copies.

    It is the room for requests beside the weights against the usual room, less
    for slow cards: a request that takes longer holds its room for longer.
    """
    card = spec.cards.get(engine.card)
    usual = STATE_SHARE * spec.usual_state_tokens
    if card is None or not usual:
        return 1.0
    room = spec.tokens_beside(engine.card, len(span)) / usual
    fastest = min(kind.step_factor for kind in spec.cards.values())
    return min(MOST_COPIES, room) * math.sqrt(fastest / card.step_factor)


def plan_moves(
    spec: EngineSpec,
    engines: Iterable[Endpoint],
    plan: Mapping[str, LayerSpan],
    movable: Callable[[Endpoint], bool],
    most: int,
) -> dict[str, LayerSpan]:
    """
    Return ranges for engines that are worth much more elsewhere.

    Parameters
    ----------
    spec : EngineSpec
        The model.
    engines : iterable of Endpoint
        The engines that stay.
    plan : mapping
        What each of them holds or will hold, by id.
    movable : callable
        Returns whether an engine may be ordered now.
    most : int
        Most moves.

    Returns
    -------
    dict
        New range by the engine's id.
    """
    pool = [engine for engine in engines if engine.id in plan]
    coverage = Coverage(spec.layers, len({engine.data_centre for engine in pool}))
    for engine in pool:
        span = plan[engine.id]
        coverage.add(engine.data_centre, span, copies_of(spec, engine, span))
    moves: dict[str, LayerSpan] = {}
    while len(moves) < most:
        found = [
            move
            for engine in pool
            if engine.id not in moves
            and movable(engine)
            and (move := best_move(spec, engine, plan[engine.id], coverage))
        ]
        if not found:
            break
        _, engine, span = max(found, key=lambda move: (move[0], move[1].id))
        held = plan[engine.id]
        coverage.add(engine.data_centre, held, copies_of(spec, engine, held), -1)
        coverage.add(engine.data_centre, span, copies_of(spec, engine, span))
        moves[engine.id] = span
    return moves


def best_move(
    spec: EngineSpec, engine: Endpoint, held: LayerSpan, coverage: Coverage
) -> tuple[float, Endpoint, LayerSpan] | None:
    """Return the best move of an engine with its gain; None if it should stay."""
    copies = copies_of(spec, engine, held)
    coverage.add(engine.data_centre, held, copies, -1)
    gains = coverage.gains(engine.data_centre, settled=True)
    span = best_span(spec, engine, coverage, settled=True)
    coverage.add(engine.data_centre, held, copies)
    before, after = value_of(held, gains), value_of(span, gains)
    if after < MOVE_RATIO * before:
        return None
    # Loading takes time in proportion to the layers.
    return (after - before) / len(span), engine, span


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


def best_span(
    spec: EngineSpec, engine: Endpoint, coverage: Coverage, settled: bool = False
) -> LayerSpan:
    """
    Return the range whose copy in the engine's data centre is worth most.

    Parameters
    ----------
    spec, engine, coverage
        The engine, and who holds what beside it.
    settled : bool
        As in `Coverage.gains`.
    """
    size = min(spec.layers, size_of(spec, engine.card))
    sums = [0.0, *accumulate(coverage.gains(engine.data_centre, settled))]
    here = coverage.holders_in(engine.data_centre)

    def rank(start: int) -> tuple[float, int, int]:
        value = round(sums[start + size] - sums[start], 6)
        return value, touching(here, start, start + size), -start

    best = max(range(spec.layers - size + 1), key=rank)
    return LayerSpan(best, best + size)


def touching(copies: list[int], start: int, end: int) -> int:
    """
    Return at how many ends a range meets layers with more copies, or no layers.

    A range that begins or ends where others do leaves no gap that is too short
    for another engine.
    """
    left = start == 0 or copies[start - 1] > copies[start]
    right = end == len(copies) or copies[end] > copies[end - 1]
    return left + right


def value_of(span: LayerSpan, gains: list[float]) -> float:
    """Return what a copy of a range is worth."""
    return sum(gains[span.start : span.end])
