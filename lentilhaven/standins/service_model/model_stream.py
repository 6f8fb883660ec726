"""One answer in the service-time model."""

from collections.abc import Callable

import attrs

from lentilhaven.core.ids import EndpointId, RequestId
from lentilhaven.pipelines.range_group import Member


@attrs.define(eq=False)
class ModelStream:
    """
    An answer that engines generate.

    Attributes
    ----------
    request : str
        Unique id.
    prompt : int
        Tokens of the prompt.
    length : int
        Tokens of the answer.
    path : list of Member
        Its pipeline.
    on_token : callable
        Called at the router with each token's arrival.
    on_loss : callable
        Called at the router with the endpoint that a predecessor found dead.
    prefix : str
        Names the first half of the prompt, which engines may have cached.
    attempt : int
        Work of earlier attempts is dropped.
    made, received : int
        Tokens generated, and those that the router has.
    rebuilding : set of str
        Endpoints that must run the whole context first.
    cached : int
        Stages that found the prefix in their cache.
    """

    request: RequestId
    prompt: int
    length: int
    path: list[Member]
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

    def kv_need(self, member: Member) -> float:
        """Return the KV memory that the whole answer takes at a stage."""
        return (self.prompt + self.length) * member.layers.size
