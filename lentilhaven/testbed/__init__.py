"""
The whole system in one process, beside embedded stand-ins.

A testbed starts a stand-in of the platform, engines and services, and the real
agent and router of each VM.  It runs over real sockets, or in virtual time when
it is given a port allocator and the virtual connector; the code under test is
the same.  The demonstration, the benchmarks and the tests all use it.
"""

from lentilhaven.testbed.opening import open_testbed
from lentilhaven.testbed.testbed import Testbed
from lentilhaven.testbed.testbed_plan import TestbedPlan

__all__ = ["Testbed", "TestbedPlan", "open_testbed"]
