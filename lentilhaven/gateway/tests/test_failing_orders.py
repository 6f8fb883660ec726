import asyncio
import itertools
import unittest

from lentilhaven.gateway.tests.platform_testbed import LAYERS, engine, run_on_testbed

#: Seconds within which the gateways learn which orders end engines.
LEARNING_TIME = 12.0

#: Maximum number of trials in the first minute.
TRIALS_IN_A_MINUTE = 2

#: Number of engines that hold the last layers at first, and of those without layers.
HOLDERS, EMPTY = 6, 3


def empty_engines(count, **other):
    """Return engines without layers."""
    return [engine(f"e{number}", 0, 0, **other) for number in range(count)]


def find_crashes(bed):
    """Return when engines have crashed, in order."""
    return sorted(at for it in bed.fleet.replicas.values() for at in it.crashes)


def held_layers(bed):
    """Return the layers that some engine holds."""
    spans = [it.span for it in bed.fleet.replicas.values() if it.span]
    return {layer for span in spans for layer in range(*span)}


class FailingLayerTests(unittest.TestCase):
    """Guard against a layer that ends one engine after the other as it is loaded."""

    def run_fleet(self, seconds, repaired_at=None):
        """Return the times of crashes from the start on, and the layers held."""
        holders = [engine(f"h{it}", 4, LAYERS) for it in range(HOLDERS)]

        async def scenario(bed):
            loop = asyncio.get_running_loop()
            began = loop.time()
            bed.fleet.crashing_layer = 2
            if repaired_at is not None:
                await asyncio.sleep(repaired_at)
                bed.fleet.crashing_layer = None
            await asyncio.sleep(began + seconds - loop.time())
            return [at - began for at in find_crashes(bed)], held_layers(bed)

        return run_on_testbed(scenario, [*holders, *empty_engines(EMPTY)])

    def test_few_engines_are_ended_and_the_others_keep_their_layers(self):
        crashes, held = self.run_fleet(60.0)
        late = [at for at in crashes if at > LEARNING_TIME]
        self.assertGreater(len(crashes), 0)
        self.assertLessEqual(len(crashes) - len(late), EMPTY + HOLDERS - 1)
        self.assertLessEqual(len(late), TRIALS_IN_A_MINUTE)
        self.assertLessEqual(set(range(4, LAYERS)), held)

    def test_layer_is_tried_again_on_one_engine_at_growing_intervals(self):
        crashes, _ = self.run_fleet(500.0)
        late = [at for at in crashes if at > LEARNING_TIME]
        self.assertGreaterEqual(len(late), 3)
        gaps = [later - at for at, later in itertools.pairwise(late)]
        for gap, next_gap in itertools.pairwise(gaps):
            self.assertGreater(next_gap, 1.8 * gap)

    def test_layer_that_can_be_loaded_again_is_placed(self):
        _, held = self.run_fleet(150.0, repaired_at=30.0)
        self.assertEqual(held, set(range(LAYERS)))


class TooManyLayersTests(unittest.TestCase):
    """Guards against a manifest that states more memory than a type has."""

    def test_engines_of_the_type_are_ended_once_and_others_serve(self):
        # The manifest states memory for five layers.
        small = empty_engines(6, max_layers=4)
        large = [engine(f"l{it}", 0, 0, card="large") for it in range(2)]

        async def scenario(bed):
            await asyncio.sleep(60.0)
            replies = [await bed.call("/draft/1", gateway=it % 2) for it in range(4)]
            return find_crashes(bed), replies

        crashes, replies = run_on_testbed(scenario, [*small, *large])
        self.assertGreater(len(crashes), 0)
        self.assertLessEqual(len(crashes), len(small) + TRIALS_IN_A_MINUTE)
        self.assertEqual([it.status for it in replies], [200] * 4)


class OrdinaryCrashTests(unittest.TestCase):
    """Guards against layers that are withheld since engines crashed as they loaded."""

    def test_engines_that_crash_once_beside_sound_ones_are_placed_again(self):
        engines = empty_engines(8)

        async def scenario(bed):
            for replica in engines[:4]:
                replica.max_layers = 0
            await asyncio.sleep(3.0)
            for replica in engines[:4]:
                replica.max_layers = None
            await asyncio.sleep(12.0)
            return [len(it.crashes) for it in engines], [it.span for it in engines]

        crashes, spans = run_on_testbed(scenario, engines)
        self.assertGreaterEqual(min(crashes[:4]), 1)
        self.assertNotIn(None, spans)
