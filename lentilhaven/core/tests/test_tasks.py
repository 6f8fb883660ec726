import asyncio
import unittest

from lentilhaven.core.task_set import open_task_set
from lentilhaven.core.tasks import running_tasks
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
