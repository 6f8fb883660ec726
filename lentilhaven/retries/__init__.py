"""
Limits on retries of failed requests.

`RetryBudget` limits the retries of a route in proportion to its recent requests,
so that retries can't amplify an overload.  `jittered_delay` spreads retries over
time.  `CircuitBreakers` tells which endpoints must get no new requests because they
have just failed.  None of them reads a clock or a global random source: times and
random number generators are arguments.
"""

from lentilhaven.retries.backoff import jittered_delay
from lentilhaven.retries.circuit_breaker import CircuitBreaker
from lentilhaven.retries.circuit_breakers import CircuitBreakers
from lentilhaven.retries.retry_budget import RetryBudget

__all__ = ["CircuitBreakers", "CircuitBreaker", "RetryBudget", "jittered_delay"]
