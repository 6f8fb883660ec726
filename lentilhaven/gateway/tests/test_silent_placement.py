import asyncio
import unittest

from lentilhaven.gateway.tests.platform_testbed import engine, run_on_testbed

#: Seconds for which a sound engine is silent before it goes on.
SILENCE = 1.4


class SilentEngineTests(unittest.TestCase):
    """Guard against layers that are moved since a sound engine was silent."""

    def run_streams(self, silence, seconds=4.0, seed=1):
        """Return replies and engines; two of three with layer 0 fall silent."""
        engines = [engine(f"{it}{at}", at, at + 4) for it in "abc" for at in (0, 4)]

        async def scenario(bed):
            streams = [
                asyncio.ensure_future(bed.call("/draft/1", gateway=it % 2, output=240))
                for it in range(12)
            ]
            await asyncio.sleep(0.2)
            now = asyncio.get_running_loop().time()
            for name in ("i-a0", "i-b0"):
                bed.fleet.replicas[name].faults.silent_until = now + silence
            replies = await asyncio.gather(*streams)
            await asyncio.sleep(seconds)
            return replies, list(bed.fleet.replicas.values())

        return run_on_testbed(scenario, engines, seed=seed)

    def test_silence_of_a_second_moves_no_layers(self):
        replies, engines = self.run_streams(SILENCE)
        self.assertEqual([it.complete for it in replies], [True] * 12)
        self.assertEqual([it.orders for it in engines], [0] * 6)

    def test_layers_of_engines_that_stay_silent_are_placed_again(self):
        _, engines = self.run_streams(60.0)
        self.assertGreater(sum(it.orders for it in engines), 0)

    def test_they_are_whatever_engines_the_streams_have_begun_on(self):
        """Another gateway's word for the last data comes later than the data."""
        for seed in range(2, 6):
            with self.subTest(seed=seed):
                _, engines = self.run_streams(60.0, seed=seed)
                self.assertGreater(sum(it.orders for it in engines), 0)
