"""The runs of a stream, and which of them delivers events."""

import attrs

from lentilhaven.admission.unread_prompts import PromptReading
from lentilhaven.chains.chain import Chain
from lentilhaven.crashes.run_log import RunRecord
from lentilhaven.upstream.connection import UpstreamConnection
from lentilhaven.upstream.exchange import Exchange, UpstreamError


@attrs.define(eq=False)
class StreamRun:
    """
    One run of a stream.

    Attributes
    ----------
    chain : Chain
        The chain on which the request runs now.
    exchange : Exchange
        The exchange with the first engine of the chain.
    record : RunRecord
        The record of the run, by which it is found if one of its engines ends.
    silent_since : float
        Start of the current silence: event loop time of the last event, or of the
        request.  An attempt to move the run sets it to `MOVE_ALLOWANCE` seconds in the
        future.
    last_event_id : str
        Id of the last event that the run has delivered; before the first one, of the
        event after which it was asked to begin, empty for all events.
    has_ids : bool
        Whether it has delivered an event with an id.
    events : int
        Number of events that the run has delivered.
    moves : int
        Number of attempts to move the run to other endpoints.
    reading : PromptReading or None
        The prompt while it is unread; None for a run of a test without one.
    connection : UpstreamConnection or None
        Connection to the first engine; None for a run of a test without one.
    """

    chain: Chain
    exchange: Exchange
    record: RunRecord
    silent_since: float
    last_event_id: str = ""
    has_ids: bool = False
    events: int = 0
    moves: int = 0
    connection: UpstreamConnection | None = None
    reading: PromptReading | None = None


@attrs.define(eq=False)
class StreamLead:
    """
    The run that delivers a stream's events, and the one that may replace it.

    A run that is neither of them has ended or has lost the lead, and never delivers
    events again.

    Attributes
    ----------
    leader : StreamRun or None
        The run that delivers; None if no run is in progress.
    contender : StreamRun or None
        Run that has begun beside the leader, and replaces it if its first event is
        earlier than the leader's next one, or if the leader ends.
    """

    leader: StreamRun | None = None
    contender: StreamRun | None = None

    def begin(self, run: StreamRun) -> None:
        """Add a run: the leader, or beside one its contender."""
        if self.leader is None:
            self.leader = run
        else:
            self.contender = run

    def end(self, run: StreamRun) -> None:
        """Remove a run; the contender of a leader that has ended replaces it."""
        if run is self.leader:
            self.leader, self.contender = self.contender, None
        elif run is self.contender:
            self.contender = None

    def check(self, run: StreamRun, last_event_id: str) -> None:
        """
        Decide whether a run may deliver events.

        Parameters
        ----------
        run : StreamRun
            The run.
        last_event_id : str
            Id of the last event that the caller got.

        Raises
        ------
        SupersededError
            If it may not, since another run leads or has gone on.
        """
        if run not in (self.leader, self.contender):
            raise SupersededError()
        if run.last_event_id != last_event_id:
            raise SupersededError()

    def claim(self, run: StreamRun, last_event_id: str) -> bool:
        """
        Let a run deliver events; the other one fails, or is no contender any more.

        Parameters and errors are those of `check`.

        Returns
        -------
        bool
            Whether the run has taken the lead from another one.
        """
        self.check(run, last_event_id)
        loser = self.leader if run is self.contender else None
        if loser is not None:
            loser.exchange.fail(SupersededError())
        self.leader, self.contender = run, None
        return loser is not None


class SupersededError(UpstreamError):
    """Error of a run while another one delivers the events of their stream."""

    def __init__(self) -> None:
        super().__init__("superseded", "another run has begun to answer", sent=True)
