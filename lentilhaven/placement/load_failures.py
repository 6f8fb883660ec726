"""
Orders that end the engines that carry them out.

An engine that ends while it loads layers starts again without any, and a placer that
knows nothing of this orders the same to it, or moves the next engine there.  So each
end is recorded under what the order asked for: each of its layers, of which the weights
may be at fault, and their number on this type of accelerator, for which its memory may
be too small.  The rule is that of requests (see `lentilhaven.crashes`): orders with
what has ended engines at three addresses, and was not loaded by another one, are
withheld, and after a while a single engine tries.  An engine that goes down again and
again, whatever it is ordered, has one address, and the time is short: layers that are
withheld may be missing.
"""

import math
from collections.abc import Sequence

import attrs

from lentilhaven.crashes.ledger import CrashLedger, Refusal
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.peering.subject import Subject


def size_subject(service: str, card: str, size: int) -> Subject:
    """Return the number of layers on a type of accelerator as what may be at fault."""
    return Subject(service, f"{size} layers on {card}")


def subjects_of_order(engine: Endpoint, layers: LayerSpan) -> tuple[Subject, ...]:
    """Return what may be at fault if an engine ends while it loads some layers."""
    size = size_subject(engine.service, engine.card, len(layers))
    each = (
        Subject(engine.service, f"layer {layer}")
        for layer in range(layers.start, layers.end)
    )
    return (size, *each)


#: Seconds for which the judgement of an order is repeated unless there is news.
JUDGEMENT_TIME = 0.25

#: Seconds for which orders are withheld before the first trial.
ORDER_HOLD = 20.0


@attrs.define(eq=False)
class LoadFailures:
    """
    What engines were ordered when they ended, and what others have loaded since.

    All points in time are monotonic, in seconds.

    Attributes
    ----------
    ledger : CrashLedger
        The evidence.
    judged : dict
        Latest judgement of orders and its time, by what they ask for: many engines
        would get the same order.
    announced : dict
        Number of ends at which `note_withheld` has last told of a subject.

    Examples
    --------
    >>> failures, layers = LoadFailures(), LayerSpan(0, 2)
    >>> for number in range(3):
    ...     ended = Endpoint(f"e{number}", "gen", f"a{number}:1", "a", card="k")
    ...     failures.note_end(ended.address, subjects_of_order(ended, layers), 1.0)
    >>> another = Endpoint("e3", "gen", "", "a", card="k")
    >>> failures.find_refusal(subjects_of_order(another, layers), 2.0).left
    19.0
    >>> failures.find_refusal(subjects_of_order(another, LayerSpan(2, 5)), 2.0)
    """

    ledger: CrashLedger = attrs.field(factory=lambda: CrashLedger(base_hold=ORDER_HOLD))
    judged: dict[tuple[Subject, ...], tuple[float, Refusal | None]] = attrs.field(
        factory=dict
    )
    announced: dict[Subject, int] = attrs.field(factory=dict)

    def note_end(
        self, address: str, subjects: Sequence[Subject], sent_at: float
    ) -> None:
        """
        Record that an engine has ended before an order took effect.

        Parameters
        ----------
        address : str
            Address of the engine, as ``IP:PORT``.
        subjects : sequence of Subject
            What the order asked for.
        sent_at : float
            Time at which the order was sent.  The end is known much later than the
            success of another engine with the same order would be.
        """
        for subject in subjects:
            # The latest end at an address counts.
            self.ledger.ends.get(subject, {}).pop((address, 0), None)
            self.ledger.note_end(subject, (address, 0), sent_at)
        self.judged.clear()

    def note_loaded(self, subjects: Sequence[Subject], now: float) -> None:
        """Record that an order took effect."""
        for subject in subjects:
            self.ledger.note_proof(subject, now)
        self.judged.clear()

    def find_refusal(self, subjects: tuple[Subject, ...], now: float) -> Refusal | None:
        """
        Return why an order must be withheld; None if it may be sent.

        Parameters
        ----------
        subjects : tuple of Subject
            What the order asks for.
        now : float
            The time.
        """
        if self.ledger.is_empty:
            return None
        judged_at, refusal = self.judged.get(subjects, (-math.inf, None))
        if now - judged_at >= JUDGEMENT_TIME:
            refusal = self.judge(subjects, now)
            self.judged[subjects] = (now, refusal)
        return refusal

    def judge(self, subjects: tuple[Subject, ...], now: float) -> Refusal | None:
        """Return why an order must be withheld, by the evidence."""
        ledger = self.ledger
        refusal = ledger.find_refusal(subjects, now)
        if refusal is not None:
            # What can't be told apart yet is refused together, also once the ends are
            # too old to count.
            for subject in subjects:
                is_open = ledger.open_breaker(subject) is not None
                if not is_open and ledger.is_at_fault(subject, subjects, now):
                    ledger.open_new_breaker(subject)
        return refusal

    def note_withheld(self, refusal: Refusal) -> bool:
        """Return whether a refusal is to be logged: its subject has ended more."""
        known = self.announced.get(refusal.subject)
        self.announced = {
            subject: ends
            for subject, ends in self.announced.items()
            if subject in self.ledger.breakers
        }
        self.announced[refusal.subject] = refusal.ends
        return refusal.ends != known

    def begin_trial(self, subjects: Sequence[Subject], now: float) -> bool:
        """Let an order that is sent now be a trial; return whether it is one."""
        self.judged.clear()
        return bool(self.ledger.begin_trials(subjects, now))

    def expire(self, now: float) -> None:
        """Forget what is too old to count."""
        self.ledger.expire(now)
        self.judged = {
            subjects: found
            for subjects, found in self.judged.items()
            if now - found[0] < JUDGEMENT_TIME
        }
