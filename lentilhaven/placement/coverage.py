"""How often each layer is held."""

import attrs

from lentilhaven.fleet.layer_span import LayerSpan

#: What a copy anywhere counts beside one in the same data centre: enough to
#: decide between layers that are held equally often there.
REMOTE_WEIGHT = 0.1

#: Each copy of a layer makes the next one worth this much less.
COPY_RATIO = 0.25

#: What a layer counts that is held nowhere, beside one that is missing in a data
#: centre only: without it nothing can be served.
MISSING_WEIGHT = 3.0

#: How much more a second copy counts where the only holder has all layers: the
#: more layers one engine holds alone, the more its loss takes away.
FRAGILITY = 1.0


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
    widths : dict
        Sum of the lengths of the spans that hold each layer, by data centre.
    total : list of int
        Copies of each layer over all data centres.
    """

    layers: int
    data_centres: int
    local: dict[str, list[int]] = attrs.field(factory=dict)
    widths: dict[str, list[int]] = attrs.field(factory=dict)
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
        widths = self.widths.setdefault(data_centre, [0] * self.layers)
        for layer in range(span.start, min(span.end, self.layers)):
            here[layer] += copies
            widths[layer] += copies * len(span)
            self.total[layer] += copies

    def gains(self, data_centre: str) -> list[float]:
        """
        Return what one more copy of each layer is worth in a data centre.

        A layer that is held nowhere counts most; then one that is missing there,
        since a chain that leaves a data centre is slower; then one whose only
        holder has many layers; then one that is rare everywhere.

        Examples
        --------
        >>> coverage = Coverage(3, 1)
        >>> coverage.add("a", LayerSpan(0, 2))
        >>> [round(gain, 2) for gain in coverage.gains("a")]
        [0.44, 0.44, 4.1]
        """
        here = self.of(data_centre)
        widths = self.widths.setdefault(data_centre, [0] * self.layers)
        return [
            self.gain(here[at], widths[at], self.total[at]) for at in range(self.layers)
        ]

    def gain(self, copies: int, width: int, total: int) -> float:
        """Return what one more copy of a layer is worth."""
        value = COPY_RATIO**copies
        if copies == 1:
            value *= 1.0 + FRAGILITY * width / self.layers
        value += REMOTE_WEIGHT * COPY_RATIO ** (total / max(1, self.data_centres))
        return value + (0.0 if total else MISSING_WEIGHT)
