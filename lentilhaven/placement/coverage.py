"""Copies of each layer, and the value of one more."""

import attrs

from lentilhaven.fleet.layer_span import LayerSpan

#: Value of a copy anywhere relative to one in the same data centre: chains may leave
#: a data centre, at the cost of a hop.
REMOTE_WEIGHT = 1.0

#: Factor by which each copy of a layer reduces the value of the next one.
COPY_DECAY = 0.25

#: Value added for a layer that no engine holds, compared with one that is missing
#: only in a data centre: without it no request can be served.
MISSING_WEIGHT = 3.0

#: Exponent of a layer's shortage: a layer with fewer copies than the mean limits
#: what the whole fleet can serve.
SHORTAGE_EXPONENT = 3

#: Upper limit of a layer's shortage, the mean number of copies divided by its own.
MAX_SHORTAGE = 2.5

#: Number of copies below which a layer counts as missing.
MIN_COPIES = 0.01

#: Relative value added to a second copy if the only holder has all layers: the more
#: layers one engine holds alone, the more its loss takes away.
SOLE_HOLDER_WEIGHT = 1.0


@attrs.define
class Coverage:
    """
    Copies of each layer, by data centre.

    Attributes
    ----------
    layers : int
        Number of layers of the model.
    data_centres : int
        Number of data centres with engines.
    local_copies : dict
        Copies of each layer, by data centre.  A copy is weighted by what it can
        serve, so that the numbers are fractions.
    holders : dict
        Number of engines that hold each layer, by data centre.
    holder_sizes : dict
        For each layer, the sum of the layer counts of its holders, by data centre.
    total_copies : list of float
        Copies of each layer over all data centres.
    """

    layers: int
    data_centres: int
    local_copies: dict[str, list[float]] = attrs.field(factory=dict)
    holders: dict[str, list[int]] = attrs.field(factory=dict)
    holder_sizes: dict[str, list[int]] = attrs.field(factory=dict)
    total_copies: list[float] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with no copies."""
        self.total_copies = [0.0] * self.layers

    def copies_in(self, data_centre: str) -> list[float]:
        """Return the copies of each layer in a data centre."""
        return self.local_copies.setdefault(data_centre, [0.0] * self.layers)

    def holders_in(self, data_centre: str) -> list[int]:
        """Return the number of engines that hold each layer in a data centre."""
        return self.holders.setdefault(data_centre, [0] * self.layers)

    def add(
        self, data_centre: str, span: LayerSpan, copies: float = 1.0, sign: int = 1
    ) -> None:
        """
        Add an engine that holds a range of layers, or remove one.

        Parameters
        ----------
        data_centre : str
            Data centre of the engine.
        span : LayerSpan
            The range.
        copies : float
            What the engine can serve, in reference copies (see `copies_of`).
        sign : int
            -1 to remove the engine.
        """
        copies_here = self.copies_in(data_centre)
        holders = self.holders_in(data_centre)
        sizes = self.holder_sizes.setdefault(data_centre, [0] * self.layers)
        for layer in range(span.start, min(span.end, self.layers)):
            copies_here[layer] += sign * copies
            holders[layer] += sign
            sizes[layer] += sign * len(span)
            self.total_copies[layer] += sign * copies

    def gains(self, data_centre: str, filled: bool = False) -> list[float]:
        """
        Return the value of one more copy of each layer in a data centre.

        A layer that no engine holds has the highest value.  Next come a layer that
        is missing in the data centre, since a chain that leaves a data centre is
        slower, then a layer whose only holder has many layers, then a layer with few
        copies in the whole fleet.

        Parameters
        ----------
        data_centre : str
            Data centre of the copy.
        filled : bool
            Whether all engines hold layers.  If so, a layer with few copies limits
            the fleet; otherwise engines that are still to be filled may add copies.

        Examples
        --------
        >>> coverage = Coverage(3, 1)
        >>> coverage.add("a", LayerSpan(0, 2))
        >>> [round(gain, 2) for gain in coverage.gains("a")]
        [0.67, 0.67, 5.0]
        """
        copies_here = self.copies_in(data_centre)
        holders = self.holders_in(data_centre)
        sizes = self.holder_sizes.setdefault(data_centre, [0] * self.layers)
        mean = sum(self.total_copies) / max(1, self.layers)
        return [
            self.base_gain(
                copies_here[layer],
                holders[layer],
                sizes[layer],
                self.total_copies[layer],
            )
            + (shortage_gain(mean, self.total_copies[layer]) if filled else 0.0)
            for layer in range(self.layers)
        ]

    def base_gain(
        self, copies: float, holders: int, holder_size: int, total: float
    ) -> float:
        """
        Return the value of one more copy of a layer, without its shortage gain.

        Parameters
        ----------
        copies : float
            Copies of the layer in the data centre.
        holders : int
            Number of engines that hold it there.
        holder_size : int
            Sum of the layer counts of these engines.
        total : float
            Copies of the layer over all data centres.
        """
        value = COPY_DECAY ** max(0.0, copies)
        if holders == 1:
            value *= 1.0 + SOLE_HOLDER_WEIGHT * holder_size / self.layers
        elsewhere = max(0.0, total) / max(1, self.data_centres)
        value += REMOTE_WEIGHT * COPY_DECAY**elsewhere
        return value + (MISSING_WEIGHT if total < MIN_COPIES else 0.0)


def shortage_gain(mean: float, total: float) -> float:
    """
    Return the value added for a layer with fewer copies than the mean.

    Examples
    --------
    >>> shortage_gain(4.0, 4.0), shortage_gain(4.0, 2.0)
    (0.0, 7.0)
    """
    if total >= mean:
        return 0.0
    shortage = min(MAX_SHORTAGE, mean / max(total, MIN_COPIES))
    return shortage**SHORTAGE_EXPONENT - 1.0
