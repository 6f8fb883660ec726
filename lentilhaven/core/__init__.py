"""
Types that every other subject uses.

The subject holds identifiers, clocks, random sources, failures, invariants and
the reading of settings.  Nothing here talks to a network.  Time and chance are
always arguments: a decision that takes a `Clock` and a `random.Random` gives
the same result for the same seed, which is what makes a failure found in a
long randomised run reproducible.

A failure that a caller may expect is a value, `Failure`, carried by
``expression.Result``.  It names the step that failed, the peer at which it
failed and whether the request has run.  A broken invariant is a defect of the
program, and raises `InvariantError`.
"""

from lentilhaven.core.clock import Clock, loop_clock, system_clock
from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.invariants import InvariantError, ensure
from lentilhaven.core.ran import Ran
from lentilhaven.core.randomness import derive_random
from lentilhaven.core.step import Step

__all__ = [
    "Clock",
    "Failure",
    "FailureError",
    "InvariantError",
    "Ran",
    "Step",
    "derive_random",
    "ensure",
    "loop_clock",
    "system_clock",
]
