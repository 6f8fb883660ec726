import asyncio
import unittest

import attrs

from lentilhaven.gateway.tests.platform_testbed import LAYERS, engine, run_on_testbed
from lentilhaven.standins.platform.fake_replica import Run

#: Part of prompts that crashes engines, and one that all requests share.
HARMFUL, SHARED = "dead01", "5c1e07a2"

#: Streams a second with and without the harmful part.
HARMFUL_RATE, SOUND_RATE = 6, 30

#: Seconds of sound streams alone, and of streams of both kinds after that.
QUIET_TIME, MIXED_TIME = 3.0, 14.0

#: Seconds after the fifth crash from which requests with the harmful part are counted,
#: and how many may still reach replicas.
LEARNING_TIME, ALLOWED_RUNS = 3.0, 3

#: Seconds after the fifth crash from which sound streams are counted once more.
RECOVERY_TIME = 6.0


@attrs.frozen
class Sent:
    """A sound stream: when it was sent, and whether its answer was complete."""

    at: float
    served: bool


@attrs.define
class Outcome:
    """
    What has happened in a run with a harmful part.

    Attributes
    ----------
    harmful_from : float
        Time at which the first request with the part was sent, in seconds.
    crashes : list of float
        Times of the crashes, in ascending order.
    harmful_runs : list of Run
        Runs of requests with the part.
    sound : list of Sent
        The sound streams.
    """

    harmful_from: float
    crashes: list[float]
    harmful_runs: list[Run]
    sound: list[Sent]

    @property
    def fifth_crash(self) -> float:
        """Return the time of the fifth crash, or of the last if there were fewer."""
        return self.crashes[:5][-1]

    def served_share(self, start: float, end: float = 1e9) -> float:
        """Return the share of sound streams sent in an interval that were served."""
        found = [it.served for it in self.sound if start <= it.at < end]
        return sum(found) / len(found)


def full_engines(count=12):
    """Return engines that each hold all layers."""
    names = [f"e{chr(ord('a') + number)}" for number in range(count)]
    return [engine(name, 0, LAYERS, card="large") for name in names]


async def send_at_rate(bed, rate, seconds, prefix, sent):
    """Send streams at a rate through all gateways in turn, and await the replies."""
    loop = asyncio.get_running_loop()

    async def send(number):
        at = loop.time()
        gateway = number % len(bed.gateways)
        reply = await bed.call(
            "/draft/1",
            gateway=gateway,
            Prompt_Prefix=prefix.format(own=f"{number:08x}"),
        )
        sent.append(Sent(at, reply.status == 200 and reply.complete))

    tasks = []
    for number in range(int(rate * seconds)):
        tasks.append(asyncio.ensure_future(send(number)))
        await asyncio.sleep(1.0 / rate)
    await asyncio.gather(*tasks)


async def play_harmful_part(bed, prefix):
    """Send sound streams, after a while others with a harmful part beside them."""
    bed.fleet.crashing_part, bed.fleet.crash_time = HARMFUL, 2.0
    bed.fleet.keeps_layers = True
    sound, harmful = [], []
    sound_prefix = f"{SHARED}:800,{{own}}:250"
    seconds = QUIET_TIME + MIXED_TIME
    task = asyncio.ensure_future(
        send_at_rate(bed, SOUND_RATE, seconds, sound_prefix, sound)
    )
    await asyncio.sleep(QUIET_TIME)
    began = asyncio.get_running_loop().time()
    await send_at_rate(bed, HARMFUL_RATE, MIXED_TIME, prefix, harmful)
    await task
    runs = [run for run in bed.fleet.runs if HARMFUL in run.fields["prompt-prefix"]]
    crashes = [at for it in bed.fleet.replicas.values() for at in it.crashes]
    return Outcome(began, sorted(crashes), runs, sound)


class HarmfulPartTests(unittest.TestCase):
    """
    Guard against a part of prompts that ends one engine after the other.

    Requests with it come at every gateway, no two alike, and each ended two engines;
    sound streams found no engines any more.
    """

    def check(self, prefix):
        outcome = run_on_testbed(
            lambda bed: play_harmful_part(bed, prefix), full_engines()
        )
        fifth = outcome.fifth_crash
        late = [it for it in outcome.harmful_runs if it.at > fifth + LEARNING_TIME]
        before = outcome.served_share(0.0, outcome.harmful_from)
        during = outcome.served_share(outcome.harmful_from)
        after = outcome.served_share(fifth + RECOVERY_TIME)
        with self.subTest("requests with the part reach no more replicas"):
            self.assertLessEqual(len(late), ALLOWED_RUNS)
        with self.subTest("sound streams go on to be served"):
            self.assertGreaterEqual(during, 0.5 * before)
        with self.subTest("sound streams are served after a while"):
            self.assertGreaterEqual(after, 0.5 * before)

    def test_part_in_the_middle(self):
        self.check(f"{SHARED}:800,{HARMFUL}:410,{{own}}:250")

    def test_part_at_the_start(self):
        self.check(f"{HARMFUL}:410,{SHARED}:800,{{own}}:250")
