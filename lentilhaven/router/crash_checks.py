"""
Refusal of requests that end endpoints, by what this router has seen.

The rule and its reasons are those of `lentilhaven.crashes`.  Routers tell each other
nothing of it, so that each of them learns from its own losses.
"""

from collections.abc import Iterable

import attrs

from lentilhaven.core.failure import Failure
from lentilhaven.core.hashing import content_hash
from lentilhaven.core.ids import EndpointId, WorkspaceId
from lentilhaven.core.logs import get_logger
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.crashes.ledger import CrashLedger
from lentilhaven.endpoints.service_client import ServiceCall
from lentilhaven.peering.subject import Subject, SubjectKind
from lentilhaven.tables.route import Route

#: Number of hexadecimal digits of the digest of a request.
DIGEST_LENGTH = 32

log = get_logger("router")


def call_subject(workspace: WorkspaceId, route: Route, call: ServiceCall) -> Subject:
    """Return a call as what may be at fault, whatever its idempotency key."""
    content = [workspace, call.method, call.path, call.body.hex()]
    return make_subject(route.pool, content)


def prompt_subject(
    workspace: WorkspaceId, route: Route, prompt: list[str], max_tokens: int
) -> Subject:
    """Return a completion request as what may be at fault."""
    return make_subject(route.pool, [workspace, prompt, max_tokens])


def make_subject(pool: str, content: object) -> Subject:
    """Return a request to a pool as what may be at fault, by its content."""
    digest = content_hash(content)[:DIGEST_LENGTH]
    return Subject(pool, digest, SubjectKind.REQUEST)


@attrs.define(eq=False)
class CrashWatch:
    """
    The requests during which endpoints have ended.

    The tables do not say when an endpoint has started.  One that has not answered since
    it was lost counts as lost once, however many requests fail there.

    All points in time are monotonic, in seconds.

    Attributes
    ----------
    ledger : CrashLedger
        The evidence.
    losses : dict
        Number of times that an endpoint was lost, by endpoint.
    lost : set of str
        Endpoints that have not answered since they were lost.

    Examples
    --------
    >>> watch, subject = CrashWatch(), make_subject("stock", "GET /items/7")
    >>> for name in ("stock-1", "stock-2", "stock-3"):
    ...     watch.note_lost(subject, [EndpointId(name)], 1.0)
    >>> watch.refuse(subject, "r1", 2.0).retry_after
    119.0
    """

    ledger: CrashLedger = attrs.field(factory=CrashLedger)
    losses: dict[EndpointId, int] = attrs.field(factory=dict)
    lost: set[EndpointId] = attrs.field(factory=set)

    def note_alive(self, endpoints: Iterable[EndpointId]) -> None:
        """Record that endpoints have answered."""
        if self.lost:
            self.lost.difference_update(endpoints)

    def note_lost(
        self, subject: Subject, endpoints: Iterable[EndpointId], now: float
    ) -> None:
        """Record that endpoints have ended while they ran a request."""
        for endpoint in endpoints:
            if endpoint not in self.lost:
                self.lost.add(endpoint)
                self.losses[endpoint] = self.losses.get(endpoint, 0) + 1
            self.ledger.note_end(subject, (endpoint, self.losses[endpoint]), now)
            log.warning(
                "request lost with its endpoint",
                digest=subject.name,
                endpoint=endpoint,
                ends=len(self.ledger.counted_ends(subject)),
            )
        self.ledger.expire(now)

    def note_answered(self, subject: Subject, now: float) -> None:
        """Record that a request was answered as a whole."""
        self.ledger.note_proof(subject, now)

    def refuse(self, subject: Subject, request: str, now: float) -> Failure | None:
        """
        Return the failure of a request that has ended endpoints; None if it may run.

        If it is time for a trial, the request becomes it.
        """
        ledger = self.ledger
        if ledger.is_empty:
            return None
        refusal = ledger.find_refusal([subject], now)
        if refusal is None:
            ledger.begin_trials([subject], now)
            return None
        log.info(
            "request refused since it ends endpoints",
            request=request,
            digest=subject.name,
            ends=refusal.ends,
            seconds=round(refusal.left, 3),
        )
        detail = f"{refusal.ends} endpoints ended under it"
        left = refusal.left
        return Failure(Step.ADMIT, "", "harmful-request", detail, Ran.NO, left)

    def forbids_repeat(self, subject: Subject) -> bool:
        """Return whether another run of a request would probably end an endpoint."""
        return not self.ledger.is_empty and self.ledger.forbids_repeat([subject])
