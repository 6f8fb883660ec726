import asyncio
import unittest

from lentilhaven.gateway.tests.platform_testbed import plain_replicas, run_on_testbed
from lentilhaven.limits.retry_time import MAX_SHARE_OF_TIME_LEFT
from lentilhaven.limits.start_wait import LATE_START_TIME
from lentilhaven.standins.platform.fake_store import StoreState

#: Seconds until the manifest is known, as after a power-off of all VMs.
DELAY = 0.3


async def call_without_manifest(bed, is_known_later, **fields):
    """Send a request to a gateway that has no manifest, and return the reply."""
    bed.store.state = StoreState.SILENT
    view = bed.gateways[0].view
    manifest, view.manifest = view.manifest, None

    def adopt():
        view.manifest = manifest
        view.changed.notify()

    if is_known_later:
        asyncio.get_running_loop().call_later(DELAY, adopt)
    return await bed.call("/look/1", "GET", **fields)


class FirstManifestTests(unittest.TestCase):
    # Guards against refusals at a start: callers return once, and met a second one.
    def test_a_request_waits_for_the_first_manifest(self):
        reply = run_on_testbed(
            lambda bed: call_without_manifest(bed, True),
            plain_replicas(),
            gateways=1,
        )
        self.assertEqual(reply.status, 200)

    # Guards against callers who return before the manifest is likely to be known.
    def test_a_refusal_names_a_time_that_the_caller_can_use(self):
        reply = run_on_testbed(
            lambda bed: call_without_manifest(bed, False, Deadline_Ms="9000"),
            plain_replicas(),
            gateways=1,
        )
        self.assertEqual(reply.status, 503)
        pause = float(reply.headers["Retry-After"])
        self.assertGreaterEqual(pause, LATE_START_TIME)
        self.assertLessEqual(pause, 9.0 * MAX_SHARE_OF_TIME_LEFT)

    # Guards against a wait that ends after the caller has left.
    def test_a_short_request_is_refused_in_time(self):
        reply = run_on_testbed(
            lambda bed: call_without_manifest(bed, False, Deadline_Ms="1000"),
            plain_replicas(),
            gateways=1,
        )
        self.assertEqual(reply.status, 503)
        self.assertLess(reply.seconds, 0.5)
