"""Network links between data centres."""

import attrs

from lentilhaven.core.ids import DataCentre


@attrs.frozen
class Link:
    """
    Directed network link that transfers activations.

    Attributes
    ----------
    source, target : str
        Data centres; the same one for the link within a data centre.
    latency : float
        One-way latency in seconds.
    rate : float
        Activations per second; one activation per token and stage.
    """

    source: DataCentre
    target: DataCentre
    latency: float
    rate: float
