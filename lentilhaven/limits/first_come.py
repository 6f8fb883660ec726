"""Baseline policy: one queue in order of arrival, without refusal."""

from lentilhaven.limits.admission_request import AdmissionRequest
from lentilhaven.limits.admission_state import AdmissionState


def predict_no_wait(state: AdmissionState, ticket: AdmissionRequest) -> float:
    """Return 0, so that no request is refused."""
    return 0.0


def pick_first(state: AdmissionState) -> AdmissionRequest | None:
    """Return the request that arrived first, or None if the limit is reached."""
    if len(state.running) >= int(state.limit.limit) or not state.queues:
        return None
    waiting = (it for queue in state.queues.values() for it in queue)
    return min(waiting, key=lambda it: it.arrived)
