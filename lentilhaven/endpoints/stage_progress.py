"""Progress of a stage on a request."""

import attrs

from lentilhaven.core.ids import EndpointId


@attrs.frozen
class StageProgress:
    """
    State of a request at a stage, as returned to a probe.

    Attributes
    ----------
    known : bool
        Whether the stage holds any state of the request.
    attempt : int
        Number of the newest attempt that the stage has seen.
    made : int
        Number of tokens of the answer that the stage can send if it is the head;
        otherwise 0.
    working : bool
        Whether the stage is computing for the request.
    chain : list of str
        Endpoint ids of the newest attempt's chain, head first.
    """

    known: bool
    attempt: int = 0
    made: int = 0
    working: bool = False
    chain: list[EndpointId] = attrs.field(factory=list)
