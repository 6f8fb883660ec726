"""Text description of the bound of a pool."""

from lentilhaven.pipelines.bound import Bound


def explain_bound(bound: Bound) -> list[str]:
    """
    Return lines of text that state a bound and the cut that limits it.

    Parameters
    ----------
    bound : Bound
        Bound to describe.

    Examples
    --------
    >>> explain_bound(Bound(0.0, [], []))
    ['bound: 0.0 generated tokens/s', 'no pipeline covers every layer']
    """
    lines = [f"bound: {bound.rate:.1f} generated tokens/s"]
    if bound.rate == 0:
        return [*lines, "no pipeline covers every layer"]
    for group in bound.groups:
        layers = group.key.layers
        lines.append(
            f"limited by layers {layers.start}..{layers.stop - 1} in "
            f"{group.key.data_centre}: {group.rate:.1f} tokens/s from "
            f"{', '.join(group.endpoints)}"
        )
    for link in bound.links:
        lines.append(
            f"limited by the link {link.key.source} -> {link.key.target} before "
            f"layer {link.key.boundary}: {link.rate:.1f} tokens/s"
        )
    return lines
