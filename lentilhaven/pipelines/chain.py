"""Draws a chain at random among all that cover the model."""

import random
from collections import defaultdict

import attrs

from lentilhaven.core.ids import EndpointId
from lentilhaven.tables.layer_range import LayerRange


@attrs.frozen
class Candidate:
    """
    An endpoint that may take part in a chain.

    Attributes
    ----------
    endpoint : str
        The endpoint.
    layers : LayerRange
        Layers that it holds.
    weight : float
        Relative chance among endpoints that start at the same layer.
    """

    endpoint: EndpointId
    layers: LayerRange
    weight: float = 1.0


def draw_chain(
    candidates: list[Candidate], layer_count: int, random: random.Random
) -> list[Candidate] | None:
    """
    Draw a chain that covers ``0..layer_count``; None if there is none.

    Parameters
    ----------
    candidates : list of Candidate
        Endpoints that may be used.
    layer_count : int
        Number of layers of the model.
    random : random.Random
        Source of chance.

    Examples
    --------
    >>> import random
    >>> source = random.Random(1)
    >>> halves = [Candidate("a", LayerRange(0, 4)), Candidate("b", LayerRange(4, 8))]
    >>> [it.endpoint for it in draw_chain(halves, 8, source)]
    ['a', 'b']
    >>> draw_chain(halves[:1], 8, source) is None
    True
    """
    starts: dict[int, list[Candidate]] = defaultdict(list)
    for candidate in candidates:
        starts[candidate.layers.start].append(candidate)
    reachable = boundaries_to_end(starts, layer_count)
    if 0 not in reachable:
        return None
    chain: list[Candidate] = []
    position = 0
    while position < layer_count:
        options = [it for it in starts[position] if it.layers.stop in reachable]
        weights = [it.weight for it in options]
        chosen = random.choices(options, weights)[0]
        chain.append(chosen)
        position = chosen.layers.stop
    return chain


def boundaries_to_end(starts: dict[int, list[Candidate]], layer_count: int) -> set[int]:
    """
    Return the boundaries from which the last layer can be reached.

    Parameters
    ----------
    starts : dict
        Candidates by their first layer.
    layer_count : int
        Number of layers of the model.
    """
    reachable = {layer_count}
    for boundary in range(layer_count - 1, -1, -1):
        if any(it.layers.stop in reachable for it in starts.get(boundary, ())):
            reachable.add(boundary)
    return reachable
