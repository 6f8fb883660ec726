"""Sends a non-idempotent call under a claim."""

from collections.abc import Awaitable, Callable

import attrs
from expression import Error, Ok, Result

from lentilhaven.control.claim import (
    ClaimAnswer,
    ClaimOutcome,
    ClaimRequest,
    RecordedResponse,
    Settlement,
    SettleOutcome,
)
from lentilhaven.core.failure import Failure
from lentilhaven.core.ran import Ran
from lentilhaven.idempotency.guarded_call import GuardedCall


@attrs.frozen
class DispatchPorts:
    """
    What a dispatch needs of the program around it.

    Attributes
    ----------
    claim : callable
        Asks the journal for a claim.
    send : callable
        Sends the call once.  A failure with ``Ran.NO`` promises that it did not
        run and will not run later; one with ``Ran.YES`` that it ran.
    settle : callable
        Settles in the background, again and again until it is confirmed.
    max_sends : int
        Most sends of one call.  A call of which a send may have run is sent
        again only if endpoints check keys.
    """

    claim: Callable[[ClaimRequest], Awaitable[ClaimAnswer]]
    send: Callable[[], Awaitable[Result[RecordedResponse, Failure]]]
    settle: Callable[[Settlement], None]
    max_sends: int = 1


@attrs.frozen
class Dispatched:
    """
    How a dispatch ended.

    Attributes
    ----------
    ran : Ran
        What is known of the execution of this request.
    refusal : ClaimAnswer or None
        Set if the claim was not granted.
    failure : Failure or None
        Set if the call was granted and failed.
    """

    ran: Ran
    refusal: ClaimAnswer | None = None
    failure: Failure | None = None


async def dispatch(call: GuardedCall, ports: DispatchPorts) -> Dispatched:
    """
    Claim a call, send it at most once, and settle it.

    Parameters
    ----------
    call : GuardedCall
        The call.
    ports : DispatchPorts
        The program around it.
    """
    answer = await ports.claim(call.claim)
    if answer.outcome is ClaimOutcome.GRANTED:
        call.move("grant")
    elif answer.outcome is ClaimOutcome.UNAVAILABLE and call.claim.rerun_unknown:
        call.trust_endpoints()
    else:
        call.move("give_up")
        if answer.may_stand:
            ports.settle(Settlement(call.claim, SettleOutcome.ABANDONED))
        return Dispatched(call.ran, refusal=answer)
    response: RecordedResponse | None = None
    try:
        outcome = await send_within(call, ports)
        follow(call, outcome)
        response = outcome.default_value(None)
    finally:
        # Also when the task is cancelled: a call that was let out is then unknown.
        if call.state == "granted":
            call.move("give_up")
        ports.settle(Settlement(call.claim, call.settlement, response))
    return Dispatched(call.ran, failure=None if outcome.is_ok() else outcome.error)


async def send_within(
    call: GuardedCall, ports: DispatchPorts
) -> Result[RecordedResponse, Failure]:
    """Send a call, and again as long as that can't make it run twice."""
    uncertain = False
    for left in reversed(range(ports.max_sends)):
        call.let_out()
        outcome = await ports.send()
        if outcome.is_ok():
            return Ok(outcome.ok)
        failure = outcome.error
        uncertain = uncertain or failure.ran is Ran.UNKNOWN
        if uncertain and failure.ran is Ran.NO:
            failure = attrs.evolve(failure, ran=Ran.UNKNOWN)
        repeatable = failure.ran is Ran.NO or call.claim.rerun_unknown
        if failure.ran is Ran.YES or left == 0 or not repeatable:
            return Error(failure)
        if failure.ran is Ran.NO:
            call.take_back()
    raise AssertionError("a call is sent at least once")


def follow(call: GuardedCall, outcome: Result[RecordedResponse, Failure]) -> None:
    """Move a call on by the outcome of its last send."""
    if outcome.is_ok() or outcome.error.ran is Ran.YES:
        call.move("finish")
    elif outcome.error.ran is Ran.NO:
        call.move("disprove")
    else:
        call.move("lose")
