"""Links between data centres."""

import attrs

from lentilhaven.core.ids import DataCentre


@attrs.frozen
class Link:
    """
    A directed link that activations cross.

    Attributes
    ----------
    source, target : str
        Data centres; equal for the link inside one data centre.
    latency : float
        Seconds, one way.
    rate : float
        Activations (one per token and stage) per second.
    """

    source: DataCentre
    target: DataCentre
    latency: float
    rate: float
