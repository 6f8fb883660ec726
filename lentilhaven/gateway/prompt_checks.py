"""Refusal of requests whose prompt ends endpoints, and the evidence of runs."""

import asyncio

from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import get_logger
from lentilhaven.core.step import Step
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.gateway.call import Call
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.peering.messages import PeerMessage
from lentilhaven.upstream.exchange import UpstreamError

#: Kind of the failure of a request that is refused for a part of its prompt.
HARMFUL_PART = "harmful-part"

#: Kinds of error with which an exchange ends if its endpoint has ended.
END_KINDS = ("closed", "reset", "truncated")

#: Number of events after which an answer counts as a proof of its prompt.
PROOF_EVENTS = 2

log = get_logger("gateway")


def refuse_harmful_prompt(gateway: Gateway, call: Call) -> Failure | None:
    """
    Return the refusal of a request whose prompt has ended endpoints.

    A request may wait after its admission, so that this is called again before each
    run is sent.

    Returns
    -------
    Failure or None
        None if the request may run.
    """
    now = asyncio.get_running_loop().time()
    faults = gateway.prompt_faults
    block = faults.find_block(call.service, call.head.prompt_parts, now)
    if block is None:
        return None
    gateway.counters[f"refused: {HARMFUL_PART}"] += 1
    log.info(
        "request refused for a part of its prompt",
        request=call.id,
        service=call.service,
        part=block.part,
        ends=block.ends,
        age=round(block.age, 3),
        seconds=round(block.left, 3),
    )
    detail = f"{block.ends} endpoints ended under part {block.part} of the prompt"
    return Failure(Step.ADMIT, "", HARMFUL_PART, detail, retry_after=block.left)


def forbids_repeat(gateway: Gateway, call: Call) -> bool:
    """Return whether another run of a request is likely to end another endpoint."""
    parts = call.head.prompt_parts
    return gateway.prompt_faults.forbids_repeat(call.service, parts)


def log_lost_run(
    call: Call, endpoint: Endpoint, error: UpstreamError, events: int
) -> None:
    """Log a run whose connection has ended before the answer was whole."""
    if not error.sent or error.kind not in END_KINDS:
        return
    log.warning(
        "run lost with its connection",
        request=call.id,
        digest=call.digest,
        workspace=call.tenant,
        endpoint=endpoint.id,
        born=endpoint.born,
        events=events,
    )


def note_end(
    gateway: Gateway, call: Call, endpoint: Endpoint, error: UpstreamError
) -> None:
    """Record that an endpoint has ended before it answered a request."""
    parts = call.head.prompt_parts
    if not parts or not error.sent or error.kind not in END_KINDS:
        return
    now = asyncio.get_running_loop().time()
    faults = gateway.prompt_faults
    for part in parts:
        faults.note_end((call.service, part), endpoint.incarnation, now)
    counts = [len(faults.counted_ends((call.service, part))) for part in parts]
    log.warning(
        "endpoint ended under a prompt",
        request=call.id,
        endpoint=endpoint.id,
        born=endpoint.born,
        prompt_parts=list(parts),
        ends=counts,
    )
    log_new_candidates(gateway)
    gateway.urgent_signal.notify()


def note_proof(gateway: Gateway, call: Call) -> None:
    """Record that an endpoint has answered a request."""
    now = asyncio.get_running_loop().time()
    for part in call.head.prompt_parts:
        gateway.prompt_faults.note_proof((call.service, part), now)


def note_answer(gateway: Gateway, call: Call, endpoint: Endpoint) -> None:
    """Record a whole answer: a proof of its prompt, and a sign of life."""
    note_proof(gateway, call)
    now = asyncio.get_running_loop().time()
    gateway.prompt_faults.note_data(endpoint.incarnation, now)


def log_new_candidates(gateway: Gateway) -> None:
    """Log which parts of prompts are now assumed to end endpoints."""
    faults = gateway.prompt_faults
    for service, part in faults.new_candidates():
        ends = faults.counted_ends((service, part))
        log.warning(
            "part of prompts suspected",
            service=service,
            part=part,
            endpoints=sorted(name for name, _ in ends),
        )


def merge_evidence(gateway: Gateway, message: PeerMessage, now: float) -> bool:
    """
    Merge what another gateway knows about parts of prompts.

    Returns
    -------
    bool
        Whether the datagram reports an end that was not known.
    """
    faults = gateway.prompt_faults
    for part, age in message.prompt_proofs.items():
        faults.note_proof(part, now - age, message.scope.distance)
    is_new = False
    for part, ages in message.prompt_ends.items():
        for incarnation, age in ages.items():
            is_new |= faults.note_end(part, incarnation, now - age)
    if is_new:
        log_new_candidates(gateway)
    return is_new
