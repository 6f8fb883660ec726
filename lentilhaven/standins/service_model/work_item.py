"""Work of one stream at one stage of its path."""

import attrs

from lentilhaven.standins.service_model.model_stream import ModelStream


@attrs.define(eq=False)
class WorkItem:
    """
    Tokens that a stage must run before the next stage can start.

    Attributes
    ----------
    stream : ModelStream
        Stream of the work.
    attempt : int
        Attempt of the stream that submitted the work.
    index : int
        Index of the stage in the path.
    tokens : int
        Number of tokens that remain to run; an item submitted with 1 is a decode.
    """

    stream: ModelStream
    attempt: int
    index: int
    tokens: int

    @property
    def stale(self) -> bool:
        """Return whether the stream has begun a newer attempt."""
        return self.attempt != self.stream.attempt
