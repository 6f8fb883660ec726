"""
When a failed request may be tried again.

`RetryBudget` bounds the retries of a route by its recent requests, so that
retries can't amplify an overload.  `jittered_delay` spreads them in time.
`CircuitBoard` keeps new work from endpoints that have just failed.  All are
pure: time and chance are arguments.
"""

from lentilhaven.retries.backoff import jittered_delay
from lentilhaven.retries.circuit import Circuit
from lentilhaven.retries.circuit_board import CircuitBoard
from lentilhaven.retries.retry_budget import RetryBudget

__all__ = ["Circuit", "CircuitBoard", "RetryBudget", "jittered_delay"]
