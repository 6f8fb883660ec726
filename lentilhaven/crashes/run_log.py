"""
Which runs were on an endpoint when it ended.

The end of an endpoint is known in several ways: its connection closes, it refuses a new
one, the store lists a later start, another gateway says so.  Only the first of them
names a run, and as a later part of a chain an endpoint has no connection to the gateway
at all.  So each run is recorded with all of its endpoints, and whoever sees an end asks
here for the runs that it took.

Several parts of a chain may end at once, for a reason of their own, and others before a
run has reached them.  A run counts for one end only, and for none that came before it.
"""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager

import attrs

from lentilhaven.peering.subject import Incarnation, Subject

#: Seconds after its end for which a run is remembered: longer than it takes until an
#: endpoint that leaves a chain silent is known to have ended.
MEMORY_TIME = 8.0

#: Seconds after which an answer without framing counts as whole unless its endpoint has
#: ended: it ends with the connection, and so does an answer in which the endpoint ends.
DOUBT_TIME = 1.0

#: Seconds after the last data from an endpoint until which it counts as alive: data of
#: other runs through it come seldom, or are reported by other gateways.
HEARD_SLACK = 0.1

#: Maximum number of ended runs that are remembered.
MAX_ENDED_RUNS = 4096


@attrs.define(eq=False)
class RunRecord:
    """
    One run of a request.

    Attributes
    ----------
    subjects : tuple of Subject
        What is recorded as lost if one of its endpoints ends.
    proven : tuple of Subject
        What is proven by the answer if it was whole.
    incarnations : set of (str, int)
        Endpoints that have run it.
    began : float
        Event loop time at which it was sent, in seconds.
    ended_at : float or None
        Event loop time at which the run ended, in seconds; None while it goes on.
    is_whole : bool
        Whether its answer was whole.
    is_doubtful : bool
        Whether the answer looks whole, but has no framing.
    blamed_on : tuple of (str, int) or None
        Endpoint whose end has been recorded under its subjects; None for none.
    """

    subjects: tuple[Subject, ...]
    proven: tuple[Subject, ...]
    incarnations: set[Incarnation]
    began: float
    ended_at: float | None = None
    is_whole: bool = False
    is_doubtful: bool = False
    blamed_on: Incarnation | None = None

    def was_lost(self, heard_at: float) -> bool:
        """Return whether the run was in progress when its endpoint ended."""
        if self.is_whole or self.blamed_on is not None:
            return False
        return self.ended_at is None or self.is_doubtful or self.ended_at > heard_at


@attrs.define(eq=False)
class RunLog:
    """
    The runs of this gateway that are in progress or have ended lately.

    Attributes
    ----------
    running : dict
        Runs in progress, by incarnation of each endpoint.
    ended : list of RunRecord
        Runs that have ended without a whole answer, oldest first.

    Examples
    --------
    >>> log = RunLog()
    >>> subject = Subject("gen", "part-1")
    >>> with log.recording((subject,), (), [("a", 1), ("b", 1)], lambda: 7.0) as run:
    ...     [found.subjects[0].name for found in log.lost_with(("b", 1), 0.0)]
    ['part-1']
    >>> log.lost_with(("b", 1), 7.5)
    []
    """

    running: dict[Incarnation, list[RunRecord]] = attrs.field(factory=dict)
    ended: list[RunRecord] = attrs.field(factory=list)

    @contextmanager
    def recording(
        self,
        subjects: tuple[Subject, ...],
        proven: tuple[Subject, ...],
        incarnations: Iterable[Incarnation],
        time: Callable[[], float],
    ) -> Iterator[RunRecord]:
        """
        Record a run until the context ends.

        Parameters
        ----------
        subjects, proven, incarnations
            As in `RunRecord`.
        time : callable
            Returns the event loop time, in seconds.
        """
        record = RunRecord(subjects, proven, set(), time())
        self.add_endpoints(record, incarnations)
        try:
            yield record
        finally:
            record.ended_at = time()
            for incarnation in record.incarnations:
                self.running[incarnation].remove(record)
                if not self.running[incarnation]:
                    del self.running[incarnation]
            if not record.is_whole:
                self.ended.append(record)
                del self.ended[:-MAX_ENDED_RUNS]

    def add_endpoints(
        self, record: RunRecord, incarnations: Iterable[Incarnation]
    ) -> None:
        """
        Record that a run has reached further endpoints, as when it is moved.

        These may end under it too.
        """
        record.blamed_on = None
        for incarnation in set(incarnations) - record.incarnations:
            record.incarnations.add(incarnation)
            self.running.setdefault(incarnation, []).append(record)

    def lost_with(self, incarnation: Incarnation, heard_at: float) -> list[RunRecord]:
        """
        Return the runs that an endpoint has taken with its end.

        Of those that began after it was last heard of, only the first can have ended
        it.

        Parameters
        ----------
        incarnation : tuple of (str, int)
            The endpoint.
        heard_at : float
            Event loop time at which it was last heard of, in seconds.
        """
        ended = [it for it in self.ended if incarnation in it.incarnations]
        found = [*self.running.get(incarnation, ()), *ended]
        lost = sorted(
            (it for it in found if it.was_lost(heard_at)), key=lambda it: it.began
        )
        count = sum(it.began <= heard_at + HEARD_SLACK for it in lost)
        return lost[: max(1, count)]

    def forget_end(self, incarnation: Incarnation) -> None:
        """Let the runs that were lost with an endpoint, which is alive, count again."""
        for record in [*self.running.get(incarnation, ()), *self.ended]:
            if record.blamed_on == incarnation:
                record.blamed_on = None

    def settle(self, now: float) -> list[RunRecord]:
        """
        Forget old runs, and return those that no longer are doubtful.

        Their endpoints have not ended, so that their answers were whole.
        """
        settled = [
            it for it in self.ended if it.is_doubtful and is_old(it, DOUBT_TIME, now)
        ]
        for record in settled:
            record.is_doubtful, record.is_whole = False, True
        self.ended = [
            it for it in self.ended if not (it.is_whole or is_old(it, MEMORY_TIME, now))
        ]
        return settled


def is_old(record: RunRecord, seconds: float, now: float) -> bool:
    """Return whether a run has ended more than some seconds ago."""
    return record.ended_at is not None and now - record.ended_at > seconds
