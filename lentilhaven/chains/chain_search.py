"""The search for the cheapest chain."""

from bisect import bisect_left
from collections.abc import Callable, Iterable, Sequence

import attrs

from lentilhaven.chains.chain import Chain
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.layer_span import LayerSpan

#: Most parts of a chain; the engines refuse longer ones.
MOST_PARTS = 32


@attrs.frozen
class Candidate:
    """
    An endpoint that may take part in a chain.

    Attributes
    ----------
    endpoint : Endpoint
        It holds layers.
    layer_cost : float
        Time that a request spends there on each layer, in ms.
    may_begin : bool
        Whether it may be the first part of a chain.
    """

    endpoint: Endpoint
    layer_cost: float
    may_begin: bool = True


@attrs.frozen
class Leg:
    """
    The cheapest way to enter a candidate at a layer.

    Attributes
    ----------
    candidate : Candidate
        Runs the layers from `start` on.
    start : int
        First layer that it runs.
    cost : float
        Cost of everything before, in ms.
    parts : int
        Parts of the chain so far, this one included.
    before : Leg or None
        The part before.
    """

    candidate: Candidate
    start: int
    cost: float
    parts: int
    before: "Leg | None" = None


def find_chain(
    wanted: LayerSpan,
    candidates: Sequence[Candidate],
    hop_cost: Callable[[str, str], float],
) -> Chain | None:
    """
    Return the cheapest chain over some layers, or None if there is none.

    Parameters
    ----------
    wanted : LayerSpan
        All layers of the model, or those of a part that is to be replaced.
    candidates : sequence of Candidate
        Endpoints to choose from.
    hop_cost : callable
        Time that a request spends between two data centres, in ms.

    Examples
    --------
    >>> def held(name, start, end, cost):
    ...     span = LayerSpan(start, end)
    ...     return Candidate(Endpoint(name, "s", name, "z", layers=span), cost)
    >>> both = [held("a", 0, 3, 1.0), held("b", 2, 4, 0.1)]
    >>> found = find_chain(LayerSpan(0, 4), both, lambda one, other: 0.0)
    >>> [(part.id, span.start, span.end) for part, span in found.parts]
    [('a', 0, 2), ('b', 2, 4)]
    """
    held = [it for it in candidates if it.endpoint.layers is not None]
    held.sort(key=lambda it: span_of(it).end)
    # The ends of the spans rise along a chain, so that no endpoint comes twice
    # and every way to a candidate is known before it is extended.
    start, layers = wanted.start, wanted.end
    legs: list[dict[int, Leg]] = [
        {start: Leg(it, start, 0.0, 1)}
        if it.may_begin and span_of(it).start <= start < span_of(it).end
        else {}
        for it in held
    ]
    best: Leg | None = None
    best_cost = 0.0
    for index, candidate in enumerate(held):
        end = span_of(candidate).end
        ways = Ways.of(candidate, legs[index].values())
        if end < layers:
            extend(ways, index, held, legs, hop_cost)
            continue
        leg = ways.best_before(layers)
        if leg is not None:
            cost = ways.cost_at(leg, layers)
            if best is None or cost < best_cost:
                best, best_cost = leg, cost
    return chain_of(best, layers, best_cost) if best is not None else None


def span_of(candidate: Candidate) -> LayerSpan:
    """Return the layers that a candidate holds."""
    span = candidate.endpoint.layers
    assert span is not None
    return span


@attrs.frozen
class Ways:
    """
    The ways to enter one candidate, of which few matter.

    What a way costs at a later layer differs from any other's by a constant, so
    that among those that begin before a layer one is the best for all that
    follows.

    Attributes
    ----------
    candidate : Candidate
        Which is entered.
    starts : list of int
        Layers at which it is entered, in order.
    bests : list of Leg
        The best way that begins at each of these layers or before.
    """

    candidate: Candidate
    starts: list[int]
    bests: list[Leg]

    @classmethod
    def of(cls, candidate: Candidate, legs: Iterable[Leg]) -> "Ways":
        """Return the ways that may be extended, in the order of their layers."""
        ways = cls(candidate, [], [])
        for leg in sorted(legs, key=lambda it: it.start):
            if leg.parts > MOST_PARTS:
                continue
            ways.starts.append(leg.start)
            known = ways.bests[-1] if ways.bests else None
            if known is None or leg.cost < ways.cost_at(known, leg.start):
                known = leg
            ways.bests.append(known)
        return ways

    def cost_at(self, leg: Leg, layer: int) -> float:
        """Return what a way costs up to a layer."""
        return leg.cost + self.candidate.layer_cost * (layer - leg.start)

    def best_before(self, layer: int) -> Leg | None:
        """Return the best way that begins before a layer."""
        count = bisect_left(self.starts, layer)
        return self.bests[count - 1] if count else None


def extend(
    ways: Ways,
    index: int,
    held: Sequence[Candidate],
    legs: list[dict[int, Leg]],
    hop_cost: Callable[[str, str], float],
) -> None:
    """Extend the ways to a candidate by each other one that may come next."""
    end = span_of(ways.candidate).end
    place = ways.candidate.endpoint.data_centre
    for after in range(index + 1, len(held)):
        following = held[after]
        span = span_of(following)
        if span.start > end or span.end == end:
            continue
        hop = hop_cost(place, following.endpoint.data_centre)
        # Costs are linear in the layers: changing as early or as late as
        # possible is never worse than anywhere between.
        for boundary in {end, span.start}:
            leg = ways.best_before(boundary)
            if leg is None or leg.parts >= MOST_PARTS:
                continue
            cost = hop + ways.cost_at(leg, boundary)
            known = legs[after].get(boundary)
            if known is None or cost < known.cost:
                legs[after][boundary] = Leg(
                    following, boundary, cost, leg.parts + 1, leg
                )


def chain_of(last: Leg, layers: int, cost: float) -> Chain:
    """Return the chain that ends with a leg."""
    parts = []
    end = layers
    leg: Leg | None = last
    while leg is not None:
        parts.append((leg.candidate.endpoint, LayerSpan(leg.start, end)))
        end = leg.start
        leg = leg.before
    return Chain(tuple(reversed(parts)), cost)
