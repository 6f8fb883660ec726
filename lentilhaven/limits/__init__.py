"""
Admission control: start, queue or refuse each request.

`AdmissionState` contains a router's requests in flight and in queue for one
pool.  `AdmissionPolicy` decides whether to refuse a request and orders the
queue.  `AdaptiveLimit` adjusts the concurrency limit to the measured time
between tokens.  `Quota` enforces a router's part of a workspace's limits without
a call to the store.  No function reads a clock: times are arguments.
"""

from lentilhaven.limits.adaptive_limit import AdaptiveLimit
from lentilhaven.limits.admission_controller import AdmissionController
from lentilhaven.limits.admission_policies import ADMISSION_POLICIES
from lentilhaven.limits.admission_request import AdmissionRequest
from lentilhaven.limits.admission_state import AdmissionState

__all__ = [
    "ADMISSION_POLICIES",
    "AdaptiveLimit",
    "AdmissionState",
    "AdmissionController",
    "AdmissionRequest",
]
