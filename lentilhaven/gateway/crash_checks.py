"""
Refusal of requests that end endpoints, and the evidence of a gateway's runs.

This connects the requests of a gateway to its ledger (see `lentilhaven.crashes`).
"""

import asyncio
import hashlib
from collections.abc import Iterable, Iterator, Sequence
from contextlib import contextmanager

from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import get_logger
from lentilhaven.core.step import Step
from lentilhaven.core.tasks import report_task_failure
from lentilhaven.crashes.ledger import (
    ENDED_TIME,
    LISTED_AFTER,
    LISTED_SILENCE,
    Refusal,
    evidence_time,
)
from lentilhaven.crashes.run_log import RunRecord
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.gateway.call import Call
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.peering.messages import PeerMessage
from lentilhaven.peering.subject import Incarnation, Subject, SubjectKind
from lentilhaven.platform.engine_calls import fetch_report
from lentilhaven.upstream.exchange import UpstreamError

#: Kind of the failure of a request that is refused, by kind of the subject at fault.
HARMFUL_KINDS = {
    SubjectKind.PART: "harmful-part",
    SubjectKind.REQUEST: "harmful-request",
}

#: Kinds of error with which an exchange ends if its endpoint has ended.
END_KINDS = ("closed", "reset", "truncated")

#: Number of events after which an answer counts as a proof of the parts of its prompt.
PROOF_EVENTS = 2

#: Statuses from which an answer proves nothing: a replica that fails requests may do so
#: without running them.
FAILURE_STATUS = 500

#: Seconds before the end of a plain replica within which its runs were lost with it:
#: the gateway learns of the end by the connection of each of them.
PLAIN_LOSS_TIME = 0.3

#: The same for an endpoint that has left the view: the time that the store takes to
#: remove the entry of one that is silent.
UNKNOWN_LOSS_TIME = 3.0

#: Seconds after the close of a connection until it is checked whether the endpoint has
#: ended, in which its other connections close, and timeout of the check.
END_CHECK_DELAY, END_CHECK_TIMEOUT = 0.05, 0.4

#: Maximum number of such checks at the same time.
MAX_END_CHECKS = 64

#: Largest distance of an observation of data by which an end is refuted; the time of a
#: more distant one is not accurate enough.
ALIVE_DISTANCE = 1

#: Seconds from the time at which one gateway may begin a trial to that of the next:
#: longer than it takes to tell all gateways of a trial.
TRIAL_INTERVAL = 0.5

#: Maximum seconds until any gateway may begin a trial, however many there are.
MAX_TRIAL_DELAY = 60.0

log = get_logger("gateway")


def subjects_of(call: Call) -> tuple[Subject, ...]:
    """Return the request itself, and the shared parts of its prompt."""
    request = Subject(call.service, call.digest, SubjectKind.REQUEST)
    return (request, *parts_of(call))


def parts_of(call: Call) -> tuple[Subject, ...]:
    """Return the shared parts of a request's prompt."""
    return tuple(Subject(call.service, part) for part in call.head.prompt_parts)


def refuse_harmful(gateway: Gateway, call: Call) -> Failure | None:
    """
    Return the refusal of a request that has ended endpoints, or whose prompt has.

    A request may wait after its admission, so that this is called again before each
    run is sent.

    Returns
    -------
    Failure or None
        None if the request may run.
    """
    ledger = gateway.crash_ledger
    if ledger.is_empty:
        return None
    now = asyncio.get_running_loop().time()
    refusal = find_refusal(gateway, call, now)
    if refusal is None:
        return None
    subject = refusal.subject
    kind = HARMFUL_KINDS[subject.kind]
    gateway.counters[f"refused: {kind}"] += 1
    log.info(
        "request refused since it ends endpoints",
        request=call.id,
        service=call.service,
        kind=subject.kind.value,
        subject=subject.name,
        ends=refusal.ends,
        age=round(refusal.age, 3),
        seconds=round(refusal.left, 3),
    )
    what = "it" if subject.is_request else f"part {subject.name} of the prompt"
    detail = f"{refusal.ends} endpoints ended under {what}"
    return Failure(Step.ADMIT, "", kind, detail, retry_after=refusal.left)


def find_refusal(gateway: Gateway, call: Call, now: float) -> Refusal | None:
    """Return why a request must be refused; None if it may run."""
    return gateway.crash_ledger.find_refusal(
        subjects_of(call), now, lambda it: trial_delay(gateway, it)
    )


def trial_delay(gateway: Gateway, subject: Subject) -> float:
    """
    Return the seconds for which this gateway waits with a trial once it is asked.

    The gateways come one after the other, in an order that differs from subject to
    subject: what all of them are asked for would else be tried by all at once.
    """
    peers = gateway.peers
    own = trial_rank(subject, peers.own.address)
    addresses = peers.directory.addresses()
    before = sum(trial_rank(subject, address) < own for address in addresses)
    return min(before * TRIAL_INTERVAL, MAX_TRIAL_DELAY)


def trial_rank(subject: Subject, address: str) -> bytes:
    """Return a digest by which gateways are ordered for the trial of a subject."""
    text = f"{subject.service} {subject.name} {address}"
    return hashlib.blake2b(
        text.encode("utf-8", "surrogatepass"), digest_size=8
    ).digest()


def begin_trials(gateway: Gateway, call: Call) -> None:
    """Let a request that is sent now be the trial of what was refused until now."""
    ledger = gateway.crash_ledger
    if not ledger.breakers:
        return
    now = asyncio.get_running_loop().time()
    for subject in ledger.begin_trials(subjects_of(call), now):
        log.info(
            "trial of what has ended endpoints",
            request=call.id,
            kind=subject.kind.value,
            subject=subject.name,
            trials=ledger.breakers[subject].trials,
        )
        gateway.urgent_signal.notify()


def forbids_repeat(gateway: Gateway, call: Call) -> bool:
    """Return whether another run of a request is likely to end another endpoint."""
    ledger = gateway.crash_ledger
    return not ledger.is_empty and ledger.forbids_repeat(subjects_of(call))


def is_refused(gateway: Gateway, call: Call) -> bool:
    """Return whether a request that runs would be refused now."""
    now = asyncio.get_running_loop().time()
    is_empty = gateway.crash_ledger.is_empty
    return not is_empty and find_refusal(gateway, call, now) is not None


@contextmanager
def recording_run(
    gateway: Gateway, call: Call, endpoints: Sequence[Endpoint]
) -> Iterator[RunRecord]:
    """
    Record that a request runs on some endpoints until the context ends.

    If its exchange with the first of them fails as it does when the endpoint ends, the
    end is recorded too, unless another part has ended: the first one then breaks off.
    """
    subjects = subjects_of(call)
    incarnations = [endpoint.incarnation for endpoint in endpoints]
    time = asyncio.get_running_loop().time
    with gateway.run_log.recording(subjects, subjects, incarnations, time) as record:
        try:
            yield record
        except UpstreamError as error:
            is_end = error.sent and error.kind in END_KINDS
            if is_end and record.blamed_on is None:
                note_lost(gateway, call, endpoints[0], record)
            raise


def note_lost(
    gateway: Gateway, call: Call, endpoint: Endpoint, record: RunRecord
) -> None:
    """Record that an endpoint has ended before a run on it was answered."""
    now = asyncio.get_running_loop().time()
    add_ends(gateway, record, endpoint.incarnation, now)
    log_lost(gateway, call.id, call.workspace, endpoint.incarnation, record)
    gateway.urgent_signal.notify()
    begin_end_check(gateway, endpoint)


def begin_end_check(gateway: Gateway, endpoint: Endpoint) -> None:
    """Begin to check whether an endpoint whose connection has closed has ended."""
    incarnation = endpoint.incarnation
    checks = gateway.end_checks
    if incarnation in checks or incarnation in gateway.crash_ledger.ended:
        return
    if len(checks) >= MAX_END_CHECKS:
        return
    task = asyncio.ensure_future(check_end(gateway, endpoint))
    task.add_done_callback(report_task_failure)
    task.add_done_callback(lambda done: checks.pop(incarnation, None))
    checks[incarnation] = task


async def check_end(gateway: Gateway, endpoint: Endpoint) -> None:
    """
    Connect to an endpoint, which has ended if nothing listens on its port.

    One that has closed a single connection accepts another, which is kept for use.  An
    engine is asked for its report then, by which an incarnation is known to be alive.
    """
    await asyncio.sleep(END_CHECK_DELAY)
    try:
        connection = await gateway.pool.acquire(endpoint, "", END_CHECK_TIMEOUT)
    except UpstreamError as error:
        note_refused_connection(gateway, endpoint, error)
        return
    gateway.pool.release(endpoint, connection)
    if gateway.endpoint_states.of(endpoint).unreached_since is not None:
        # The link has ended its connections, and another gateway reaches it.
        note_survived(gateway, endpoint)
        return
    if not endpoint.card or gateway.session is None:
        return
    report = await fetch_report(
        gateway.session, endpoint, END_CHECK_TIMEOUT, gateway.note_head
    )
    if report.is_ok() and report.ok.born == endpoint.born:
        note_survived(gateway, endpoint)


def note_survived(gateway: Gateway, endpoint: Endpoint) -> None:
    """Record that an endpoint has not ended though its connection was lost."""
    now = asyncio.get_running_loop().time()
    gateway.crash_ledger.note_alive(endpoint.incarnation, now)
    gateway.run_log.forget_end(endpoint.incarnation)
    # It got no requests since it had lost one.
    state = gateway.endpoint_states.of(endpoint)
    state.refused_until = min(state.refused_until, now)


async def forbids_repeat_now(gateway: Gateway, call: Call) -> bool:
    """
    Return whether another run of a request is likely to end another endpoint.

    Waits for the checks in progress whether endpoints have ended, since the answer may
    depend on them.
    """
    if not forbids_repeat(gateway, call):
        return False
    checks = list(gateway.end_checks.values())
    if checks:
        await asyncio.wait(checks, timeout=END_CHECK_DELAY + END_CHECK_TIMEOUT)
    return forbids_repeat(gateway, call)


def add_ends(
    gateway: Gateway, record: RunRecord, incarnation: Incarnation, at: float
) -> None:
    """Record the end of an endpoint under what a run on it was running."""
    record.blamed_on = incarnation
    for subject in record.subjects:
        gateway.crash_ledger.note_end(subject, incarnation, at)
    log_new_candidates(gateway, record.subjects)


def log_lost(
    gateway: Gateway,
    request_id: str,
    workspace: str,
    incarnation: Incarnation,
    record: RunRecord,
) -> None:
    """Log a run that was lost with an endpoint, and the ends under its subjects."""
    request, *parts = record.subjects
    ledger = gateway.crash_ledger
    log.warning(
        "run lost with its endpoint",
        request=request_id,
        workspace=workspace,
        digest=request.name,
        endpoint=incarnation[0],
        born=incarnation[1],
        prompt_parts=[part.name for part in parts],
        ends=[len(ledger.counted_ends(it)) for it in record.subjects],
    )


def note_begun(gateway: Gateway, call: Call, record: RunRecord) -> None:
    """Record that an answer has begun, which proves the parts of its prompt."""
    now = asyncio.get_running_loop().time()
    parts = parts_of(call)
    for part in parts:
        gateway.crash_ledger.note_proof(part, now)
    record.subjects = tuple(it for it in record.subjects if it not in parts)


def note_answered(gateway: Gateway, record: RunRecord, is_framed: bool) -> None:
    """
    Record a whole answer, which proves the request and the parts of its prompt.

    An answer without framing proves them once its endpoint is known to have survived
    it; see `settle_runs`.
    """
    if not is_framed:
        record.is_doubtful = True
        return
    record.is_whole = True
    now = asyncio.get_running_loop().time()
    for subject in record.proven:
        gateway.crash_ledger.note_proof(subject, now)


def note_plain_answer(
    gateway: Gateway,
    endpoint: Endpoint,
    record: RunRecord,
    status: int,
    is_framed: bool,
) -> None:
    """Record a whole answer of a plain replica: a proof, and a sign of life."""
    now = asyncio.get_running_loop().time()
    gateway.crash_ledger.note_data(endpoint.incarnation, now)
    if status < FAILURE_STATUS:
        note_answered(gateway, record, is_framed)
    else:
        record.is_whole = True


def refute_ends(gateway: Gateway, now: float) -> None:
    """Remove old evidence, and the ends of endpoints that have sent data since."""
    ledger = gateway.crash_ledger
    if ledger.is_empty and not ledger.ended:
        return
    states = gateway.endpoint_states.states
    ledger.refute_ends(
        {it: state.heard_within[ALIVE_DISTANCE] for it, state in states.items()}, now
    )


def refute_listed(gateway: Gateway) -> None:
    """
    Remove the ends of endpoints that the store still lists long after them.

    A sound endpoint resets connections beyond its limit and closes idle ones; a faulty
    one cuts answers short.  Nothing follows from the list if the end was seen in
    another way too, nor while calls to the store fail, and for a while after that:
    entries of silent endpoints may stay in it.
    """
    ledger, view = gateway.crash_ledger, gateway.view
    if view.monotonic() < view.removals_doubtful_until + LISTED_SILENCE:
        return
    read_at = max(gateway.store_read_at, gateway.peers_store_read_at)
    listed = ledger.ended_before(read_at - LISTED_AFTER) - ledger.ended.keys()
    for incarnation in listed:
        name, born = incarnation
        endpoint = view.endpoints.get(name)
        is_listed = name not in view.restored.unconfirmed
        if endpoint is not None and endpoint.born == born and is_listed:
            ledger.note_listed(incarnation, read_at)


def settle_runs(gateway: Gateway, now: float) -> None:
    """Count answers without framing as proofs unless their endpoints have ended."""
    ledger = gateway.crash_ledger
    for record in gateway.run_log.settle(now):
        if record.ended_at is None or record.incarnations & ledger.ended.keys():
            continue
        for subject in record.proven:
            ledger.note_proof(subject, record.ended_at)


def note_refused_connection(
    gateway: Gateway, endpoint: Endpoint, error: BaseException
) -> None:
    """
    Record that an endpoint has ended if nothing listens on its port any more.

    What this gateway and the others have heard of the endpoint is logged.
    """
    now = asyncio.get_running_loop().time()
    state = gateway.endpoint_states.of(endpoint)
    log.info(
        "endpoint not connected",
        endpoint=endpoint.id,
        detail=str(error),
        heard_here=round(now - state.heard_within[0], 3),
        heard=round(now - state.heard_at, 3),
    )
    if isinstance(error.__cause__, ConnectionRefusedError):
        note_ended(gateway, endpoint, "refused connection")


def note_ended(gateway: Gateway, endpoint: Endpoint, how: str) -> None:
    """
    Record that an endpoint was seen to have ended, with the runs that it has taken.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    endpoint : Endpoint
        The endpoint, of which an incarnation has ended.
    how : str
        How that was seen, for the log.
    """
    now = asyncio.get_running_loop().time()
    heard_at = now - PLAIN_LOSS_TIME
    if endpoint.card:
        heard_at = gateway.endpoint_states.of(endpoint).heard_at
    record_ended(gateway, endpoint.incarnation, now, heard_at, how)


def note_reported_end(gateway: Gateway, incarnation: Incarnation, at: float) -> None:
    """
    Record that another gateway has seen an endpoint end.

    The endpoint may have left the view already: replicas come back under other ids.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    incarnation : tuple of (str, int)
        The endpoint.
    at : float
        Event loop time at which it was seen, in seconds.
    """
    endpoint = gateway.view.endpoints.get(incarnation[0])
    state = gateway.endpoint_states.states.get(incarnation)
    heard_at = at - UNKNOWN_LOSS_TIME
    if endpoint is not None and not endpoint.card:
        heard_at = at - PLAIN_LOSS_TIME
    elif state is not None:
        heard_at = state.heard_at
    record_ended(gateway, incarnation, at, heard_at, "another gateway")


def record_ended(
    gateway: Gateway, incarnation: Incarnation, at: float, heard_at: float, how: str
) -> None:
    """
    Record the end of an endpoint, with the runs that it has taken.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    incarnation : tuple of (str, int)
        The endpoint.
    at, heard_at : float
        Event loop times at which its end was seen and at which it was last heard of, in
        seconds.
    how : str
        How the end was seen, for the log.
    """
    if not gateway.crash_ledger.note_ended(incarnation, at):
        return
    lost = gateway.run_log.lost_with(incarnation, heard_at)
    log.info(
        "endpoint has ended",
        endpoint=incarnation[0],
        born=incarnation[1],
        how=how,
        runs=len(lost),
    )
    for record in lost:
        add_ends(gateway, record, incarnation, max(heard_at, record.began))
        log_lost(gateway, "", "", incarnation, record)
    gateway.urgent_signal.notify()


def note_gone(gateway: Gateway, known: dict[Incarnation, Endpoint]) -> None:
    """
    Record which engines have ended without having announced that they leave.

    An engine of which data have come lately is alive, whatever the store lists.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    known : dict
        Endpoints that were in the view before, by incarnation.
    """
    now = asyncio.get_running_loop().time()
    view = gateway.view
    live = {it.incarnation for it in view.endpoints.values()}
    for incarnation in known.keys() - live:
        endpoint = known[incarnation]
        if not endpoint.card or endpoint.draining or incarnation in view.leaving:
            continue
        if endpoint.id in view.retained:
            continue
        if now - gateway.endpoint_states.of(endpoint).heard_at > PLAIN_LOSS_TIME:
            note_ended(gateway, endpoint, "store")


def log_new_candidates(gateway: Gateway, subjects: Iterable[Subject]) -> None:
    """Log which of some subjects are now assumed to end endpoints."""
    ledger = gateway.crash_ledger
    for subject in ledger.new_candidates(subjects):
        ends = ledger.counted_ends(subject)
        log.warning(
            "suspected of ending endpoints",
            service=subject.service,
            kind=subject.kind.value,
            subject=subject.name,
            endpoints=sorted(name for name, _ in ends),
        )


def merge_evidence(gateway: Gateway, message: PeerMessage, now: float) -> bool:
    """
    Merge what another gateway knows about ended endpoints.

    Returns
    -------
    bool
        Whether the datagram reports something that other gateways may not know.
    """
    ledger = gateway.crash_ledger
    for subject, age in {**message.prompt_proofs, **message.request_proofs}.items():
        ledger.note_proof(subject, now - age, message.scope.distance)
    reported = {**message.prompt_ends, **message.request_ends}
    news = [
        ledger.note_end(subject, incarnation, now - age)
        for subject, ages in reported.items()
        for incarnation, age in ages.items()
        if age < evidence_time(subject)
    ]
    if any(news):
        log_new_candidates(gateway, reported)
    news += [
        ledger.adopt_breaker(subject, state, now)
        for subject, state in message.breakers.items()
    ]
    for incarnation, age in message.ended.items():
        if age < ENDED_TIME:
            note_reported_end(gateway, incarnation, now - age)
    return any(news)
