"""Admission policies by their names in the route table."""

from collections.abc import Callable

import attrs

from lentilhaven.limits.admission_request import AdmissionRequest
from lentilhaven.limits.admission_state import AdmissionState
from lentilhaven.limits.deadline_admission import (
    pick_fairly,
    predict_fair_wait,
)
from lentilhaven.limits.first_come import pick_first, predict_no_wait


@attrs.frozen
class AdmissionPolicy:
    """
    Decides whether to refuse a request, and orders the queue.

    Attributes
    ----------
    predict_wait : callable
        Returns the predicted wait of a request, in seconds.
    pick : callable
        Returns the queued request to start next, or None to start none now.
    """

    predict_wait: Callable[[AdmissionState, AdmissionRequest], float]
    pick: Callable[[AdmissionState], AdmissionRequest | None]


ADMISSION_POLICIES: dict[str, AdmissionPolicy] = {
    "deadline": AdmissionPolicy(predict_fair_wait, pick_fairly),
    "first-come": AdmissionPolicy(predict_no_wait, pick_first),
}
