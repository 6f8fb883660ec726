"""State of a completion request from admission to its last token."""

import attrs

from lentilhaven.answers.answer_ledger import AnswerLedger
from lentilhaven.core.failure import Failure
from lentilhaven.core.ids import EndpointId, ModelVersion, RequestId, WorkspaceId
from lentilhaven.core.ran import Ran
from lentilhaven.endpoints.stage import Stage
from lentilhaven.endpoints.stage_progress import StageProgress
from lentilhaven.endpoints.stream_order import StreamOrder
from lentilhaven.peering.subject import Subject
from lentilhaven.router.completion_request import CompletionRequest
from lentilhaven.router.crash_checks import prompt_subject
from lentilhaven.router.token_latency import TokenLatencyReporter
from lentilhaven.tables.pool import Pool
from lentilhaven.tables.route import Route

ProbeResults = dict[EndpointId, StageProgress | None]


@attrs.define
class Answer:
    """
    State of one answer.

    Attributes
    ----------
    request : str
        Unique id of the request.
    workspace : str
        Id of the workspace that sent the request.
    completion_request : CompletionRequest
        The parsed request.
    route : Route
        Route as it was at admission.
    pool : Pool
        Pool that generates the answer.
    version : str
        Model version, fixed for the whole answer.
    deadline : float
        Monotonic time by which the answer has to be complete, in seconds.
    ledger : AnswerLedger
        Decides which pieces are accepted, and holds the accepted tokens.
    chain : list of Stage
        Pipeline of the current attempt, head first; empty before it is chosen.
    excluded : set of str
        Endpoints that failed while working on this answer and are not used for it
        again, unless no chain is left without them.
    latency_reporter : TokenLatencyReporter or None
        Reports token latencies to admission control; None for a resumed answer.
    consecutive_failures : int
        Failed attempts since the newest token, except those that failed since a
        stage was silent.
    attempt_step : int
        Increment of the attempt number for the next attempt; large and random for
        a resumed answer (see `lentilhaven.router.resuming`).
    maybe_ran : bool
        Whether an engine may have started to execute the request.
    ended_by : Failure or None
        Failure that ended the answer early.
    forward_from : int
        Position of the first token to send to the caller; nonzero only if the
        caller has resumed the answer.
    probe_results : dict
        Progress that each stage reported when the stages were last probed because
        the stream was silent, by endpoint; None for a stage that did not respond.
    silent : set of str
        Endpoints that gave no sign when the stages were last probed: neither a
        response nor a refused or broken connection.
    subject : Subject
        The request as what may be at fault if an engine ends.
    """

    request: RequestId
    workspace: WorkspaceId
    completion_request: CompletionRequest
    route: Route
    pool: Pool
    version: ModelVersion
    deadline: float
    ledger: AnswerLedger
    chain: list[Stage] = attrs.field(factory=list)
    excluded: set[EndpointId] = attrs.field(factory=set)
    consecutive_failures: int = 0
    latency_reporter: TokenLatencyReporter | None = None
    attempt_step: int = 1
    maybe_ran: bool = False
    ended_by: Failure | None = None
    forward_from: int = 0
    probe_results: ProbeResults = attrs.field(factory=dict)
    silent: set[EndpointId] = attrs.field(factory=set)
    subject: Subject = attrs.field(init=False)

    @subject.default
    def make_subject(self) -> Subject:
        """Return the request as what may be at fault if an engine ends."""
        wanted = self.completion_request
        return prompt_subject(
            self.workspace, self.route, wanted.prompt, wanted.max_tokens
        )

    @property
    def ran(self) -> Ran:
        """Return whether the request was executed, as far as is known."""
        if self.ledger.tokens:
            return Ran.YES
        return Ran.UNKNOWN if self.maybe_ran else Ran.NO

    def begin_attempt(self, now: float) -> StreamOrder:
        """
        Start the next attempt on the current chain and return its stream order.

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
            prompt=self.completion_request.prompt,
            generated=list(self.ledger.tokens),
            max_tokens=self.completion_request.max_tokens,
            remaining=max(0.0, self.deadline - now),
        )
