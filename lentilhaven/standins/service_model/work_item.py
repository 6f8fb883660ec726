"""Work of one stream at one stage."""

import attrs

from lentilhaven.standins.service_model.model_stream import ModelStream


@attrs.define(eq=False)
class WorkItem:
    """
    Tokens that a stage has to run before the next stage can.

    Attributes
    ----------
    stream : ModelStream
        The stream.
    attempt : int
        The attempt that it belongs to.
    index : int
        The stage's place in the path.
    tokens : int
        Tokens left to run; 1 while decoding.
    """

    stream: ModelStream
    attempt: int
    index: int
    tokens: int

    @property
    def stale(self) -> bool:
        """Return whether the stream has gone on without this work."""
        return self.attempt != self.stream.attempt
