import asyncio
import unittest

from lentilhaven.core.task_set import open_task_set
from lentilhaven.core.tasks import running_tasks
from lentilhaven.standins.virtual import run_virtual


async def lose_one_cancellation():
    lost = False
    while True:
        try:
            await asyncio.sleep(3600.0)
        except asyncio.CancelledError:
            if lost:
                raise
            lost = True


class CancellationTests(unittest.TestCase):
    def test_a_context_ends_though_a_task_loses_a_cancellation(self):
        async def main():
            async with asyncio.timeout(10.0):
                async with running_tasks(lose_one_cancellation()):
                    await asyncio.sleep(1.0)
                async with open_task_set(lambda _: lose_one_cancellation()) as tasks:
                    tasks.keep(["one"])
                    await asyncio.sleep(1.0)
            return asyncio.get_running_loop().time()

        self.assertLess(run_virtual(main()), 5.0)
