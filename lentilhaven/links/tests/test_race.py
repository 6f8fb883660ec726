"""The first of several ways that succeeds."""

import asyncio
import unittest

from lentilhaven.links.race import race
from lentilhaven.standins.virtual import run_virtual

#: Seconds between the starts of two attempts.
INTERVAL = 0.1


def attempt(seconds, result=None, begun=None):
    """Return an attempt that succeeds, or fails if its result is an exception."""

    async def run():
        if begun is not None:
            begun.append(result)
        await asyncio.sleep(seconds)
        if isinstance(result, Exception):
            raise result
        return result

    return run


def play(*attempts, is_final=lambda error: False):
    """Return the outcome, the seconds that it took and what was discarded."""
    discarded = []

    async def main():
        loop = asyncio.get_running_loop()
        began = loop.time()
        outcome = await race(attempts, INTERVAL, is_final, discarded.append)
        seconds = round(loop.time() - began, 3)
        await asyncio.sleep(1.0)
        return outcome, seconds

    return *run_virtual(main()), discarded


class RaceTests(unittest.TestCase):
    def test_first_way_is_used_alone_if_it_is_quick(self):
        begun = []
        outcome, seconds, _ = play(attempt(0.05, "a", begun), attempt(0.01, "b", begun))
        self.assertEqual((outcome.result, seconds, begun), ("a", 0.05, ["a"]))

    def test_next_way_begins_beside_a_slow_one(self):
        outcome, seconds, _ = play(attempt(9.0, "a"), attempt(0.02, "b"))
        self.assertEqual((outcome.winner, outcome.result), (1, "b"))
        self.assertAlmostEqual(seconds, 0.12, places=2)

    def test_slow_way_may_still_win(self):
        outcome, seconds, _ = play(attempt(0.15, "a"), attempt(0.3, "b"))
        self.assertEqual((outcome.result, seconds), ("a", 0.15))

    def test_next_way_begins_at_once_after_a_failure(self):
        outcome, seconds, _ = play(attempt(0.01, OSError()), attempt(0.02, "b"))
        self.assertEqual((outcome.result, seconds), ("b", 0.03))

    def test_all_errors_are_told(self):
        outcome, _, _ = play(attempt(0.01, OSError()), attempt(0.01, TimeoutError()))
        self.assertIsNone(outcome.result)
        self.assertEqual(sorted(outcome.errors), [0, 1])

    def test_final_error_ends_the_race(self):
        begun = []
        outcome, seconds, _ = play(
            attempt(0.01, ConnectionRefusedError()),
            attempt(0.01, "b", begun),
            is_final=lambda error: isinstance(error, ConnectionRefusedError),
        )
        self.assertEqual((outcome.result, seconds, begun), (None, 0.01, []))

    def test_second_success_at_the_same_time_is_discarded(self):
        _, _, discarded = play(attempt(0.15, "a"), attempt(0.05, "b"))
        self.assertIn(discarded, (["a"], ["b"], []))

    def test_cancelled_race_ends_its_attempts(self):
        async def main():
            ended = []

            async def hang():
                try:
                    await asyncio.sleep(3600)
                finally:
                    ended.append(True)

            task = asyncio.ensure_future(
                race([hang, hang], INTERVAL, lambda error: False, print)
            )
            await asyncio.sleep(0.5)
            task.cancel()
            await asyncio.wait([task])
            return ended

        self.assertEqual(run_virtual(main()), [True, True])
