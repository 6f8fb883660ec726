"""How often each layer is held."""

import attrs

from lentilhaven.fleet.layer_span import LayerSpan

#: What a copy anywhere counts beside one in the same data centre: chains may leave
#: a data centre, at the cost of a hop.
REMOTE_WEIGHT = 1.0

#: Each copy of a layer makes the next one worth this much less.
COPY_RATIO = 0.25

#: What a layer counts that is held nowhere, beside one that is missing in a data
#: centre only: without it nothing can be served.
MISSING_WEIGHT = 3.0

#: A layer with fewer copies than the mean limits what the whole fleet can serve;
#: this is the power with which its lack counts.
NARROW_POWER = 3

#: Most that a lack counts, as the mean over the layer's copies.
MOST_NARROW = 2.5

#: Copies below which a layer counts as missing.
LEAST_COPY = 0.01

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
        Copies of each layer by data centre.  A copy counts as much as it can
        serve, so that the numbers are fractions.
    holders : dict
        Engines that hold each layer, by data centre.
    widths : dict
        Sum of the lengths of the spans that hold each layer, by data centre.
    total : list of float
        Copies of each layer over all data centres.
    """

    layers: int
    data_centres: int
    local: dict[str, list[float]] = attrs.field(factory=dict)
    holders: dict[str, list[int]] = attrs.field(factory=dict)
    widths: dict[str, list[int]] = attrs.field(factory=dict)
    total: list[float] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with no copies."""
        self.total = [0.0] * self.layers

    def of(self, data_centre: str) -> list[float]:
        """Return the copies of each layer in a data centre."""
        return self.local.setdefault(data_centre, [0.0] * self.layers)

    def holders_in(self, data_centre: str) -> list[int]:
        """Return the engines that hold each layer in a data centre."""
        return self.holders.setdefault(data_centre, [0] * self.layers)

    def add(
        self, data_centre: str, span: LayerSpan, copies: float = 1.0, sign: int = 1
    ) -> None:
        """
        Count an engine that holds a range.

        Parameters
        ----------
        data_centre : str
            Where it stands.
        span : LayerSpan
            What it holds.
        copies : float
            What it can serve, in usual copies.
        sign : int
            -1 to count one less.
        """
        here = self.of(data_centre)
        holders = self.holders_in(data_centre)
        widths = self.widths.setdefault(data_centre, [0] * self.layers)
        for layer in range(span.start, min(span.end, self.layers)):
            here[layer] += sign * copies
            holders[layer] += sign
            widths[layer] += sign * len(span)
            self.total[layer] += sign * copies

    def gains(self, data_centre: str, settled: bool = False) -> list[float]:
        """
        Return what one more copy of each layer is worth in a data centre.

        A layer that is held nowhere counts most; then one that is missing there,
        since a chain that leaves a data centre is slower; then one whose only
        holder has many layers; then one that is rare everywhere.

        Parameters
        ----------
        data_centre : str
            Where the copy would be.
        settled : bool
            Whether all engines are filled, so that a layer with few copies is
            one that limits the fleet and not one whose turn is still to come.

        Examples
        --------
        >>> coverage = Coverage(3, 1)
        >>> coverage.add("a", LayerSpan(0, 2))
        >>> [round(gain, 2) for gain in coverage.gains("a")]
        [0.67, 0.67, 5.0]
        """
        here = self.of(data_centre)
        holders = self.holders_in(data_centre)
        widths = self.widths.setdefault(data_centre, [0] * self.layers)
        mean = sum(self.total) / max(1, self.layers)
        return [
            self.gain(here[at], holders[at], widths[at], self.total[at])
            + (narrowness(mean, self.total[at]) if settled else 0.0)
            for at in range(self.layers)
        ]

    def gain(self, copies: float, holders: int, width: int, total: float) -> float:
        """Return what one more copy of a layer is worth, but for its narrowness."""
        value = COPY_RATIO ** max(0.0, copies)
        if holders == 1:
            value *= 1.0 + FRAGILITY * width / self.layers
        elsewhere = max(0.0, total) / max(1, self.data_centres)
        value += REMOTE_WEIGHT * COPY_RATIO**elsewhere
        return value + (MISSING_WEIGHT if total < LEAST_COPY else 0.0)


def narrowness(mean: float, total: float) -> float:
    """
    Return what it counts that a layer has fewer copies than the mean.

    Examples
    --------
    >>> narrowness(4.0, 4.0), narrowness(4.0, 2.0)
    (0.0, 7.0)
    """
    if total >= mean:
        return 0.0
    lack = min(MOST_NARROW, mean / max(total, LEAST_COPY))
    return lack**NARROW_POWER - 1.0
