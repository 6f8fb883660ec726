"""Expected failures, represented as values."""

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
        The processing step that failed.
    peer : str
        The peer at which the step failed; empty for this process.
    kind : str
        A stable identifier that programs may compare, such as
        ``"pool-saturated"``.
    detail : str
        A human-readable explanation.
    ran : Ran
        Whether the request was executed.
    retry_after : float or None
        Seconds after which a retry may succeed.

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
        location = f"{self.step.value} at {self.peer}" if self.peer else self.step.value
        return f"{location}: {self.kind}: {self.detail} (ran: {self.ran.value})"


class FailureError(Exception):
    """
    Exception that carries a `Failure` where no `Result` can be returned.

    Parameters
    ----------
    failure : Failure
        The failure to report.
    """

    def __init__(self, failure: Failure) -> None:
        super().__init__(str(failure))
        self.failure = failure


def join_failures(results: list[Result]) -> Failure | None:
    """
    Combine the failures among some results into one; return None if there are none.

    The combined failure is the first one, with the details of all failures joined.

    Parameters
    ----------
    results : list of Result
        Results of independent operations.

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
