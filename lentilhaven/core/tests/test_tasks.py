import asyncio
import unittest

from lentilhaven.core.task_set import open_task_set
from lentilhaven.core.tasks import FAILURE_PAUSE, keep_running, running_tasks
from lentilhaven.standins.virtual import run_virtual


async def ignore_first_cancellation():
    ignored = False
    while True:
        try:
            await asyncio.sleep(3600.0)
        except asyncio.CancelledError:
            if ignored:
                raise
            ignored = True


class CancellationTests(unittest.TestCase):
    def test_tasks_end_although_one_cancellation_is_lost(self):
        async def main():
            async with asyncio.timeout(10.0):
                async with running_tasks(ignore_first_cancellation()):
                    await asyncio.sleep(1.0)
                async with open_task_set(
                    lambda _: ignore_first_cancellation()
                ) as tasks:
                    tasks.set_keys(["one"])
                    await asyncio.sleep(1.0)
            return asyncio.get_running_loop().time()

        self.assertLess(run_virtual(main()), 5.0)


class FailureTests(unittest.TestCase):
    """Guards against a background task that does nothing more after a failure."""

    def test_task_runs_again_after_failures_until_it_is_cancelled(self):
        began = []

        async def fail_twice():
            began.append(asyncio.get_running_loop().time())
            if len(began) < 3:
                raise ZeroDivisionError
            await asyncio.sleep(3600.0)

        async def main():
            async with running_tasks(keep_running(fail_twice)):
                await asyncio.sleep(60.0)

        run_virtual(main())
        self.assertEqual(len(began), 3)
        self.assertGreaterEqual(began[1] - began[0], FAILURE_PAUSE)
