"""
The queues of a process, and the capacity for which their requests wait.

A `ServiceQueue` holds the requests of one service that can't start yet, in the order of
`lentilhaven.limits.waiting_queue`, and tries them when capacity may have appeared.
`ServiceQueues` are those of one process.  The rest is pure: which requests a manifest
orders (`OrderRules`), the prompt tokens that engines have got but not read
(`UnreadPrompts`), and the times in which engines read (`chain_capacity`).
"""

from lentilhaven.admission.order_rules import OrderRules
from lentilhaven.admission.refusal import Refusal
from lentilhaven.admission.service_queue import ServiceQueue
from lentilhaven.admission.service_queues import ServiceQueues
from lentilhaven.admission.unread_prompts import UnreadPrompts

__all__ = ["OrderRules", "Refusal", "ServiceQueue", "ServiceQueues", "UnreadPrompts"]
