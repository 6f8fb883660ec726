"""A range of layers."""

import attrs


@attrs.frozen(order=True)
class LayerSpan:
    """
    Consecutive layers of a model.

    Attributes
    ----------
    start, end : int
        First layer, and one past the last layer.

    Examples
    --------
    >>> LayerSpan(0, 8).contains(LayerSpan(2, 8)), len(LayerSpan(0, 8))
    (True, 8)
    """

    start: int
    end: int

    def __len__(self) -> int:
        """Return the number of layers."""
        return max(0, self.end - self.start)

    def contains(self, other: "LayerSpan") -> bool:
        """Return whether this range includes all layers of `other`."""
        return self.start <= other.start and other.end <= self.end
