"""
The whole system in one process, together with stand-ins for what it depends on.

A testbed starts stand-ins for the platform, engines and services, and the real
agent and router of each VM.  It runs over real sockets, or in virtual time, where
it allocates the ports itself and uses the virtual connector.  The code under test
is the same in both cases.  The demonstration, the benchmarks and the tests all use it.
"""

from lentilhaven.testbed.startup import open_testbed
from lentilhaven.testbed.testbed import Testbed
from lentilhaven.testbed.testbed_plan import TestbedPlan

__all__ = ["Testbed", "TestbedPlan", "open_testbed"]
