"""How far a stage has come with a request."""

import attrs

from lentilhaven.core.ids import EndpointId


@attrs.frozen
class StageProgress:
    """
    What a stage answers when it is asked for a request.

    Attributes
    ----------
    known : bool
        Whether it holds anything of the request.
    attempt : int
        Newest attempt that it has seen.
    made : int
        Tokens of the answer that it can send, at the head; 0 elsewhere.
    working : bool
        Whether it is computing for the request now.
    chain : list of str
        Endpoints of the newest attempt's chain, head first.
    """

    known: bool
    attempt: int = 0
    made: int = 0
    working: bool = False
    chain: list[EndpointId] = attrs.field(factory=list)
