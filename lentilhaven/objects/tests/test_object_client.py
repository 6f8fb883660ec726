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


def with_store(use):
    """Run `use(store, client)` against the stand-in and return its result."""

    async def main():
        store = ObjectStore(random.Random(1))
        async with (
            serve_app(object_api_app(store), port=9000) as url,
            open_object_client(url, VirtualConnector(), loop_clock()) as client,
        ):
            return await use(store, client)

    return run_virtual(main())


class WriteTests(unittest.TestCase):
    def test_says_what_became_of_a_write(self):
        async def use(store, client):
            first = await client.write("a", 1, 0)
            second = await client.write("a", 2, 0)
            store.faults.refusal_rate = 1.0
            third = await client.write("a", 3, first.version)
            return first, second, third, store.objects["a"].value

        first, second, third, value = with_store(use)
        self.assertIsInstance(first, Written)
        self.assertIsInstance(second, Conflict)
        self.assertIsInstance(third, Refused)
        self.assertEqual(value, 1)

    def test_a_lost_answer_and_a_lost_request_look_the_same(self):
        async def use(store, client):
            store.faults.lost_answer_rate = 1.0
            answer = await client.write("a", 1, 0)
            store.faults.lost_request_rate = 1.0
            request = await client.write("b", 1, 0)
            return answer, request, sorted(store.objects)

        answer, request, names = with_store(use)
        self.assertIsInstance(answer, Ambiguous)
        self.assertIsInstance(request, Ambiguous)
        self.assertEqual(names, ["a"])

    def test_a_slow_store_is_ambiguous_and_an_absent_one_is_not(self):
        async def use(store, client):
            store.faults.delay = CALL_TIMEOUT + 1.0
            return await client.write("a", 1, 0)

        async def absent():
            async with open_object_client(
                "http://127.0.0.1:9999", VirtualConnector()
            ) as client:
                return await client.write("a", 1, 0)

        self.assertIsInstance(with_store(use), Ambiguous)
        self.assertIsInstance(run_virtual(absent()), Refused)


class WatchTests(unittest.TestCase):
    def test_misses_nothing_after_the_version_of_a_list(self):
        async def use(store, client):
            await client.write("t/a", 1, 0)
            listing = (await client.list_at("t/")).ok
            await client.write("t/b", 1, 0)
            await client.write("other", 1, 0)
            changed = (await client.watch_from("t/", listing.version, 5.0)).ok
            nothing = (await client.watch_from("t/", changed.version, 1.0)).ok
            return changed, nothing, store.version

        changed, nothing, newest = with_store(use)
        self.assertEqual([it.name for it in changed.objects], ["t/b"])
        self.assertEqual((nothing.objects, nothing.version), ([], newest))

    def test_goes_on_from_the_version_of_the_store_after_compaction(self):
        async def use(store, client):
            written = await client.write("t/a", 1, 0)
            await client.write("other", 1, 0)
            store.compacted_before = store.version
            old = await client.watch_from("t/", written.version, 1.0)
            listing = (await client.list_at("t/")).ok
            new = await client.watch_from("t/", listing.version, 1.0)
            return old.error.kind, new.is_ok()

        self.assertEqual(with_store(use), ("compacted", True))

    def test_a_silent_watch_ends(self):
        async def use(store, client):
            store.faults.silent_watches = True
            began = asyncio.get_running_loop().time()
            outcome = await client.watch_from("t/", 0, 2.0)
            return outcome.is_error(), asyncio.get_running_loop().time() - began

        failed, seconds = with_store(use)
        self.assertTrue(failed)
        self.assertLessEqual(seconds, 2.0 + WATCH_SLACK + 0.01)


class ListTests(unittest.TestCase):
    def test_the_list_lags_and_its_version_rises(self):
        async def use(store, client):
            store.faults.vms_lag = 5.0
            first = (await client.read_vm_list()).ok
            store.vms = [ListedVm("vm-1", "http://h", "ruwi")]
            late = (await client.read_vm_list()).ok
            await asyncio.sleep(6.0)
            return first, late, (await client.read_vm_list()).ok

        first, late, now = with_store(use)
        self.assertEqual(first, late)
        self.assertEqual([vm.id for vm in now.vms], ["vm-1"])
        self.assertGreater(now.version, late.version)


class MalformedTests(unittest.TestCase):
    def test_a_body_that_is_not_what_was_agreed_is_a_failure(self):
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
                    (await client.list_below("a")).is_error(),
                    (await client.read_vm_list()).is_error(),
                    isinstance(await client.write("a", 1, 0), Ambiguous),
                )

        self.assertEqual(run_virtual(main()), (True,) * 4)


class ShareTests(unittest.TestCase):
    def test_each_share_has_a_rate_of_its_own(self):
        async def use(store, client):
            clock = loop_clock()
            leases = client.for_share(Share.LEASES)
            for _ in range(30):
                await leases.read("a")
            waited = clock.monotonic()
            await client.for_share(Share.CONFIGURATION).read("a")
            return waited, clock.monotonic() - waited

        waited, other = with_store(use)
        self.assertGreater(waited, 0.9)
        self.assertLess(other, 0.01)
