"""
Admission: who is served now, who waits and who is refused at once.

`AdmissionState` holds a router's requests in flight and in queue for one pool.
`AdmissionPolicy` decides on refusal and on the order of the queue.
`AdaptiveLimit` follows the measured time between tokens.  `Quota` divides a
workspace's limits between routers without a call to the store.  All of it is
pure: clock readings are arguments.
"""

from lentilhaven.limits.adaptive_limit import AdaptiveLimit
from lentilhaven.limits.admission_policies import ADMISSION_POLICIES
from lentilhaven.limits.admission_state import AdmissionState
from lentilhaven.limits.gate import Gate
from lentilhaven.limits.ticket import Ticket

__all__ = ["ADMISSION_POLICIES", "AdaptiveLimit", "AdmissionState", "Gate", "Ticket"]
