"""Dispatch of a non-idempotent call under a claim."""

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
class DispatchCallbacks:
    """
    Callbacks and limits that a dispatch depends on.

    Attributes
    ----------
    claim : callable
        Asks the journal for a claim.
    send : callable
        Sends the call once.  A failure with ``Ran.NO`` guarantees that the call
        did not run and will not run later; one with ``Ran.YES`` that it ran.
    settle : callable
        Settles the call in the background and retries until the settlement is
        confirmed.
    max_sends : int
        Maximum number of sends of one call.  A call that may have run is sent
        again only if the endpoints check keys.
    """

    claim: Callable[[ClaimRequest], Awaitable[ClaimAnswer]]
    send: Callable[[], Awaitable[Result[RecordedResponse, Failure]]]
    settle: Callable[[Settlement], None]
    max_sends: int = 1


@attrs.frozen
class DispatchResult:
    """
    The result of a dispatch.

    Attributes
    ----------
    ran : Ran
        Whether this request was executed, as far as known.
    refusal : ClaimAnswer or None
        The answer to the claim if it was not granted.
    failure : Failure or None
        The failure of a call that was sent; None if it succeeded.
    """

    ran: Ran
    refusal: ClaimAnswer | None = None
    failure: Failure | None = None


async def dispatch(call: GuardedCall, ports: DispatchCallbacks) -> DispatchResult:
    """
    Claim a call, send it so that it runs at most once, and settle it.

    If the journal is unavailable but the endpoints themselves execute each key at
    most once, the call is sent without a claim.

    Parameters
    ----------
    call : GuardedCall
        The call.
    ports : DispatchCallbacks
        Callbacks and limits.
    """
    answer = await ports.claim(call.claim)
    if answer.outcome is ClaimOutcome.GRANTED:
        call.apply_trigger("grant")
    elif answer.outcome is ClaimOutcome.UNAVAILABLE and call.claim.rerun_unknown:
        call.trust_endpoints()
    else:
        call.apply_trigger("give_up")
        if answer.may_stand:
            ports.settle(Settlement(call.claim, SettleOutcome.ABANDONED))
        return DispatchResult(call.ran, refusal=answer)
    response: RecordedResponse | None = None
    try:
        outcome = await send_with_retries(call, ports)
        apply_outcome(call, outcome)
        response = outcome.default_value(None)
    finally:
        # This also runs when the task is cancelled; the outcome of a call that was
        # sent is then unknown.
        if call.state == "granted":
            call.apply_trigger("give_up")
        ports.settle(Settlement(call.claim, call.settlement, response))
    return DispatchResult(call.ran, failure=None if outcome.is_ok() else outcome.error)


async def send_with_retries(
    call: GuardedCall, ports: DispatchCallbacks
) -> Result[RecordedResponse, Failure]:
    """Send a call, and send it again while that cannot make it run twice."""
    uncertain = False
    for remaining in reversed(range(ports.max_sends)):
        call.let_out()
        outcome = await ports.send()
        if outcome.is_ok():
            return Ok(outcome.ok)
        failure = outcome.error
        uncertain = uncertain or failure.ran is Ran.UNKNOWN
        # If an earlier send may have run, the call may have run, even if this send
        # certainly did not.
        if uncertain and failure.ran is Ran.NO:
            failure = attrs.evolve(failure, ran=Ran.UNKNOWN)
        may_resend = failure.ran is Ran.NO or call.claim.rerun_unknown
        if failure.ran is Ran.YES or remaining == 0 or not may_resend:
            return Error(failure)
        if failure.ran is Ran.NO:
            call.take_back()
    raise AssertionError(f"max_sends is {ports.max_sends}; it must be at least 1")


def apply_outcome(
    call: GuardedCall, outcome: Result[RecordedResponse, Failure]
) -> None:
    """Apply the outcome of the last send to the state of a call."""
    if outcome.is_ok() or outcome.error.ran is Ran.YES:
        call.apply_trigger("finish")
    elif outcome.error.ran is Ran.NO:
        call.apply_trigger("disprove")
    else:
        call.apply_trigger("lose")
