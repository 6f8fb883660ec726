"""An engine's notice that a later stage of its chain has failed."""

import attrs

from lentilhaven.core.ids import EndpointId


@attrs.frozen
class StageLoss:
    """
    A stage that did not answer its predecessor.

    Attributes
    ----------
    endpoint : str
        The stage that failed.
    detail : str
        What its predecessor saw.
    """

    endpoint: EndpointId
    detail: str
