"""Report of an engine that a later stage of its chain has failed."""

import attrs

from lentilhaven.core.ids import EndpointId


@attrs.frozen
class StageLoss:
    """
    A stage that failed to respond to its predecessor.

    Attributes
    ----------
    endpoint : str
        Id of the engine that failed.
    detail : str
        Error as seen by the predecessor.
    """

    endpoint: EndpointId
    detail: str
