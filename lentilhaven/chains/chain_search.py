"""Search for the cheapest chain of endpoints."""

from bisect import bisect_left
from collections.abc import Callable, Iterable, Sequence

import attrs

from lentilhaven.chains.chain import Chain
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.layer_span import LayerSpan

#: Maximum number of parts of a chain; the engines refuse longer ones.
MAX_PARTS = 32


@attrs.frozen
class Candidate:
    """
    An endpoint that may be part of a chain.

    Attributes
    ----------
    endpoint : Endpoint
        The endpoint; one without layers is ignored.
    layer_cost : float
        Time that a request spends on each layer at the endpoint, in ms.
    may_begin : bool
        Whether the endpoint may be the first part of a chain.
    prompt_cost : float
        Part of `layer_cost` in which the prompt is read, in ms.
    load : float
        Number of requests that the endpoint is expected to run.
    memory_use : float
        Share of its KV memory that is expected to be in use.
    """

    endpoint: Endpoint
    layer_cost: float
    may_begin: bool = True
    prompt_cost: float = 0.0
    load: float = 0.0
    memory_use: float = 0.0


@attrs.frozen
class PartialChain:
    """
    The cheapest chain so far that enters a candidate at a given layer.

    Attributes
    ----------
    candidate : Candidate
        Last part; it runs the layers from `start` on.
    start : int
        First layer that the candidate runs.
    cost : float
        Cost of all layers before `start` and of all hops, in ms.
    part_count : int
        Number of parts, the candidate included.
    predecessor : PartialChain or None
        The chain up to the part before; None for the first part.
    """

    candidate: Candidate
    start: int
    cost: float
    part_count: int
    predecessor: "PartialChain | None" = None


def find_chain(
    layers: LayerSpan,
    candidates: Sequence[Candidate],
    hop_cost: Callable[[str, str], float],
    start_cost: Callable[[str], float] = lambda data_centre: 0.0,
) -> Chain | None:
    """
    Return the cheapest chain over a range of layers, or None if there is none.

    A chain has at most `MAX_PARTS` parts.

    Parameters
    ----------
    layers : LayerSpan
        All layers of the model, or those of a part that is to be replaced.
    candidates : sequence of Candidate
        Endpoints to choose from.
    hop_cost : callable
        Takes two data centres and returns the time that a request spends on a hop
        from the first to the second, in ms.
    start_cost : callable
        Takes a data centre and returns the cost of a chain that begins there, in ms.

    Examples
    --------
    >>> def make_candidate(name, start, end, cost):
    ...     span = LayerSpan(start, end)
    ...     return Candidate(Endpoint(name, "s", name, "z", layers=span), cost)
    >>> both = [make_candidate("a", 0, 3, 1.0), make_candidate("b", 2, 4, 0.1)]
    >>> found = find_chain(LayerSpan(0, 4), both, lambda origin, target: 0.0)
    >>> [(part.id, span.start, span.end) for part, span in found.parts]
    [('a', 0, 2), ('b', 2, 4)]
    """
    holders = [it for it in candidates if it.endpoint.layers is not None]
    holders.sort(key=lambda it: held_layers(it).end)
    # The ends of the held ranges increase along a chain.  No endpoint can therefore
    # occur twice, and all entries of a candidate are known before it is extended.
    start, end = layers.start, layers.end
    entries: list[dict[int, PartialChain]] = [
        {start: PartialChain(it, start, start_cost(it.endpoint.data_centre), 1)}
        if it.may_begin and held_layers(it).start <= start < held_layers(it).end
        else {}
        for it in holders
    ]
    best: PartialChain | None = None
    best_cost = 0.0
    for index, candidate in enumerate(holders):
        held_end = held_layers(candidate).end
        ways = Ways.build(candidate, entries[index].values())
        if held_end < end:
            extend_chains(ways, index, holders, entries, hop_cost)
            continue
        partial = ways.cheapest_before(end)
        if partial is not None:
            cost = ways.cost_at(partial, end)
            if best is None or cost < best_cost:
                best, best_cost = partial, cost
    return build_chain(best, end, best_cost) if best is not None else None


def held_layers(candidate: Candidate) -> LayerSpan:
    """Return the layers that a candidate's endpoint holds."""
    span = candidate.endpoint.layers
    assert span is not None
    return span


@attrs.frozen
class Ways:
    """
    The partial chains that enter one candidate, indexed by entry layer.

    The costs of two entries differ by the same amount at every later layer.  The
    cheapest of the entries before a layer is therefore the cheapest for all layers
    that follow, and the others can be dropped.

    Attributes
    ----------
    candidate : Candidate
        The candidate that the partial chains enter.
    starts : list of int
        Layers at which the partial chains enter it, in ascending order.
    cheapest : list of PartialChain
        For each of these layers, the cheapest entry at this layer or an earlier one.
    """

    candidate: Candidate
    starts: list[int]
    cheapest: list[PartialChain]

    @classmethod
    def build(cls, candidate: Candidate, entries: Iterable[PartialChain]) -> "Ways":
        """Index the entries that have at most `MAX_PARTS` parts."""
        ways = cls(candidate, [], [])
        for partial in sorted(entries, key=lambda it: it.start):
            if partial.part_count > MAX_PARTS:
                continue
            ways.starts.append(partial.start)
            best = ways.cheapest[-1] if ways.cheapest else None
            if best is None or partial.cost < ways.cost_at(best, partial.start):
                best = partial
            ways.cheapest.append(best)
        return ways

    def cost_at(self, partial: PartialChain, layer: int) -> float:
        """Return the cost of a partial chain up to a layer, in ms."""
        return partial.cost + self.candidate.layer_cost * (layer - partial.start)

    def cheapest_before(self, layer: int) -> PartialChain | None:
        """Return the cheapest entry before a layer, or None if there is none."""
        count = bisect_left(self.starts, layer)
        return self.cheapest[count - 1] if count else None


def extend_chains(
    ways: Ways,
    index: int,
    holders: Sequence[Candidate],
    entries: list[dict[int, PartialChain]],
    hop_cost: Callable[[str, str], float],
) -> None:
    """
    Extend the partial chains of a candidate by each candidate that can follow it.

    Parameters
    ----------
    ways : Ways
        Partial chains that enter the candidate.
    index : int
        Position of the candidate in `holders`.
    holders : sequence of Candidate
        All candidates, in ascending order of the end of their layers.
    entries : list of dict
        For each candidate, the cheapest partial chain by entry layer; updated here.
    hop_cost : callable
        As in `find_chain`.
    """
    end = held_layers(ways.candidate).end
    data_centre = ways.candidate.endpoint.data_centre
    for next_index in range(index + 1, len(holders)):
        following = holders[next_index]
        span = held_layers(following)
        if span.start > end or span.end == end:
            continue
        hop = hop_cost(data_centre, following.endpoint.data_centre)
        # The cost is linear in the boundary between the two, so that the earliest or
        # the latest possible boundary is at least as good as any between them.
        for boundary in {end, span.start}:
            partial = ways.cheapest_before(boundary)
            if partial is None or partial.part_count >= MAX_PARTS:
                continue
            cost = hop + ways.cost_at(partial, boundary)
            known = entries[next_index].get(boundary)
            if known is None or cost < known.cost:
                entries[next_index][boundary] = PartialChain(
                    following, boundary, cost, partial.part_count + 1, partial
                )


def build_chain(last: PartialChain, end: int, cost: float) -> Chain:
    """Return the complete chain that ends with a partial chain's candidate."""
    parts = []
    part_end = end
    partial: PartialChain | None = last
    while partial is not None:
        parts.append((partial.candidate.endpoint, LayerSpan(partial.start, part_end)))
        part_end = partial.start
        partial = partial.predecessor
    return Chain(tuple(reversed(parts)), cost)
