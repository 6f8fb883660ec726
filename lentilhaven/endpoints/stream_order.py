"""The order that starts a stream at the head of a chain."""

import attrs

from lentilhaven.core.ids import ModelName, ModelVersion, RequestId
from lentilhaven.endpoints.stage import Stage


@attrs.frozen
class StreamOrder:
    """
    What the head of a chain needs to generate an answer.

    Attributes
    ----------
    request : str
        Unique over all requests.
    attempt : int
        Rises by one with every chain that is tried for the request.
    model : str
        Model to run.
    version : str
        Version of the model; an engine refuses any other.
    chain : list of Stage
        The pipeline, head first.
    prompt : list of str
        Tokens of the prompt.
    generated : list of str
        Tokens that earlier attempts have generated and the caller may have.
    max_tokens : int
        Length of the whole answer at which generation stops.
    remaining : float
        Seconds until the request's deadline.
    priority : str
        Priority class.
    """

    request: RequestId
    attempt: int
    model: ModelName
    version: ModelVersion
    chain: list[Stage]
    prompt: list[str]
    generated: list[str]
    max_tokens: int
    remaining: float
    priority: str = "normal"
