"""How often each layer is held."""

import attrs

from lentilhaven.fleet.layer_span import LayerSpan

#: What a copy anywhere counts beside one in the same data centre: enough to
#: decide between layers that are held equally often there.
REMOTE_WEIGHT = 0.1

#: Each copy of a layer makes the next one worth this much less.
COPY_RATIO = 0.25


@attrs.define
class Coverage:
    """
    Copies of each layer, by data centre.

    Attributes
    ----------
    layers : int
        Layers of the model.
    data_centres : int
        Data centres with engines.
    local : dict
        Copies of each layer by data centre.
    total : list of int
        Copies of each layer over all data centres.
    """

    layers: int
    data_centres: int
    local: dict[str, list[int]] = attrs.field(factory=dict)
    total: list[int] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with no copies."""
        self.total = [0] * self.layers

    def of(self, data_centre: str) -> list[int]:
        """Return the copies of each layer in a data centre."""
        return self.local.setdefault(data_centre, [0] * self.layers)

    def add(self, data_centre: str, span: LayerSpan, copies: int = 1) -> None:
        """Count an engine that holds a range, or one less with -1."""
        here = self.of(data_centre)
        for layer in range(span.start, min(span.end, self.layers)):
            here[layer] += copies
            self.total[layer] += copies

    def gains(self, data_centre: str) -> list[float]:
        """
        Return what one more copy of each layer is worth in a data centre.

        A layer that is missing there counts most, since a chain that leaves a
        data centre is slower; then one that is rare everywhere.

        Examples
        --------
        >>> coverage = Coverage(3, 1)
        >>> coverage.add("a", LayerSpan(0, 2))
        >>> coverage.gains("a")
        [0.275, 0.275, 1.1]
        """
        here = self.of(data_centre)
        share = max(1, self.data_centres)
        return [
            COPY_RATIO**local + REMOTE_WEIGHT * COPY_RATIO ** (total / share)
            for local, total in zip(here, self.total, strict=True)
        ]
