"""Contiguous ranges of model layers."""

import attrs


@attrs.frozen(order=True)
class LayerRange:
    """
    The layers ``start, start + 1, ..., stop - 1`` of a model.

    Attributes
    ----------
    start : int
        Index of the first layer, counted from 0.
    stop : int
        Index after the last layer.

    Raises
    ------
    ValueError
        If the range is empty or starts below 0.

    Examples
    --------
    >>> LayerRange(0, 8).size
    8
    >>> LayerRange(8, 8)
    Traceback (most recent call last):
        ...
    ValueError: a layer range needs 0 <= start < stop, not [8, 8)
    """

    start: int
    stop: int

    def __attrs_post_init__(self) -> None:
        """Reject empty ranges and negative indices."""
        if not 0 <= self.start < self.stop:
            raise ValueError(
                "a layer range needs 0 <= start < stop, "
                f"not [{self.start}, {self.stop})"
            )

    @property
    def size(self) -> int:
        """Return the number of layers."""
        return self.stop - self.start


def covers_layers_once(ranges: list[LayerRange], layer_count: int) -> bool:
    """
    Return whether `ranges`, in order, cover ``0..layer_count`` exactly once.

    Parameters
    ----------
    ranges : list of LayerRange
        Ranges in order of execution.
    layer_count : int
        Number of layers of the model.

    Examples
    --------
    >>> covers_layers_once([LayerRange(0, 4), LayerRange(4, 8)], 8)
    True
    >>> covers_layers_once([LayerRange(0, 4), LayerRange(3, 8)], 8)
    False
    >>> covers_layers_once([LayerRange(4, 8), LayerRange(0, 4)], 8)
    False
    """
    position = 0
    for layers in ranges:
        if layers.start != position:
            return False
        position = layers.stop
    return position == layer_count
