"""The search for the cheapest chain."""

from collections.abc import Callable, Sequence

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
    """

    endpoint: Endpoint
    layer_cost: float


@attrs.define
class Leg:
    """The cheapest way to a boundary in a data centre."""

    cost: float
    parts: int = 0
    endpoint: Endpoint | None = None
    start: int = 0
    before: "Leg | None" = None


def find_chain(
    layers: int,
    candidates: Sequence[Candidate],
    hop_cost: Callable[[str, str], float],
) -> Chain | None:
    """
    Return the cheapest chain over all layers, or None if there is none.

    Parameters
    ----------
    layers : int
        Layers of the model.
    candidates : sequence of Candidate
        Endpoints to choose from.
    hop_cost : callable
        Time that a request spends between two data centres, in ms.

    Examples
    --------
    >>> def held(name, start, end, cost):
    ...     span = LayerSpan(start, end)
    ...     return Candidate(Endpoint(name, "s", name, "z", layers=span), cost)
    >>> found = find_chain(
    ...     4, [held("a", 0, 3, 1.0), held("b", 2, 4, 0.1)], lambda a, b: 0.0
    ... )
    >>> [(part.id, span.start, span.end) for part, span in found.parts]
    [('a', 0, 2), ('b', 2, 4)]
    """
    held = [it for it in candidates if it.endpoint.layers is not None]
    boundaries = boundaries_of(layers, held)
    at: dict[int, dict[str, Leg]] = {0: {"": Leg(0.0)}}
    for boundary in boundaries[:-1]:
        legs = at.get(boundary)
        if legs:
            for candidate in held:
                extend(boundary, boundaries, candidate, legs, at, hop_cost)
    ends = at.get(layers)
    if not ends:
        return None
    return chain_of(min(ends.values(), key=lambda leg: leg.cost), layers)


def boundaries_of(layers: int, held: Sequence[Candidate]) -> list[int]:
    """Return the layers at which a chain may change endpoints, in order."""
    found = {0, layers}
    for candidate in held:
        span = candidate.endpoint.layers
        assert span is not None
        found |= {max(0, span.start), min(layers, span.end)}
    return sorted(found)


def extend(
    boundary: int,
    boundaries: list[int],
    candidate: Candidate,
    legs: dict[str, Leg],
    at: dict[int, dict[str, Leg]],
    hop_cost: Callable[[str, str], float],
) -> None:
    """Extend the ways to a boundary by one endpoint."""
    endpoint = candidate.endpoint
    span = endpoint.layers
    if span is None or not span.start <= boundary < span.end:
        return
    place = endpoint.data_centre
    best: Leg | None = None
    best_cost = 0.0
    for data_centre, leg in legs.items():
        if leg.endpoint is endpoint or leg.parts >= MOST_PARTS:
            continue
        cost = leg.cost + (hop_cost(data_centre, place) if leg.endpoint else 0.0)
        if best is None or cost < best_cost:
            best, best_cost = leg, cost
    if best is None:
        return
    for end in boundaries:
        if boundary < end <= span.end:
            cost = best_cost + candidate.layer_cost * (end - boundary)
            there = at.setdefault(end, {})
            known = there.get(place)
            if known is None or cost < known.cost:
                there[place] = Leg(cost, best.parts + 1, endpoint, boundary, best)


def chain_of(last: Leg, layers: int) -> Chain | None:
    """Return the chain that ends with a leg; None if an endpoint is in it twice."""
    parts = []
    end = layers
    leg: Leg | None = last
    while leg is not None and leg.endpoint is not None:
        parts.append((leg.endpoint, LayerSpan(leg.start, end)))
        end = leg.start
        leg = leg.before
    parts.reverse()
    if len({endpoint.address for endpoint, _ in parts}) < len(parts):
        return None
    return Chain(tuple(parts), last.cost)
