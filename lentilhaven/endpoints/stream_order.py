"""Orders that start a stream at the head of a chain."""

import attrs

from lentilhaven.core.ids import ModelName, ModelVersion, RequestId
from lentilhaven.endpoints.stage import Stage


@attrs.frozen
class StreamOrder:
    """
    Input of the head of a chain for generating an answer.

    Attributes
    ----------
    request : str
        Id of the request, unique among all requests.
    attempt : int
        Number of the attempt, which rises by one with every chain that is tried for
        the request.
    model : str
        Name of the model to run.
    version : str
        Version of the model; an engine that holds another version refuses.
    chain : list of Stage
        Stages of the pipeline, head first.
    prompt : list of str
        Tokens of the prompt.
    generated : list of str
        Tokens that earlier attempts have generated and the caller may have received.
    max_tokens : int
        Maximum length of the whole answer, in tokens.
    remaining : float
        Time until the request's deadline, in seconds.
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
