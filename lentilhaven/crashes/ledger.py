"""
The ledger of ended endpoints, and the rule by which it finds out what is at fault.

An end is recorded for each subject of each run that was lost with the endpoint, so that
most of what is recorded is without fault: it ran beside something else.  A subject that
is sent again, because it is popular or because each loss is repeated, collects ends as
fast as the one at fault.  Three observations tell them apart:

- An answer is a proof.  What was sound a moment ago is hardly at fault now, and ends
  before a proof no longer count.
- The subject at fault has ended every endpoint that ran it, so that it explains at
  least as many ends as any other.  What is left of another subject's ends without those
  that a stronger suspect explains is too little.
- Subjects that explain the same ends can't be told apart until one of them runs alone.
  Where they are parts of one request, all of which must be refused anyway, there is no
  need to.  Of two requests both are refused after a while, since each may stay on
  whatever the other one ends.

The proof of a part of prompts is the begin of an answer, since a harmful one ends its
endpoint before that.  A request may do so at any time, so that its proof is a whole
answer.
"""

import itertools
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from operator import itemgetter

import attrs

from lentilhaven.crashes.breaker import (
    FIRST_HOLD,
    IDLE_TIME,
    MAX_HOLD,
    Breaker,
    is_closed,
)
from lentilhaven.peering.messages import MAX_DISTANCE, BreakerState, Scope
from lentilhaven.peering.subject import Incarnation, Subject, SubjectKind

#: Seconds for which an end of an endpoint counts as evidence.
EVIDENCE_TIME = 120.0

#: Seconds for which an end is passed on to other gateways.  It must be less than
#: `EVIDENCE_TIME` by more than datagrams are in transit; otherwise gateways would renew
#: each other's evidence for ever.
PASSED_TIME = 100.0

#: The same two for requests, which may come again once a minute only.
REQUEST_EVIDENCE_TIME, REQUEST_PASSED_TIME = 600.0, 570.0

#: Number of ended endpoints from which a subject may be at fault.
MIN_ENDS = 3

#: Number of ended endpoints from which a run that ended with its endpoint is not
#: repeated: the repetition would end the next one.
REPEAT_ENDS = MIN_ENDS - 1

#: Seconds before the first end within which a proof speaks for a subject: what was
#: sound a moment ago is unlikely to be at fault.
PROOF_TIME = 30.0

#: Number of ends, and seconds from the first to the last, that count as a fault in
#: spite of an earlier proof.  Endpoints that fail together end within less time.
CHANGED_ENDS, CHANGED_TIME = 5, 2.0

#: Seconds after an end until all gateways know what was lost with it, and until which
#: a further end may tell two requests apart.
SETTLE_TIME, TIE_TIME = 1.0, 2.0

#: Seconds after an end within which data from the same incarnation shows that it has
#: not ended.  Data in transit may arrive before that, and a restarted endpoint answers
#: later.
ALIVE_AFTER, ALIVE_UNTIL = 0.25, 1.0

#: Seconds after an end from which the store's list shows that the endpoint has not
#: ended if it lists the same incarnation.  A restarted endpoint is listed with a later
#: start, and the store removes the entry of a silent one after three heartbeats, which
#: take `LISTED_SILENCE` seconds at most.
LISTED_AFTER, LISTED_SILENCE = 6.0, 5.0

#: Seconds after which an end is no longer compared with the data from its endpoint.
ALIVE_CHECK_TIME = 2.0

#: Seconds by which the last end that another gateway's breaker states must be later
#: than a proof or a refuted end; its age does not contain the time that datagrams are
#: in transit.
STATED_END_MARGIN = 2.0

#: Seconds after the time of refusal for which a breaker is passed on.  It must be less
#: than `IDLE_TIME` by more than datagrams are in transit, like `PASSED_TIME`.
HALF_OPEN_PASSED_TIME = IDLE_TIME - 20.0

#: Seconds for which an ended endpoint is remembered, and for which it is passed on.
ENDED_TIME, ENDED_PASSED_TIME = EVIDENCE_TIME, 3.0

#: Maximum numbers of subjects with ends, of ends of each subject, of subjects of each
#: kind with proofs, of breakers, and of ended endpoints.
MAX_SUBJECTS_WITH_ENDS = 1024  # Less than `MAX_PROVEN`; see `drop_proof`.
MAX_ENDS = 32
MAX_PROVEN = 2048
MAX_BREAKERS = 256
MAX_ENDED = 256

#: Maximum numbers in a datagram: of subjects of each kind with the most ends, of
#: subjects with the latest ends, of proofs of each kind, of breakers and of ended
#: endpoints.
MAX_SENT_STRONGEST = 8
MAX_SENT_LATEST = 64
MAX_SENT_PROOFS = 16
MAX_SENT_BREAKERS = 8
MAX_SENT_ENDED = 16

#: Maximum numbers of ends of a subject in a datagram, the latest ones: of one with the
#: most ends, and of one with the latest.  What a datagram leaves out others contain.
MAX_SENT_ENDS, MAX_SENT_LATEST_ENDS = 12, 4

#: Seconds for which an end counts as a late one, which is passed on before others, and
#: number of subjects with the latest ends that are compared for a datagram.
LATEST_TIME = 2.0
MAX_COMPARED = 128


@attrs.frozen
class Refusal:
    """
    Why a request is refused.

    Attributes
    ----------
    subject : Subject
        What has ended endpoints.
    ends : int
        Number of endpoints that have ended under it, as far as that is known.
    age : float
        Seconds since the first of these ends.
    left : float
        Seconds until the subject may run again.
    """

    subject: Subject
    ends: int
    age: float
    left: float


@attrs.define(eq=False)
class CrashLedger:
    """
    The ends of endpoints under each subject, and the proofs of sound subjects.

    All points in time are times of the event loop, in seconds.

    Attributes
    ----------
    ends : dict
        Time at which each incarnation of an endpoint ended, by subject; the subject
        with the latest recorded end last.
    recorded : dict
        Time of the latest end that was recorded of a subject, by subject.
    suspects : set of Subject
        Subjects with at least `MIN_ENDS` ends, of which some may not count any more.
    proofs : dict
        By kind and subject, the latest proof of each distance (see
        `peering.messages.MAX_DISTANCE`), least recently proven subject first.
    alive : dict
        Latest time at which an incarnation that seemed to have ended was alive.
    refuted : dict
        Time of the latest end that has turned out to be none, by subject.
    breakers : dict
        Breakers of refused subjects.
    ended : dict
        Time at which incarnations of endpoints were seen to have ended.
    announced : set
        Candidates of which `new_candidates` has told.
    sent_late : dict
        By scope and kind, time of the latest end of subjects and number of datagrams
        that have contained it, for late ends.
    base_hold : float or None
        Seconds of refusal that double with each trial; None for `FIRST_HOLD`.

    Examples
    --------
    >>> ledger, bad = CrashLedger(), Subject("gen", "bad")
    >>> for number in range(3):
    ...     new = ledger.note_end(bad, ("engine", number), float(number))
    >>> refusal = ledger.find_refusal([bad, Subject("gen", "other")], 3.0)
    >>> refusal.subject.name, refusal.ends, refusal.age, refusal.left
    ('bad', 3, 3.0, 119.0)
    """

    ends: dict[Subject, dict[Incarnation, float]] = attrs.field(factory=dict)
    recorded: dict[Subject, float] = attrs.field(factory=dict)
    suspects: set[Subject] = attrs.field(factory=set)
    proofs: dict[SubjectKind, dict[Subject, list[float]]] = attrs.field(
        factory=lambda: {kind: {} for kind in SubjectKind}
    )
    alive: dict[Incarnation, float] = attrs.field(factory=dict)
    refuted: dict[Subject, float] = attrs.field(factory=dict)
    breakers: dict[Subject, Breaker] = attrs.field(factory=dict)
    ended: dict[Incarnation, float] = attrs.field(factory=dict)
    announced: set[Subject] = attrs.field(factory=set)
    sent_late: dict[tuple[Scope, SubjectKind], dict[Subject, tuple[float, int]]] = (
        attrs.field(factory=dict)
    )
    base_hold: float | None = None

    # Evidence.

    def note_end(self, subject: Subject, incarnation: Incarnation, at: float) -> bool:
        """
        Record the end of an endpoint; return whether it was not known.

        The earliest time counts if several are reported.
        """
        if at <= self.alive.get(incarnation, -math.inf):
            return False
        ends = self.ends.pop(subject, {})
        # The subject becomes the last one.
        self.ends[subject] = ends
        known = ends.get(incarnation)
        if known is not None:
            ends[incarnation] = min(known, at)
            return False
        ends[incarnation] = at
        self.recorded[subject] = max(at, self.recorded.get(subject, -math.inf))
        if len(ends) > MAX_ENDS:
            del ends[min(ends, key=ends.__getitem__)]
        if len(ends) >= MIN_ENDS:
            self.suspects.add(subject)
        breaker = self.open_breaker(subject)
        if breaker is not None:
            breaker.note_end(at)
        if len(self.ends) > MAX_SUBJECTS_WITH_ENDS:
            self.drop_subject(self.least_important())
        return incarnation in ends

    def least_important(self) -> Subject:
        """
        Return the subject whose ends are dropped first: the oldest with a single one.

        What is lost by chance or sent once has no second end, however many callers send
        such requests; what has one is kept before it.
        """
        single = (subject for subject, ends in self.ends.items() if len(ends) == 1)
        others = (subject for subject in self.ends if subject not in self.suspects)
        return next(itertools.chain(single, others, self.ends))

    def drop_subject(self, subject: Subject) -> None:
        """Forget the ends under a subject."""
        self.ends.pop(subject, None)
        self.recorded.pop(subject, None)
        self.suspects.discard(subject)

    def note_proof(self, subject: Subject, at: float, distance: int = 0) -> None:
        """
        Record that a request with a subject was answered.

        Parameters
        ----------
        subject : Subject
            The subject.
        at : float
            Event loop time of the proof, in seconds.
        distance : int
            Distance of the observation; 0 if this gateway has received the answer.
        """
        proven = self.proofs[subject.kind]
        proofs = proven.pop(subject, None) or [-math.inf] * (MAX_DISTANCE + 1)
        proofs[distance] = max(proofs[distance], at)
        proven[subject] = proofs
        if len(proven) > MAX_PROVEN:
            self.drop_proof(proven)

    def drop_proof(self, proven: dict[Subject, list[float]]) -> None:
        """Forget the oldest proof of a subject without ends, which needs none."""
        oldest = next(iter(proven))
        while oldest in self.ends:
            proven[oldest] = proven.pop(oldest)
            oldest = next(iter(proven))
        del proven[oldest]

    def proven_at(self, subject: Subject, distance: int = MAX_DISTANCE) -> float:
        """Return the time of the latest proof of at most a distance, or -inf."""
        proofs = self.proofs[subject.kind].get(subject, (-math.inf,))
        return max(proofs[: distance + 1])

    def note_data(self, incarnation: Incarnation, at: float) -> None:
        """Remove the ends of an incarnation that has sent data shortly after them."""
        self.refute(incarnation, at - ALIVE_UNTIL, at - ALIVE_AFTER, at)

    def ended_before(self, until: float) -> set[Incarnation]:
        """Return the incarnations of which an end up to a time is recorded."""
        found = {name for name, at in self.ended.items() if at <= until}
        for ends in self.ends.values():
            found.update(name for name, at in ends.items() if at <= until)
        return found

    def note_listed(self, incarnation: Incarnation, at: float) -> None:
        """Remove the ends of an incarnation that the store lists long after them."""
        self.refute(incarnation, -math.inf, at - LISTED_AFTER, at - LISTED_SILENCE)

    def note_alive(self, incarnation: Incarnation, at: float) -> None:
        """Remove the ends of an incarnation that has said that it is alive."""
        self.refute(incarnation, -math.inf, at, at)

    def refute(
        self, incarnation: Incarnation, since: float, until: float, alive_at: float
    ) -> None:
        """
        Remove the ends of an incarnation in an interval, as it was alive later.

        Parameters
        ----------
        incarnation : tuple of (str, int)
            The incarnation.
        since, until : float
            Bounds of the interval.
        alive_at : float
            Time at which the incarnation was certainly alive.
        """
        if since <= self.ended.get(incarnation, math.inf) <= until:
            del self.ended[incarnation]
            self.alive[incarnation] = alive_at
        for subject, ends in self.ends.items():
            if incarnation not in ends:
                continue
            ended_at = ends[incarnation]
            if since <= ended_at <= until:
                del ends[incarnation]
                self.alive[incarnation] = alive_at
                self.refuted[subject] = max(
                    ended_at, self.refuted.get(subject, -math.inf)
                )
                self.withdraw_breaker(subject)

    def withdraw_breaker(self, subject: Subject) -> None:
        """Remove the breaker of a subject if the ends that opened it are refuted."""
        breaker = self.breakers.get(subject)
        if breaker is None or breaker.trials > 0:
            return
        if len(self.counted_ends(subject)) < MIN_ENDS:
            del self.breakers[subject]

    def is_withdrawn(self, subject: Subject, breaker: Breaker) -> bool:
        """Return whether the ends that opened another gateway's breaker are refuted."""
        refuted_at = self.refuted.get(subject, -math.inf) + STATED_END_MARGIN
        return breaker.trials == 0 and breaker.ended_at <= refuted_at

    def note_ended(self, incarnation: Incarnation, at: float) -> bool:
        """Record that an endpoint was seen to have ended; return whether it is news."""
        if incarnation in self.ended or at <= self.alive.get(incarnation, -math.inf):
            return False
        self.ended[incarnation] = at
        if len(self.ended) > MAX_ENDED:
            del self.ended[next(iter(self.ended))]
        return True

    def refute_ends(self, heard_at: Mapping[Incarnation, float], now: float) -> None:
        """
        Remove old evidence, and the ends of endpoints that are alive.

        An answer may have been lost on its way.  This must be called more often than
        every `ALIVE_UNTIL` - `ALIVE_AFTER` seconds.

        Parameters
        ----------
        heard_at : mapping
            Time of the latest data of endpoints.  It must come from this gateway or
            the one that has received the data; others' times are not accurate enough.
        now : float
            Time of the event loop.
        """
        self.expire(now)
        ends_lately = [
            (name, at)
            for ends in (*self.ends.values(), self.ended)
            for name, at in ends.items()
            if now - at < ALIVE_CHECK_TIME
        ]
        alive = {
            name
            for name, at in ends_lately
            if name in heard_at and is_alive_after(at, heard_at[name])
        }
        for name in alive:
            self.note_data(name, heard_at[name])

    def expire(self, now: float) -> None:
        """Remove evidence that is older than `EVIDENCE_TIME`, and idle breakers."""
        for subject, ends in list(self.ends.items()):
            oldest = now - evidence_time(subject)
            for name in [name for name, at in ends.items() if at <= oldest]:
                del ends[name]
            if not ends:
                self.drop_subject(subject)
            elif len(ends) < MIN_ENDS:
                self.suspects.discard(subject)
        oldest = now - REQUEST_EVIDENCE_TIME
        self.alive = {name: at for name, at in self.alive.items() if at > oldest}
        self.refuted = {it: at for it, at in self.refuted.items() if at > oldest}
        oldest = now - ENDED_TIME
        self.ended = {name: at for name, at in self.ended.items() if at > oldest}
        self.expire_breakers(now)

    def expire_breakers(self, now: float) -> None:
        """Remove the breakers that are closed, or that nobody needs any more."""
        for subject, breaker in list(self.breakers.items()):
            proven_at = self.proven_at(subject)
            is_old = is_closed(breaker, proven_at) and now - proven_at > passed_time(
                subject
            )
            if is_old or breaker.is_forgotten(now):
                del self.breakers[subject]

    # The rule.

    def counted_ends(self, subject: Subject) -> dict[Incarnation, float]:
        """Return the ends since the latest proof of a subject."""
        ends = self.ends.get(subject)
        if not ends:
            return {}
        proven_at = self.proven_at(subject)
        return {name: at for name, at in ends.items() if at > proven_at}

    def is_unproven(self, subject: Subject, ends: Iterable[float]) -> bool:
        """Return whether no proof was given shortly before some ends."""
        return self.proven_at(subject) <= min(ends, default=-math.inf) - PROOF_TIME

    def may_be_at_fault(self, subject: Subject) -> bool:
        """Return whether no proof speaks against a fault of a subject with ends."""
        ends = self.counted_ends(subject).values()
        if not ends:
            return False
        if self.is_unproven(subject, ends):
            return True
        return len(ends) >= CHANGED_ENDS and max(ends) - min(ends) >= CHANGED_TIME

    def is_candidate(self, subject: Subject) -> bool:
        """Return whether a subject may be at fault for the ends under it."""
        if subject not in self.suspects:
            return False
        ends = self.counted_ends(subject)
        return len(ends) >= MIN_ENDS and self.may_be_at_fault(subject)

    def rank(self, subject: Subject) -> tuple[bool, int]:
        """
        Return a key that is larger the better a subject explains the ends under it.

        A subject that was answered shortly before explains them worse than one that was
        not, however often it was lost.
        """
        ends = self.counted_ends(subject)
        return self.is_unproven(subject, ends.values()), len(ends)

    def rivals(
        self, subject: Subject, together: Sequence[Subject], is_settled: bool = False
    ) -> list[dict[Incarnation, float]]:
        """
        Return the ends under each other candidate that explains ends as well.

        Two candidates with the same number of ends explain each other's.  Unless both
        are parts of prompts they do so only for the first `MIN_ENDS`, and until these
        are settled: they run apart, and one that is on every endpoint that the other
        one ends may stay there.

        Parameters
        ----------
        subject : Subject
            The subject.
        together : sequence of Subject
            Subjects of the same request, which are refused with it and explain nothing
            away.
        is_settled : bool
            Whether the last end under the subject is older than `TIE_TIME`.
        """
        ends = self.counted_ends(subject)
        rank = self.rank(subject)
        is_unproven, count = rank
        is_tie_over = is_unproven and (is_settled or count > MIN_ENDS)
        found = []
        for other in self.suspects:
            if other in (subject, *together) or other.service != subject.service:
                continue
            if not self.is_candidate(other) or self.is_superfluous(other):
                continue
            other_rank = self.rank(other)
            are_parts = not (subject.is_request or other.is_request)
            keeps_tie = are_parts or not is_tie_over
            if other_rank > rank or (other_rank == rank and keeps_tie):
                explained = self.counted_ends(other)
                if not explained.keys().isdisjoint(ends):
                    found.append(explained)
        return found

    def is_superfluous(self, subject: Subject) -> bool:
        """
        Return whether other candidates explain all ends under a subject without it.

        They must be candidates that no explanation can do without: each has an end that
        no other candidate has.  So two requests at fault explain the ends under a sound
        one that was lost with endpoints of both, though it has more ends than either.
        """
        ends = self.counted_ends(subject).keys()
        candidates = [
            self.counted_ends(it).keys()
            for it in self.suspects
            if it.service == subject.service and it != subject and self.is_candidate(it)
        ]
        explained: set[Incarnation] = set()
        for index, own in enumerate(candidates):
            others = [it for at, it in enumerate(candidates) if at != index]
            if own - ends - set().union(*others):
                explained |= own
        return ends <= explained

    def unexplained_ends(
        self, subject: Subject, rivals: Iterable[Mapping[Incarnation, float]]
    ) -> dict[Incarnation, float]:
        """Return the ends under a subject that none of its `rivals` explains."""
        explained = set().union(*rivals)
        ends = self.counted_ends(subject)
        return {name: at for name, at in ends.items() if name not in explained}

    def is_at_fault(
        self, subject: Subject, together: Sequence[Subject], now: float
    ) -> bool:
        """
        Return whether a subject is the best explanation of the ends under it.

        One that goes on ending endpoints when none of its rivals does any more is at
        fault too.
        """
        if not self.is_candidate(subject) or self.is_superfluous(subject):
            return False
        is_settled = max(self.counted_ends(subject).values()) < now - TIE_TIME
        rivals = self.rivals(subject, together, is_settled)
        ends = self.unexplained_ends(subject, rivals)
        if not ends or len(ends) >= MIN_ENDS:
            return bool(ends)
        last = max(at for explained in rivals for at in explained.values())
        return any(last < at < now - SETTLE_TIME for at in ends.values())

    def new_candidates(self, subjects: Iterable[Subject]) -> list[Subject]:
        """Return those of some subjects that have become candidates."""
        self.announced = {it for it in self.announced if self.is_candidate(it)}
        found = {it for it in subjects if self.is_candidate(it)} - self.announced
        self.announced |= found
        return sorted(found)

    # Refusal.

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing for which a request could be refused."""
        return not self.ends and not self.breakers

    def find_refusal(
        self,
        subjects: Sequence[Subject],
        now: float,
        trial_delay: Callable[[Subject], float] = lambda subject: 0.0,
    ) -> Refusal | None:
        """
        Return why a request must be refused; None if it may run.

        Parameters
        ----------
        subjects : sequence of Subject
            The request and the shared parts of its prompt.
        now : float
            Time of the event loop.
        trial_delay : callable
            Returns the seconds for which this gateway waits, after it was first asked,
            with the trial of a subject.
        """
        for subject in subjects:
            breaker = self.current_breaker(subject, subjects, now)
            if breaker is None:
                continue
            # Most requests come long before the end of the refusal.
            delay = trial_delay(subject) if now >= breaker.until else 0.0
            left = self.time_left(subject, breaker, now, delay)
            if left <= 0.0:
                left = self.trial_time_left(subjects, now)
            if left > 0.0:
                times = self.counted_ends(subject).values()
                age = now - min(times, default=breaker.ended_at)
                return Refusal(subject, len(times), age, left)
        return None

    def current_breaker(
        self, subject: Subject, together: Sequence[Subject], now: float
    ) -> Breaker | None:
        """
        Return the breaker of a subject, which may be opened or removed by this.

        It is removed if other gateways have told of the ends that explain its own.
        From `TIE_TIME` after its last end only the trial shows whether it is sound:
        another one at fault that goes on first must not free it.
        """
        breaker = self.open_breaker(subject)
        if self.is_at_fault(subject, together, now):
            return breaker or self.open_new_breaker(subject)
        if breaker is None or len(self.counted_ends(subject)) < MIN_ENDS:
            return breaker
        is_settled = subject.is_request and breaker.ended_at < now - TIE_TIME
        rivals = self.rivals(subject, together)
        if is_settled or self.unexplained_ends(subject, rivals):
            return breaker
        del self.breakers[subject]
        return None

    def time_left(
        self, subject: Subject, breaker: Breaker, now: float, delay: float = 0.0
    ) -> float:
        """
        Return the seconds until a subject may be tried.

        If another suspect was on the endpoint that ended in the first trial, that has
        shown nothing, and the trial is repeated as early.
        """
        left = breaker.time_left(now, delay)
        if left <= 0.0 or breaker.trials != 1 or not subject.is_request:
            return left
        ends = self.counted_ends(subject)
        if breaker.is_in_trial or not ends:
            return left
        last = max(ends, key=ends.__getitem__)
        is_shared = any(
            other != subject
            and other.service == subject.service
            and last in self.counted_ends(other)
            and self.is_candidate(other)
            for other in self.suspects
        )
        if not is_shared:
            return left
        return left - breaker.until + breaker.ended_at + breaker.base_hold

    def trial_time_left(self, together: Sequence[Subject], now: float) -> float:
        """
        Return for how long trials of other subjects of a service may be in progress.

        A trial that shares its endpoint with another one would be lost with it.
        """
        service = together[0].service
        return max(
            (
                breaker.trial_until - now
                for subject, breaker in self.breakers.items()
                if subject.service == service
                and subject not in together
                and self.open_breaker(subject) is not None
            ),
            default=0.0,
        )

    def begin_trials(self, subjects: Sequence[Subject], now: float) -> list[Subject]:
        """
        Begin the trials for which it is time with a request that is sent now.

        It is the trial once only: a caller may send others with the same id.

        Returns
        -------
        list of Subject
            Subjects whose trial has begun.
        """
        begun = []
        for subject in subjects:
            breaker = self.open_breaker(subject)
            if breaker and self.time_left(subject, breaker, now) <= 0.0:
                breaker.begin_trial(now)
                begun.append(subject)
        return begun

    def open_breaker(self, subject: Subject) -> Breaker | None:
        """Return the breaker of a subject unless it is closed."""
        breaker = self.breakers.get(subject)
        if breaker is None or is_closed(breaker, self.proven_at(subject)):
            return None
        return breaker

    def open_new_breaker(self, subject: Subject) -> Breaker:
        """Open and return the breaker of a subject that is at fault."""
        ended_at = max(self.counted_ends(subject).values())
        breaker = self.make_breaker(ended_at)
        self.add_breaker(subject, breaker)
        return breaker

    def add_breaker(self, subject: Subject, breaker: Breaker) -> None:
        """Add a breaker, and remove the one that lapses first if there are too many."""
        self.breakers[subject] = breaker
        if len(self.breakers) > MAX_BREAKERS:
            first = min(self.breakers, key=lambda it: self.breakers[it].until)
            del self.breakers[first]

    def make_breaker(self, ended_at: float) -> Breaker:
        """Return a new breaker of a subject, from the last end under it."""
        hold = FIRST_HOLD if self.base_hold is None else self.base_hold
        return Breaker(ended_at, ended_at + hold, base_hold=hold)

    def forbids_repeat(self, subjects: Sequence[Subject]) -> bool:
        """Return whether a repeated run is likely to end another endpoint."""
        return any(self.may_end_another(subject, subjects) for subject in subjects)

    def may_end_another(self, subject: Subject, together: Sequence[Subject]) -> bool:
        """Return whether a subject is likely to end another endpoint."""
        if self.open_breaker(subject) is not None:
            return True
        if len(self.counted_ends(subject)) < REPEAT_ENDS:
            return False
        if not self.may_be_at_fault(subject):
            return False
        ends = self.unexplained_ends(subject, self.rivals(subject, together))
        return len(ends) >= REPEAT_ENDS

    # What other gateways are told, and what they tell.

    def sent_ends(
        self, kind: SubjectKind, now: float, scope: Scope = Scope.OWN
    ) -> dict[Subject, dict[Incarnation, float]]:
        """
        Return the ages of ends to pass on to other gateways, by subject of a kind.

        These are the subjects with the most ends, and those with the latest: the ends
        under one subject may be seen by as many gateways.

        Parameters
        ----------
        kind : SubjectKind
            Kind of the subjects.
        now : float
            Time of the event loop.
        scope : Scope
            Scope of the datagram.
        """
        newest = itertools.islice(reversed(self.ends), MAX_COMPARED)
        compared = [
            it
            for it in self.suspects.union(newest)
            if it.kind is kind and now - self.recorded[it] < passed_time(it)
        ]
        compared.sort(key=lambda it: (-len(self.counted_ends(it)), it.name))
        strongest = compared[:MAX_SENT_STRONGEST]
        late = self.late_subjects(kind, now, scope)
        counts = dict.fromkeys([*strongest, *late], MAX_SENT_LATEST_ENDS)
        counts |= dict.fromkeys(strongest, MAX_SENT_ENDS)
        found = {it: self.latest_ages(it, now, counts[it]) for it in counts}
        return {subject: ages for subject, ages in found.items() if ages}

    def late_subjects(
        self, kind: SubjectKind, now: float, scope: Scope
    ) -> list[Subject]:
        """
        Return the subjects with late ends for a datagram, and count them as sent.

        Many runs are lost with one endpoint.  Those that the fewest datagrams have
        contained come first, so that no end is left out of all of them.
        """
        before = self.sent_late.get((scope, kind), {})
        found = {}
        for subject, at in self.recorded.items():
            if subject.kind is kind and now - at < LATEST_TIME:
                sent_at, count = before.get(subject, (at, 0))
                found[subject] = (at, count if sent_at == at else 0)
        chosen = sorted(found, key=lambda it: (found[it][1], -found[it][0], it.name))
        chosen = chosen[:MAX_SENT_LATEST]
        for subject in chosen:
            at, count = found[subject]
            found[subject] = (at, count + 1)
        self.sent_late[scope, kind] = found
        return chosen

    def latest_ages(
        self, subject: Subject, now: float, count: int
    ) -> dict[Incarnation, float]:
        """Return the ages of some ends under a subject to pass on, the latest ones."""
        ages = {
            name: round(now - at, 3)
            for name, at in self.counted_ends(subject).items()
            if now - at < passed_time(subject)
        }
        return dict(sorted(ages.items(), key=itemgetter(1))[:count])

    def sent_proofs(
        self, kind: SubjectKind, now: float, distance: int
    ) -> dict[Subject, float]:
        """
        Return the ages of proofs of refused or lost subjects, to pass on.

        Parameters
        ----------
        kind : SubjectKind
            Kind of the subjects.
        now : float
            Time of the event loop.
        distance : int
            Distance that the proofs have for the receiver.
        """
        found = {
            subject: round(now - at, 3)
            for subject in (*self.ends, *self.breakers)
            if subject in self.proofs[kind]
            and (at := self.proven_at(subject, distance - 1))
            > now - evidence_time(subject)
        }
        # The proof of a refused subject ends its refusal at the other gateways.
        count = {subject: len(self.ends.get(subject, ())) for subject in found}
        chosen = sorted(
            found, key=lambda it: (it not in self.breakers, -count[it], it.name)
        )
        return {subject: found[subject] for subject in chosen[:MAX_SENT_PROOFS]}

    def sent_breakers(self, now: float) -> dict[Subject, BreakerState]:
        """
        Return the breakers to pass on to other gateways.

        These are the ones that have changed last, such as by a trial, and those that
        are open for longest.  Half-open ones belong to them: a gateway that did not
        know of one would run and repeat the request instead of beginning a trial.
        """
        found = {
            subject: BreakerState(
                round(now - breaker.ended_at, 3),
                round(breaker.until - now, 3),
                breaker.trials,
            )
            for subject in self.breakers
            if (breaker := self.open_breaker(subject)) is not None
            and breaker.until > now - HALF_OPEN_PASSED_TIME
        }
        longest = sorted(found, key=lambda it: (-found[it].left, it.name))
        latest = sorted(found, key=lambda it: (-self.breakers[it].changed_at, it.name))
        half = MAX_SENT_BREAKERS // 2
        chosen = [*latest[:half], *longest[:half], *latest[half:]]
        chosen = list(dict.fromkeys(chosen))[:MAX_SENT_BREAKERS]
        return {subject: found[subject] for subject in chosen}

    def adopt_breaker(self, subject: Subject, state: BreakerState, now: float) -> bool:
        """
        Adopt the breaker of another gateway, and return whether it was news.

        No statement is believed beyond the longest time of refusal.
        """
        stated = self.make_breaker(now - state.age)
        stated.until = now + min(state.left, MAX_HOLD)
        stated.trials = max(0, state.trials)
        if stated.is_forgotten(now):
            return False
        if stated.ended_at <= self.proven_at(subject) + STATED_END_MARGIN:
            return False
        if self.is_withdrawn(subject, stated):
            return False
        known = self.open_breaker(subject)
        if known is not None:
            return known.adopt(stated)
        self.add_breaker(subject, stated)
        return subject in self.breakers

    def sent_ended(self, now: float) -> dict[Incarnation, float]:
        """Return the ages of the latest ends of endpoints to pass on."""
        ages = {
            name: round(now - at, 3)
            for name, at in self.ended.items()
            if now - at < ENDED_PASSED_TIME
        }
        return dict(sorted(ages.items(), key=itemgetter(1))[:MAX_SENT_ENDED])


def is_alive_after(ended_at: float, heard_at: float) -> bool:
    """Return whether data show that an endpoint has not ended at a time."""
    return ended_at + ALIVE_AFTER <= heard_at <= ended_at + ALIVE_UNTIL


def evidence_time(subject: Subject) -> float:
    """Return the seconds for which an end under a subject counts as evidence."""
    return REQUEST_EVIDENCE_TIME if subject.is_request else EVIDENCE_TIME


def passed_time(subject: Subject) -> float:
    """Return the seconds for which such an end is passed on to other gateways."""
    return REQUEST_PASSED_TIME if subject.is_request else PASSED_TIME
