"""
Types and utilities that every other subpackage uses.

The subpackage holds identifiers, clocks, random number generators, failures,
invariants, logging, TLS contexts and the parser of settings.  Only `core.serving` and
`core.answer_body` use the network.  Clocks and random number generators are always
passed as arguments: a decision that takes a `Clock` and a `random.Random` gives the
same result for the same seed, so a failure found in a long randomised run can be
reproduced.

An expected failure is a value, `Failure`, carried by ``expression.Result``.  It
names the step that failed, the peer at which it failed and whether the request
was executed.  A violated invariant is a bug in the program and raises
`InvariantError`.
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
