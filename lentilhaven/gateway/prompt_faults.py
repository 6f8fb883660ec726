"""Evidence about parts of prompts that end the endpoints that run them."""

import math
from collections.abc import Iterable, Mapping, Sequence

import attrs

from lentilhaven.gateway.endpoint_states import MAX_DISTANCE, EndpointState
from lentilhaven.peering.messages import Incarnation, PromptPart

#: Seconds for which an end of an endpoint counts as evidence.
EVIDENCE_TIME = 120.0

#: Seconds for which an end is passed on to other gateways.  It must be less than
#: `EVIDENCE_TIME` by more than datagrams are in transit; otherwise gateways would renew
#: each other's evidence for ever.
PASSED_TIME = 100.0

#: Number of ended endpoints from which a part may be at fault.
MIN_ENDS = 3

#: Number of ended endpoints from which a run that ended with its endpoint is not
#: repeated: the repetition would end the next one.
REPEAT_ENDS = MIN_ENDS - 1

#: Seconds before the first end within which a proof speaks for a part: what was sound
#: a moment ago is unlikely to be at fault.
PROOF_TIME = 30.0

#: Number of ends, and seconds from the first to the last, that count as a fault in
#: spite of an earlier proof.  Endpoints that fail together end within less time.
CHANGED_ENDS, CHANGED_TIME = 5, 2.0

#: Seconds after an end within which data from the same incarnation shows that it has
#: not ended.  Data in transit may arrive before that, and a restarted endpoint answers
#: later.
ALIVE_AFTER, ALIVE_UNTIL = 0.25, 1.0

#: Seconds after which an end is no longer compared with the data from its endpoint.
ALIVE_CHECK_TIME = 2.0

#: Largest distance of an observation of data by which an end is refuted; the time of a
#: more distant one is not accurate enough.
ALIVE_DISTANCE = 1

#: Maximum numbers of parts with ends, of ends of each part, and of parts with proofs.
MAX_PARTS_WITH_ENDS = 64
MAX_ENDS = 12
MAX_PROVEN_PARTS = 2048

#: Maximum numbers of parts with ends and with proofs in a datagram.
MAX_SENT_PARTS = 8
MAX_SENT_PROOFS = 16


@attrs.frozen
class PartBlock:
    """
    A part for which a request is refused.

    Attributes
    ----------
    part : str
        Id of the part.
    ends : int
        Number of endpoints that have ended under prompts with it.
    age : float
        Seconds since the first of them ended.
    left : float
        Seconds until too little evidence is left.
    """

    part: str
    ends: int
    age: float
    left: float


@attrs.define(eq=False)
class PromptFaults:
    """
    The ends of endpoints under each part of prompts, and the proofs of sound parts.

    An end is that of an endpoint before its answer had begun.  A proof is an answer
    that was given; ends before it no longer count.  All points in time are times of the
    event loop, in seconds.

    Attributes
    ----------
    ends : dict
        Time at which each incarnation of an endpoint ended, by part.
    proofs : dict
        For each part, the latest proof of each distance (see
        `endpoint_states.MAX_DISTANCE`), least recently proven part first.
    alive : dict
        Latest time at which an incarnation that seemed to have ended sent data.
    announced : set
        Parts of which `new_candidates` has told.

    Examples
    --------
    >>> faults = PromptFaults()
    >>> for number in range(3):
    ...     new = faults.note_end(("gen", "bad"), ("engine", number), float(number))
    >>> faults.find_block("gen", ["bad", "other"], 3.0)
    PartBlock(part='bad', ends=3, age=3.0, left=117.0)
    """

    ends: dict[PromptPart, dict[Incarnation, float]] = attrs.field(factory=dict)
    proofs: dict[PromptPart, list[float]] = attrs.field(factory=dict)
    alive: dict[Incarnation, float] = attrs.field(factory=dict)
    announced: set[PromptPart] = attrs.field(factory=set)

    def note_end(self, part: PromptPart, incarnation: Incarnation, at: float) -> bool:
        """
        Record the end of an endpoint; return whether it was not known.

        The earliest time counts if several are reported.
        """
        if at <= self.alive.get(incarnation, -math.inf):
            return False
        ends = self.ends.setdefault(part, {})
        known = ends.get(incarnation)
        if known is not None:
            ends[incarnation] = min(known, at)
            return False
        ends[incarnation] = at
        if len(ends) > MAX_ENDS:
            oldest = min(ends, key=lambda it: ends[it])
            del ends[oldest]
        if len(self.ends) > MAX_PARTS_WITH_ENDS:
            del self.ends[min(self.ends, key=self.importance)]
        return incarnation in self.ends.get(part, ())

    def importance(self, part: PromptPart) -> tuple[int, float]:
        """Return a key that is smallest for the part with the least evidence."""
        ends = self.counted_ends(part)
        return len(ends), max(ends.values(), default=-math.inf)

    def note_proof(self, part: PromptPart, at: float, distance: int = 0) -> None:
        """
        Record that a prompt with a part was answered.

        Parameters
        ----------
        part : tuple of (str, str)
            The part.
        at : float
            Event loop time of the proof, in seconds.
        distance : int
            Distance of the observation; 0 if this gateway has received the answer.
        """
        proofs = self.proofs.pop(part, None) or [-math.inf] * (MAX_DISTANCE + 1)
        proofs[distance] = max(proofs[distance], at)
        self.proofs[part] = proofs
        if len(self.proofs) > MAX_PROVEN_PARTS:
            del self.proofs[next(iter(self.proofs))]

    def proven_at(self, part: PromptPart, distance: int = MAX_DISTANCE) -> float:
        """Return the time of the latest proof of at most a distance, or -inf."""
        return max(self.proofs.get(part, (-math.inf,))[: distance + 1])

    def counted_ends(self, part: PromptPart) -> dict[Incarnation, float]:
        """Return the ends since the latest proof of a part."""
        proven_at = self.proven_at(part)
        ends = self.ends.get(part, {})
        return {name: at for name, at in ends.items() if at > proven_at}

    def is_unproven(self, part: PromptPart) -> bool:
        """Return whether no proof speaks against a fault of a part with ends."""
        ends = self.counted_ends(part).values()
        if not ends:
            return False
        if self.proven_at(part) <= min(ends) - PROOF_TIME:
            return True
        return len(ends) >= CHANGED_ENDS and max(ends) - min(ends) >= CHANGED_TIME

    def is_candidate(self, part: PromptPart) -> bool:
        """Return whether a part may be at fault for the ends under it."""
        return len(self.counted_ends(part)) >= MIN_ENDS and self.is_unproven(part)

    def new_candidates(self) -> list[PromptPart]:
        """Return the candidates that were none at the previous call."""
        candidates = {part for part in self.ends if self.is_candidate(part)}
        new = candidates - self.announced
        self.announced = candidates
        return sorted(new)

    def rivals_of(self, part: PromptPart) -> set[PromptPart]:
        """
        Return the other candidates that explain the ends under a part as well.

        They have at least as many ends, of which `MIN_ENDS` are the same.
        """
        ends = self.counted_ends(part)
        found = set()
        for other in self.ends:
            if other == part or other[0] != part[0] or not self.is_candidate(other):
                continue
            rival_ends = self.counted_ends(other)
            common = len(ends.keys() & rival_ends.keys())
            if len(rival_ends) >= len(ends) and common >= MIN_ENDS:
                found.add(other)
        return found

    def find_block(
        self, service: str, part_ids: Sequence[str], now: float
    ) -> PartBlock | None:
        """
        Return why a request must be refused; None if it may run.

        Parts that have always come together can't be told apart.  Only requests with
        all of them are refused, until a proof or a further end tells them apart.

        Parameters
        ----------
        service : str
            Service of the request.
        part_ids : sequence of str
            Ids of the shared parts of its prompt.
        now : float
            Time of the event loop.
        """
        if not self.ends:
            return None
        parts = [(service, part_id) for part_id in part_ids]
        for part in parts:
            if not self.is_candidate(part) or not self.rivals_of(part) <= set(parts):
                continue
            times = sorted(self.counted_ends(part).values())
            left = times[-MIN_ENDS] + EVIDENCE_TIME - now
            if left > 0:
                return PartBlock(part[1], len(times), now - times[0], left)
        return None

    def forbids_repeat(self, service: str, part_ids: Iterable[str]) -> bool:
        """Return whether a repeated run is likely to end another endpoint."""
        parts = [(service, part_id) for part_id in part_ids]
        return any(
            len(self.counted_ends(part)) >= REPEAT_ENDS and self.is_unproven(part)
            for part in parts
        )

    def expire(self, now: float) -> None:
        """Remove evidence that is older than `EVIDENCE_TIME`."""
        oldest = now - EVIDENCE_TIME
        for part, ends in list(self.ends.items()):
            for name in [name for name, at in ends.items() if at <= oldest]:
                del ends[name]
            if not ends:
                del self.ends[part]
        for name in [name for name, at in self.alive.items() if at <= oldest]:
            del self.alive[name]

    def refute_ends(
        self, states: Mapping[Incarnation, EndpointState], now: float
    ) -> None:
        """
        Remove old evidence, and the ends of endpoints that are alive.

        An answer may have been lost on its way.  This must be called more often than
        every `ALIVE_UNTIL` - `ALIVE_AFTER` seconds.
        """
        self.expire(now)
        recent = {
            name
            for ends in self.ends.values()
            for name, at in ends.items()
            if now - at < ALIVE_CHECK_TIME
        }
        for name in recent & states.keys():
            self.note_data(name, states[name].heard_within[ALIVE_DISTANCE])

    def note_data(self, incarnation: Incarnation, at: float) -> None:
        """Remove the ends of an incarnation that has sent data shortly after them."""
        for ends in self.ends.values():
            ended_at = ends.get(incarnation, math.inf)
            if ended_at + ALIVE_AFTER <= at <= ended_at + ALIVE_UNTIL:
                del ends[incarnation]
                self.alive[incarnation] = at

    def sent_ends(self, now: float) -> dict[PromptPart, dict[Incarnation, float]]:
        """Return the ages of ends to pass on to other gateways, by part."""
        found = {}
        for part in self.ends:
            ages = {
                name: round(now - at, 3)
                for name, at in self.counted_ends(part).items()
                if now - at < PASSED_TIME
            }
            if ages:
                found[part] = ages
        chosen = sorted(found, key=lambda part: (-len(found[part]), part))
        return {part: found[part] for part in chosen[:MAX_SENT_PARTS]}

    def sent_proofs(self, now: float, distance: int) -> dict[PromptPart, float]:
        """
        Return the ages of proofs of parts with ends, to pass on to other gateways.

        Parameters
        ----------
        now : float
            Time of the event loop.
        distance : int
            Distance that the proofs have for the receiver.
        """
        found = {
            part: round(now - at, 3)
            for part in self.ends
            if (at := self.proven_at(part, distance - 1)) > now - EVIDENCE_TIME
        }
        chosen = sorted(found, key=lambda part: (-len(self.ends[part]), part))
        return {part: found[part] for part in chosen[:MAX_SENT_PROOFS]}
