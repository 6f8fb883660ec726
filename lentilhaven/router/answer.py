"""One request for a completion, from admission to its last token."""

import attrs

from lentilhaven.answers.answer_ledger import AnswerLedger
from lentilhaven.core.failure import Failure
from lentilhaven.core.ids import EndpointId, ModelVersion, RequestId, WorkspaceId
from lentilhaven.core.ran import Ran
from lentilhaven.endpoints.stage import Stage
from lentilhaven.endpoints.stage_progress import StageProgress
from lentilhaven.endpoints.stream_order import StreamOrder
from lentilhaven.router.completion_request import CompletionRequest
from lentilhaven.router.token_pace import TokenPace
from lentilhaven.tables.pool import Pool
from lentilhaven.tables.route import Route

Progress = dict[EndpointId, StageProgress | None]


@attrs.define
class Answer:
    """
    The state of one answer.

    Attributes
    ----------
    request : str
        Unique id.
    workspace : str
        Who asks.
    wanted : CompletionRequest
        What is asked.
    route : Route
        Rules in force when it was admitted.
    pool : Pool
        The pool that answers.
    version : str
        Model version, fixed for the whole answer.
    deadline : float
        Monotonic time at which it is due, in seconds.
    ledger : AnswerLedger
        Judges every piece.
    chain : list of Stage
        The pipeline of the current attempt.
    excluded : set of str
        Endpoints that failed this answer.
    pace : TokenPace or None
        Tells admission how fast its tokens come; None for a resumed answer.
    failures : int
        Failed attempts since the newest token.
    attempt_step : int
        By how much the number of the next attempt rises.
    maybe_ran : bool
        Whether an engine may have begun to work on it.
    ended_by : Failure or None
        Why it ended early.
    forward_from : int
        First position that the caller does not have, when it came back.
    progress : dict
        What each stage answered at the last examination; None for silence.
    """

    request: RequestId
    workspace: WorkspaceId
    wanted: CompletionRequest
    route: Route
    pool: Pool
    version: ModelVersion
    deadline: float
    ledger: AnswerLedger
    chain: list[Stage] = attrs.field(factory=list)
    excluded: set[EndpointId] = attrs.field(factory=set)
    failures: int = 0
    pace: TokenPace | None = None
    attempt_step: int = 1
    maybe_ran: bool = False
    ended_by: Failure | None = None
    forward_from: int = 0
    progress: Progress = attrs.field(factory=dict)

    @property
    def ran(self) -> Ran:
        """Return what is known of its execution."""
        if self.ledger.tokens:
            return Ran.YES
        return Ran.UNKNOWN if self.maybe_ran else Ran.NO

    def next_order(self, now: float) -> StreamOrder:
        """
        Begin another attempt and return its order.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        names = [stage.endpoint for stage in self.chain]
        attempt = self.ledger.begin_attempt(names, self.attempt_step)
        return StreamOrder(
            request=self.request,
            attempt=attempt,
            model=self.pool.model,
            version=self.version,
            chain=self.chain,
            prompt=self.wanted.prompt,
            generated=list(self.ledger.tokens),
            max_tokens=self.wanted.max_tokens,
            remaining=max(0.0, self.deadline - now),
        )
