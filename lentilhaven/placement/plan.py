"""Plans which layers each engine holds."""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from itertools import accumulate

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.engine_spec import EngineSpec
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.placement.coverage import Coverage

#: Fraction of `EngineSpec.mean_kv_tokens` for which each engine must have memory
#: beside its weights: the engine with the least room limits a whole chain.
STATE_SHARE = 1.0

#: Minimum ratio of the value of an engine's new range to that of its present range at
#: which it is moved: loading layers takes time, in which its memory is of no use.
MIN_MOVE_RATIO = 1.6

#: Maximum number of reference copies for which one engine counts (see `copies_of`).
MAX_COPIES = 2.0


def plan_layers(
    spec: EngineSpec,
    engines: Iterable[Endpoint],
    pending: Mapping[str, LayerSpan],
) -> dict[str, LayerSpan]:
    """
    Return the range of layers that each engine is to hold.

    An engine with a pending order gets the range of the order, and any other engine
    that holds layers keeps its range.  The rest get a range one by one, the fastest
    first: each time the one with the largest total of `Coverage.gains`.

    Parameters
    ----------
    spec : EngineSpec
        The model, and the kinds of accelerators.
    engines : iterable of Endpoint
        The engines to plan for.
    pending : mapping
        Ranges of orders that have not taken effect yet, by engine id.

    Returns
    -------
    dict
        Range by engine id.  An engine without layers and without an order has none if
        its kind is unknown or its memory is too small for one layer.
    """
    engine_list = list(engines)
    data_centres = {engine.data_centre for engine in engine_list}
    coverage = Coverage(spec.layers, len(data_centres), len(engine_list))
    plan: dict[str, LayerSpan] = {}
    empty = []
    for engine in engine_list:
        held = pending.get(engine.id) or engine.layers
        if held:
            plan[engine.id] = held
            coverage.add(engine.data_centre, held, copies_of(spec, engine, held))
        elif spec.max_layers(engine.card) > 0:
            empty.append(engine)
    for engine in fill_order(spec, empty):
        span = best_span(spec, engine, coverage)
        plan[engine.id] = span
        coverage.add(engine.data_centre, span, copies_of(spec, engine, span))
    return plan


def copies_of(spec: EngineSpec, engine: Endpoint, span: LayerSpan) -> float:
    """
    Return what an engine can serve of a range, in reference copies.

    The result is the number of tokens whose KV cache fits beside the weights, relative
    to the reference `EngineSpec.mean_kv_tokens`, and at most `MAX_COPIES`.  It is
    reduced for slow accelerators, since a request that takes longer holds its memory
    for longer.  Without a known accelerator type or reference it is 1.
    """
    card = spec.cards.get(engine.card)
    reference = STATE_SHARE * spec.mean_kv_tokens
    if card is None or not reference:
        return 1.0
    relative_tokens = spec.max_cached_tokens(engine.card, len(span)) / reference
    fastest = min(kind.step_factor for kind in spec.cards.values())
    return min(MAX_COPIES, relative_tokens) * math.sqrt(fastest / card.step_factor)


def plan_moves(
    spec: EngineSpec,
    engines: Iterable[Endpoint],
    plan: Mapping[str, LayerSpan],
    is_movable: Callable[[Endpoint], bool],
    max_moves: int,
) -> dict[str, LayerSpan]:
    """
    Return new ranges for engines that add much more value with these than at present.

    Parameters
    ----------
    spec : EngineSpec
        The model, and the kinds of accelerators.
    engines : iterable of Endpoint
        The engines to plan for.
    plan : mapping
        Range that each of them holds or will hold, by engine id.
    is_movable : callable
        Returns whether an engine may be ordered now.
    max_moves : int
        Maximum number of moves.

    Returns
    -------
    dict
        New range by engine id.
    """
    planned = [engine for engine in engines if engine.id in plan]
    data_centres = {engine.data_centre for engine in planned}
    coverage = Coverage(spec.layers, len(data_centres), len(planned))
    for engine in planned:
        span = plan[engine.id]
        coverage.add(engine.data_centre, span, copies_of(spec, engine, span))
    moves: dict[str, LayerSpan] = {}
    while len(moves) < max_moves:
        found = [
            move
            for engine in planned
            if engine.id not in moves
            and is_movable(engine)
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
    """
    Return the best move of an engine.

    Returns
    -------
    tuple of (float, Endpoint, LayerSpan) or None
        Gain in value per layer to load, the engine, and its new range; None if the
        engine should keep its range.
    """
    copies = copies_of(spec, engine, held)
    coverage.add(engine.data_centre, held, copies, -1)
    gains = coverage.gains(engine.data_centre, filled=True)
    span = best_span(spec, engine, coverage, filled=True)
    coverage.add(engine.data_centre, held, copies)
    before, after = value_of(held, gains), value_of(span, gains)
    if after < MIN_MOVE_RATIO * before:
        return None
    # Loading takes time in proportion to the number of layers.
    return (after - before) / len(span), engine, span


def fill_order(spec: EngineSpec, engines: list[Endpoint]) -> list[Endpoint]:
    """Return engines, the fastest first, and each type by data centre in turn."""
    counts: dict[tuple[str, str], int] = defaultdict(int)
    keyed = []
    for engine in sorted(engines, key=lambda engine: engine.id):
        group = (engine.card, engine.data_centre)
        step_factor = spec.cards[engine.card].step_factor
        keyed.append(
            (step_factor, counts[group], engine.data_centre, engine.id, engine)
        )
        counts[group] += 1
    return [entry[-1] for entry in sorted(keyed, key=lambda entry: entry[:-1])]


def target_size(spec: EngineSpec, card: str) -> int:
    """
    Return how many layers an engine of a kind should hold.

    The KV cache of the reference number of tokens must fit beside the layers.  If it
    does not fit beside a single one, the result is 1, or 0 if the weights of a single
    layer do not fit either.
    """
    tokens = STATE_SHARE * spec.mean_kv_tokens
    return spec.max_layers(card, tokens) or min(1, spec.max_layers(card))


def order_size(spec: EngineSpec, card: str) -> int:
    """Return how many layers an engine of a kind is ordered to hold."""
    return min(spec.layers, target_size(spec, card))


def best_span(
    spec: EngineSpec, engine: Endpoint, coverage: Coverage, filled: bool = False
) -> LayerSpan:
    """
    Return the range whose copy in the engine's data centre has the largest value.

    Of ranges with the same value, those with more aligned ends are preferred (see
    `count_aligned_ends`), and of these the first.

    Parameters
    ----------
    spec : EngineSpec
        The model, and the kinds of accelerators.
    engine : Endpoint
        The engine.
    coverage : Coverage
        Copies that the other engines hold.
    filled : bool
        As in `Coverage.gains`.
    """
    size = order_size(spec, engine.card)
    sums = [0.0, *accumulate(coverage.gains(engine.data_centre, filled))]
    holders = coverage.holders_in(engine.data_centre)

    def rank(start: int) -> tuple[float, int, int]:
        value = round(sums[start + size] - sums[start], 6)
        return value, count_aligned_ends(holders, start, start + size), -start

    best = max(range(spec.layers - size + 1), key=rank)
    return LayerSpan(best, best + size)


def count_aligned_ends(holders: list[int], start: int, end: int) -> int:
    """
    Return at how many ends a range meets layers with more holders, or the model's end.

    A range that begins or ends where other ranges do leaves no gap that is too short
    for another engine.
    """
    left = start == 0 or holders[start - 1] > holders[start]
    right = end == len(holders) or holders[end] > holders[end - 1]
    return left + right


def value_of(span: LayerSpan, gains: list[float]) -> float:
    """Return the value of a copy of a range: the sum of the gains of its layers."""
    return sum(gains[span.start : span.end])
