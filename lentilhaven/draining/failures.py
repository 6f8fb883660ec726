"""Failures of requests at a process that stops."""

from lentilhaven.core.failure import Failure
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step

#: Seconds after which a caller whom a terminating process refuses may retry at another
#: one.
RETRY_AFTER = 0.02


def leaving_failure() -> Failure:
    """Return the failure of a request that a terminating process does not take."""
    detail = "this gateway is about to end"
    return Failure(Step.ADMIT, "", "leaving", detail, retry_after=RETRY_AFTER)


def cut_off_failure(may_have_run: bool) -> Failure:
    """
    Return the failure of a request that has not ended when the process must.

    Parameters
    ----------
    may_have_run : bool
        Whether the request has been sent to an endpoint that has not refused it.
    """
    if not may_have_run:
        return leaving_failure()
    detail = "this gateway ends and could not wait for the answer"
    return Failure(Step.SEND, "", "leaving", detail, Ran.UNKNOWN)
