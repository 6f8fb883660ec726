"""Generation of one answer in the service-time model."""

from collections.abc import Callable

import attrs

from lentilhaven.core.ids import EndpointId, RequestId
from lentilhaven.pipelines.range_group import GroupMember


@attrs.define(eq=False)
class ModelStream:
    """
    Generation of one answer by the engines of a path.

    Attributes
    ----------
    request : str
        Unique id of the request.
    prompt : int
        Length of the prompt, in tokens.
    length : int
        Length of the answer, in tokens.
    path : list of GroupMember
        Stages of the pipeline, first stage first.
    on_token : callable
        Called with the stream when a token arrives at the router.
    on_loss : callable
        Called with the stream and a failed endpoint when the router learns of it.
    prefix : str
        Key under which engines cache the first half of the prompt; empty for none.
    attempt : int
        Number of the current attempt; work of earlier attempts is discarded.
    made, received : int
        Number of tokens of the answer generated, and received by the router.
    rebuilding : set of str
        Endpoints that must run the whole context before the next token.
    cached : int
        Number of times that a stage found the prefix in its cache.
    """

    request: RequestId
    prompt: int
    length: int
    path: list[GroupMember]
    on_token: Callable[["ModelStream"], None]
    on_loss: Callable[["ModelStream", EndpointId], None]
    prefix: str = ""
    attempt: int = 1
    made: int = 0
    received: int = 0
    rebuilding: set[EndpointId] = attrs.field(factory=set)
    cached: int = 0

    @property
    def done(self) -> bool:
        """Return whether every token has been generated."""
        return self.made >= self.length

    def kv_required(self, member: GroupMember) -> float:
        """
        Return the KV memory that the whole stream takes at a stage.

        The unit is layers times tokens.
        """
        return (self.prompt + self.length) * member.layers.size
