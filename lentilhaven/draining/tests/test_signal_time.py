import asyncio
import os
import signal
import time
import unittest

from lentilhaven.draining.signal_time import SignalTime

#: Seconds after which the signal arrives, and for which the event loop is busy then.
SIGNAL_AT, BUSY_TIME = 0.1, 0.6

#: Seconds by which the interpreter may run its handler late on a busy machine.
SLACK = 0.3


def keep_busy(began):
    """Send a signal every `SIGNAL_AT` seconds, and let no event loop run meanwhile."""
    while time.monotonic() - began < BUSY_TIME:
        time.sleep(SIGNAL_AT)
        os.kill(os.getpid(), signal.SIGUSR2)


class SignalTimeTests(unittest.TestCase):
    """Guards against a grace period that is reckoned from a late event loop."""

    def test_time_is_that_of_the_arrival(self):
        async def main():
            arrival = SignalTime()
            arrival.watch((signal.SIGUSR2,))
            loop = asyncio.get_running_loop()
            began = loop.time()
            keep_busy(began)
            found = await arrival.wait()
            return found - began, loop.time() - began

        found, now = asyncio.run(main())
        self.assertLess(found, SIGNAL_AT + SLACK)
        self.assertGreaterEqual(now, BUSY_TIME)
