"""
Limits on retries of failed requests.

`RetryBudget` limits the retries of a route in proportion to its recent requests,
so that retries can't amplify an overload.  `jittered_delay` spreads retries over
time.  `CircuitBoard` tells which endpoints must get no new requests because they
have just failed.  None of them reads a clock or a global random source: times and
random number generators are arguments.
"""

from lentilhaven.retries.backoff import jittered_delay
from lentilhaven.retries.circuit import CircuitBreaker
from lentilhaven.retries.circuit_board import CircuitBoard
from lentilhaven.retries.retry_budget import RetryBudget

__all__ = ["CircuitBoard", "CircuitBreaker", "RetryBudget", "jittered_delay"]
