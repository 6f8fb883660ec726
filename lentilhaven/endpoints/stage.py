"""One stage of a pipeline."""

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
        The engine.
    url : str
        Its base URL.
    layers : LayerRange
        The layers that it runs.
    import_from : str
        Base URL of an engine whose KV cache of this request may be imported;
        empty to rebuild.
    """

    endpoint: EndpointId
    url: str
    layers: LayerRange
    import_from: str = ""
