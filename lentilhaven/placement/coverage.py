"""Copies of each layer, and the value of one more."""

import attrs

from lentilhaven.fleet.layer_span import LayerSpan

#: Weight of the mean number of copies per data centre, relative to the number in the
#: data centre of the new copy.  Remote copies count because a chain may leave a data
#: centre, at the cost of a hop.
REMOTE_WEIGHT = 1.0

#: Factor by which each copy of a layer reduces the value of the next one.
COPY_DECAY = 0.25

#: Value added for a layer that no engine in the whole fleet holds, since no request
#: can be served without the layer.  One that is missing only in a data centre gets no
#: such addition.
MISSING_WEIGHT = 3.0

#: Exponent of a layer's shortage: a layer with fewer copies than the mean limits
#: what the whole fleet can serve.
SHORTAGE_EXPONENT = 3

#: Upper limit of a layer's shortage, which is the mean number of copies per layer
#: divided by the number of copies of this layer.
MAX_SHORTAGE = 2.5

#: Number of copies below which a layer counts as missing.
MIN_COPIES = 0.01

#: Share of the engines that should hold the first layer.  Slots, named limits and
#: crashes on arrival bind the engine on which a chain begins, however many copies of
#: the other layers there are.
START_SHARE = 0.25

#: Value added for the first layer if no engine holds it; it falls to none as
#: `START_SHARE` is reached.
START_WEIGHT = 2.0

#: Relative value added to a second copy in a data centre if the only holder there has
#: all layers; if it has fewer, the addition is smaller in proportion.  The more layers
#: depend on a single engine, the more layers its loss takes away.
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
        Copies of each layer, by data centre.  An engine counts as more or less than
        one copy, depending on what it can serve, so that the numbers are fractions.
    holders : dict
        Number of engines that hold each layer, by data centre.
    holder_sizes : dict
        For each layer, the total number of layers of the engines that hold it, by
        data centre.
    engines : int
        Number of engines, also those without layers.
    total_copies : list of float
        Copies of each layer over all data centres.
    """

    layers: int
    data_centres: int
    engines: int = 0
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
            Capacity of the engine, in copies of a reference engine (see
            `lentilhaven.placement.plan.copies_of`).
        sign : int
            1 to add the engine, -1 to remove it.
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
            Whether all engines have been assigned layers.  Only then is value added
            for a layer with few copies, which limits the fleet; otherwise engines
            without layers may still add copies.

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
        gains = [
            self.base_gain(
                copies_here[layer],
                holders[layer],
                sizes[layer],
                self.total_copies[layer],
            )
            + (shortage_gain(mean, self.total_copies[layer]) if filled else 0.0)
            for layer in range(self.layers)
        ]
        gains[0] += self.start_gain()
        return gains

    def start_gain(self) -> float:
        """
        Return the value added for one more engine that holds the first layer.

        Examples
        --------
        >>> coverage = Coverage(3, 1, engines=8)
        >>> coverage.start_gain()
        2.0
        >>> coverage.add("a", LayerSpan(0, 2))
        >>> coverage.start_gain()
        1.0
        """
        wanted = START_SHARE * self.engines
        starts = sum(holders[0] for holders in self.holders.values())
        return START_WEIGHT * max(0.0, 1.0 - starts / wanted) if wanted else 0.0

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
            Number of engines that hold the layer there.
        holder_size : int
            Total number of layers of these engines.
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
