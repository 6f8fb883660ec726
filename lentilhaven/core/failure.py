"""Failures as values."""

import attrs
from expression import Result

from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step


@attrs.frozen
class Failure:
    """
    A failure that the program expects and handles.

    Attributes
    ----------
    step : Step
        The step at which it arose.
    peer : str
        The peer at which it arose, or an empty string for this process.
    kind : str
        A stable slug that programs may compare, such as ``"pool-saturated"``.
    detail : str
        An explanation for people.
    ran : Ran
        Whether the request has run.
    retry_after : float or None
        Seconds after which another try may help.

    Examples
    --------
    >>> print(Failure(Step.CONNECT, "engine-1", "refused", "connection refused"))
    connect at engine-1: refused: connection refused (ran: no)
    """

    step: Step
    peer: str
    kind: str
    detail: str
    ran: Ran = Ran.NO
    retry_after: float | None = None

    def __str__(self) -> str:
        """Return one line for logs and error messages."""
        place = f"{self.step.value} at {self.peer}" if self.peer else self.step.value
        return f"{place}: {self.kind}: {self.detail} (ran: {self.ran.value})"


class FailureError(Exception):
    """
    Carries a `Failure` through code that has no result to return it in.

    Parameters
    ----------
    failure : Failure
        What went wrong.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure


def join_failures(results: list[Result]) -> Failure | None:
    """
    Return one failure with the details of all that failed, or None.

    Parameters
    ----------
    results : list of Result
        Results of independent steps.

    Examples
    --------
    >>> from expression import Error, Ok
    >>> bad = [Error(Failure(Step.SETTINGS, "", "bad", text)) for text in "ab"]
    >>> join_failures([Ok(1), *bad]).detail
    'a; b'
    """
    failures = [result.error for result in results if result.is_error()]
    if not failures:
        return None
    detail = "; ".join(failure.detail for failure in failures)
    return attrs.evolve(failures[0], detail=detail)
