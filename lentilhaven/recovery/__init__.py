"""
Recovery of streams whose engines have failed.

An answer is late after one long pause.  A silence counts as a fault early enough that
another run can go on within the pause that the caller accepts, but not so early that
usual variations count.
"""

from lentilhaven.recovery.silence_limit import (
    PauseEstimator,
    first_event_limit,
    latest_failure,
)

__all__ = ["PauseEstimator", "first_event_limit", "latest_failure"]
