"""A caller of one simulated request, who may return after a refusal."""

import attrs

from lentilhaven.bench.policy.request_record import RequestRecord


@attrs.define(eq=False)
class Caller:
    """
    A caller of one request; times are in seconds of virtual time.

    Attributes
    ----------
    record : RequestRecord
        Times of the request; `arrived` is that of the last attempt.
    priority : int
        Priority; 0 is the most urgent.
    target : float
        Seconds from an attempt to its first token within which it is in time.
    came : float
        Time of the first attempt.
    leaves : float
        Time at which the caller leaves.
    """

    record: RequestRecord
    priority: int
    target: float
    came: float
    leaves: float

    @property
    def in_time(self) -> bool:
        """Return whether the first token of the last attempt was in time."""
        return self.record.time_to_first_token <= self.target

    @property
    def in_time_at_first(self) -> bool:
        """Return whether the first token was in time for the first attempt."""
        first_token = self.record.first_token
        return first_token is not None and first_token - self.came <= self.target
