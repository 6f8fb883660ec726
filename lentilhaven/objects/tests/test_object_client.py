import asyncio
import random
import unittest

from aiohttp import web

from lentilhaven.core.clock import loop_clock
from lentilhaven.core.serving import serve_app
from lentilhaven.objects import (
    Ambiguous,
    Conflict,
    ListedVm,
    Refused,
    Share,
    Written,
    open_object_client,
)
from lentilhaven.objects.object_client import CALL_TIMEOUT, WATCH_SLACK
from lentilhaven.standins.object_api import object_api_app
from lentilhaven.standins.object_store import ObjectStore
from lentilhaven.standins.virtual import VirtualConnector, run_virtual


def run_with_store(use):
    """Return the result of `use(store, client)`, run against the stand-in."""

    async def main():
        store = ObjectStore(random.Random(1))
        async with (
            serve_app(object_api_app(store), port=9000) as url,
            open_object_client(url, VirtualConnector(), loop_clock()) as client,
        ):
            return await use(store, client)

    return run_virtual(main())


class WriteTests(unittest.TestCase):
    def test_write_returns_written_conflict_or_refused(self):
        async def use(store, client):
            created = await client.write("a", 1, 0)
            outdated = await client.write("a", 2, 0)
            store.faults.refusal_rate = 1.0
            refused = await client.write("a", 3, created.version)
            return created, outdated, refused, store.objects["a"].value

        created, outdated, refused, value = run_with_store(use)
        self.assertIsInstance(created, Written)
        self.assertIsInstance(outdated, Conflict)
        self.assertIsInstance(refused, Refused)
        self.assertEqual(value, 1)

    def test_lost_response_and_lost_request_are_both_ambiguous(self):
        async def use(store, client):
            store.faults.lost_answer_rate = 1.0
            lost_response = await client.write("a", 1, 0)
            store.faults.lost_request_rate = 1.0
            lost_request = await client.write("b", 1, 0)
            return lost_response, lost_request, sorted(store.objects)

        lost_response, lost_request, names = run_with_store(use)
        self.assertIsInstance(lost_response, Ambiguous)
        self.assertIsInstance(lost_request, Ambiguous)
        self.assertEqual(names, ["a"])

    def test_timeout_is_ambiguous_and_refused_connection_is_not(self):
        async def use(store, client):
            store.faults.delay = CALL_TIMEOUT + 1.0
            return await client.write("a", 1, 0)

        async def write_without_server():
            async with open_object_client(
                "http://127.0.0.1:9999", VirtualConnector()
            ) as client:
                return await client.write("a", 1, 0)

        self.assertIsInstance(run_with_store(use), Ambiguous)
        self.assertIsInstance(run_virtual(write_without_server()), Refused)


class WatchTests(unittest.TestCase):
    def test_watch_from_the_version_of_a_list_misses_no_change(self):
        async def use(store, client):
            await client.write("t/a", 1, 0)
            listing = (await client.list_with_version("t/")).ok
            await client.write("t/b", 1, 0)
            await client.write("other", 1, 0)
            changed = (await client.watch_from("t/", listing.version, 5.0)).ok
            unchanged = (await client.watch_from("t/", changed.version, 1.0)).ok
            return changed, unchanged, store.version

        changed, unchanged, newest = run_with_store(use)
        self.assertEqual([stored.name for stored in changed.objects], ["t/b"])
        self.assertEqual((unchanged.objects, unchanged.version), ([], newest))

    def test_watch_from_the_version_of_a_list_works_after_compaction(self):
        async def use(store, client):
            written = await client.write("t/a", 1, 0)
            await client.write("other", 1, 0)
            store.compacted_before = store.version
            old = await client.watch_from("t/", written.version, 1.0)
            listing = (await client.list_with_version("t/")).ok
            new = await client.watch_from("t/", listing.version, 1.0)
            return old.error.kind, new.is_ok()

        self.assertEqual(run_with_store(use), ("compacted", True))

    def test_watch_without_response_times_out(self):
        async def use(store, client):
            store.faults.silent_watches = True
            began = asyncio.get_running_loop().time()
            outcome = await client.watch_from("t/", 0, 2.0)
            return outcome.is_error(), asyncio.get_running_loop().time() - began

        failed, seconds = run_with_store(use)
        self.assertTrue(failed)
        self.assertLessEqual(seconds, 2.0 + WATCH_SLACK + 0.01)


class ListTests(unittest.TestCase):
    def test_vm_list_is_delayed_and_its_version_increases(self):
        async def use(store, client):
            store.faults.vms_lag = 5.0
            first = (await client.read_vm_list()).ok
            store.vms = [ListedVm("vm-1", "http://h", "ruwi")]
            delayed = (await client.read_vm_list()).ok
            await asyncio.sleep(6.0)
            return first, delayed, (await client.read_vm_list()).ok

        first, delayed, current = run_with_store(use)
        self.assertEqual(first, delayed)
        self.assertEqual([vm.id for vm in current.vms], ["vm-1"])
        self.assertGreater(current.version, delayed.version)


class MalformedTests(unittest.TestCase):
    def test_malformed_body_is_a_failure(self):
        async def answer(request):
            return web.json_response({"objects": 7, "vms": "x", "version": "y"})

        async def main():
            app = web.Application()
            app.router.add_route("*", "/{path:.*}", answer)
            async with (
                serve_app(app, port=9000) as url,
                open_object_client(url, VirtualConnector()) as client,
            ):
                return (
                    (await client.read("a")).is_error(),
                    (await client.list_prefix("a")).is_error(),
                    (await client.read_vm_list()).is_error(),
                    isinstance(await client.write("a", 1, 0), Ambiguous),
                )

        self.assertEqual(run_virtual(main()), (True,) * 4)


class ShareTests(unittest.TestCase):
    def test_each_share_has_its_own_rate_limit(self):
        async def use(store, client):
            clock = loop_clock()
            leases = client.for_share(Share.LEASES)
            for _ in range(30):
                await leases.read("a")
            leases_end = clock.monotonic()
            await client.for_share(Share.CONFIGURATION).read("a")
            return leases_end, clock.monotonic() - leases_end

        leases_end, configuration_duration = run_with_store(use)
        self.assertGreater(leases_end, 0.9)
        self.assertLess(configuration_duration, 0.01)
