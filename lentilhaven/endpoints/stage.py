"""Stages of a pipeline."""

import attrs

from lentilhaven.core.ids import EndpointId
from lentilhaven.tables.layer_range import LayerRange


@attrs.frozen
class Stage:
    """
    An engine and the layers that it runs for a request.

    Attributes
    ----------
    endpoint : str
        Id of the engine.
    url : str
        Base URL of the engine.
    layers : LayerRange
        The layers that it runs.
    import_from : str
        Base URL of an engine from which the KV cache of this request may be
        imported; empty to recompute it.
    """

    endpoint: EndpointId
    url: str
    layers: LayerRange
    import_from: str = ""
