"""Spread of the evidence about requests that end endpoints, from gateway to gateway."""

import asyncio
import unittest

from lentilhaven.gateway.tests.platform_testbed import (
    plain_replicas,
    run_on_testbed,
    sample_manifest,
)
from lentilhaven.gateway.tests.test_call import make_call
from lentilhaven.gateway.tests.test_crashing_requests import crash_times
from lentilhaven.gateway.tests.test_large_fleet import LARGE, SETTLING
from lentilhaven.standins.platform.fake_replica import CrashingRequest

#: Path of requests that are not repeated, so that each ends one replica.
PATH = "/post/7"

#: Body of the request that ends replicas: of some, that with the last digest in
#: alphabetical order, so that it is last where bystanders are equal otherwise.
CRASHING_BODY = max(
    (b"count of meter %d" % number for number in range(100)),
    key=lambda it: make_call(target=PATH, body=it).digest,
)

#: Gateways of a small fleet.
SMALL = {"gateways": 4}

#: Seconds from the third end until every gateway refuses the request.
SPREAD_TIME = 0.5

#: Seconds for which bystanders run.
BYSTANDER_TIME = 5.0

#: Seconds from one request that ends its replica to the next.
CRASH_INTERVAL = 0.2


def patient_manifest():
    """Return a manifest with which hundreds of slow requests run on each replica."""
    manifest = sample_manifest()
    for route in manifest["routes"]:
        route["timeout_ms"] = 20_000
    for service in manifest["services"]:
        service["max_connections"] = 1000
    return manifest


async def start_bystanders(bed, gateways, count):
    """Start slow requests, no two alike, through some gateways."""
    for replica in bed.fleet.replicas.values():
        replica.faults.delay = BYSTANDER_TIME
    tasks = [
        asyncio.ensure_future(
            bed.call(PATH, gateway=gateway, body=b"%d of %d" % (number, gateway))
        )
        for gateway in gateways
        for number in range(count)
    ]
    await asyncio.sleep(0.5)
    for replica in bed.fleet.replicas.values():
        replica.faults.delay = 0.0
    return tasks


async def end_replicas(bed, gateways, body=CRASHING_BODY):
    """Let a request end one replica through each of some gateways in turn."""
    for gateway in gateways:
        crashes = len(crash_times(bed))
        # A replica that has just ended may refuse the connection.
        while len(crash_times(bed)) == crashes:
            await bed.call(PATH, gateway=gateway, body=body)
            await asyncio.sleep(CRASH_INTERVAL)


async def call_all(bed, gateways=None, body=CRASHING_BODY):
    """Return the status of a request through each gateway at the same time."""
    numbers = range(len(bed.gateways)) if gateways is None else gateways
    replies = [bed.call(PATH, gateway=number, body=body) for number in numbers]
    return [reply.status for reply in await asyncio.gather(*replies)]


def in_fleet(use, replicas=12, **options):
    """Run ``use(bed)`` once the gateways have found each other."""

    async def settled(bed):
        rule = CrashingRequest("depot", "POST", PATH, CRASHING_BODY)
        bed.fleet.crashing_requests.append(rule)
        bed.fleet.crash_time = 1.0
        if len(bed.gateways) > SMALL["gateways"]:
            await asyncio.sleep(SETTLING)
        return await use(bed)

    found = plain_replicas(replicas)
    for replica in found:
        replica.slots = 1000
    return run_on_testbed(settled, found, manifest=patient_manifest(), **options)


class SpreadTests(unittest.TestCase):
    """Guard against three ends that three gateways see, so that none adds them up."""

    #: Requests that run beside through each of the three gateways.
    BYSTANDERS = 480

    def check(self, options):
        async def use(bed):
            # In a large fleet these gateways are in three data centres.
            tasks = await start_bystanders(bed, (0, 1, 2), self.BYSTANDERS)
            await end_replicas(bed, (0, 1, 2))
            lost = sum(task.done() for task in tasks)
            await asyncio.sleep(SPREAD_TIME - CRASH_INTERVAL)
            refused = await call_all(bed)
            for task in tasks:
                task.cancel()
            return lost, refused, len(bed.fleet.crashing_request_arrivals)

        lost, refused, arrivals = in_fleet(use, replicas=6, **options)
        # At each of the three gateways, for each of the ends.
        self.assertGreater(lost, 9 * 30)
        self.assertEqual(set(refused), {503})
        self.assertEqual(arrivals, 3)

    def test_small_fleet(self):
        self.check(SMALL)

    def test_large_fleet(self):
        self.check(LARGE)
