"""
Pattern: engines are lost, and what is left spans two data centres.

All chains then cross one pipe, which carries the prompts of all requests one after
another.  Once it is full, every token waits behind prompts, all callers leave, and
their repeated requests keep it full after the cause has passed.
"""

import asyncio
import unittest

from lentilhaven.chains.chain_costs import ChainCosts
from lentilhaven.fleet.engine_spec import EngineSpec
from lentilhaven.fleet.route_rule import RouteKind, RouteRule
from lentilhaven.gateway.chain_choice import is_too_slow
from lentilhaven.gateway.tests.platform_testbed import (
    engine,
    run_on_testbed,
    sample_manifest,
)
from lentilhaven.locality.pipe_meter import PipeMeter
from lentilhaven.standins.platform.sample_files import engine_entry

#: Bandwidth at which a prompt of 100 tokens takes 0.1 s.
SLOW_PIPE = {"pipe_mbps": 8.0, "activation_bytes": 1000}


def split_engines():
    """Return engines of which each data centre holds half of the layers."""
    return [engine("a0", 0, 4), engine("b4", 4, 8, data_centre="dc-b")]


def slow_pipe_manifest():
    manifest = sample_manifest()
    manifest["services"][0]["engine"] = engine_entry(**SLOW_PIPE)
    return manifest


async def fill_pipe(bed, seconds, rate):
    """Record traffic of other requests on the pipe."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        bed.gateways[0].link_traffic.record({"dc-a|dc-b": 1}, 100.0, loop.time())
        await asyncio.sleep(1.0 / rate)


class AdmissionTests(unittest.TestCase):
    def run_with_pipe(self, use):
        return run_on_testbed(
            use, split_engines(), gateways=1, manifest=slow_pipe_manifest()
        )

    def test_idle_pipe_is_used(self):
        async def use(bed):
            return (await bed.call("/draft/1")).status

        self.assertEqual(self.run_with_pipe(use), 200)

    def test_full_pipe_refuses_at_once_until_it_empties(self):
        async def use(bed):
            await fill_pipe(bed, 3.0, rate=12.0)
            during = await bed.call("/draft/1")
            runs = len(bed.fleet.runs)
            await asyncio.sleep(3.0)
            after = await bed.call("/draft/1")
            return during, runs, after.status

        during, runs, after = self.run_with_pipe(use)
        self.assertEqual((during.status, runs, after), (503, 0, 200))
        self.assertLess(during.seconds, 0.1)
        self.assertIn("Retry-After", during.headers)


class PipeQueue:
    """A pipe that carries one prompt at a time; streams wait behind prompts."""

    def __init__(self, transfer_time):
        self.transfer_time = transfer_time
        self.free_at = 0.0

    def send(self, now):
        """Send a prompt and return how long it waits before its transfer."""
        wait = max(0.0, self.free_at - now)
        self.free_at = max(self.free_at, now) + self.transfer_time
        return wait


class OverloadTests(unittest.TestCase):
    """A burst of three times what the pipe carries, in a model of its queue."""

    SPEC = EngineSpec(
        "m",
        80,
        1750.0,
        590_000.0,
        {},
        activation_bytes=59_000.0,
        data_centre_link_mbps=1100.0,
        mean_prompt_tokens=774.0,
        mean_output_tokens=209.0,
        tokens_per_step=6,
    )
    ROUTE = RouteRule("r", "h", "/", RouteKind.STREAMING, (), 20.0, 0.6, gap_target=0.3)

    def simulate(self, admits):
        """Return the share of requests served before, during and after a burst."""
        pipe, meter = PipeQueue(0.33), PipeMeter()
        served = {"before": [], "burst": [], "after": []}
        now = 0.0
        while now < 60.0:
            phase = "before" if now < 15 else "burst" if now < 30 else "after"
            now += 0.11 if phase == "burst" else 1.2
            rate = meter.current(now).get("p", 0.0)
            costs = ChainCosts(self.SPEC, 774.0, 209.0, lambda *_, rate=rate: rate)
            if admits and is_too_slow(costs, costs.hop_ms("a", "b"), self.ROUTE):
                served[phase].append(False)
                continue
            meter.record({"p": 1}, 983.0, now)
            served[phase].append(pipe.send(now) < self.ROUTE.stream_patience)
        return {name: sum(found) / len(found) for name, found in served.items()}

    def test_overload_ends_with_its_cause(self):
        admitting, all_taken = self.simulate(True), self.simulate(False)
        self.assertGreater(admitting["after"], 0.95)
        self.assertLess(all_taken["after"], 0.5)
        self.assertGreaterEqual(admitting["burst"], all_taken["burst"])
