"""Objects of other writers in the store that can't be read, over loopback."""

import asyncio
import json
import unittest

from lentilhaven.core.tasks import keep_running, running_tasks
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.store_watch import watch_manifest, watch_replicas
from lentilhaven.gateway.tests.platform_testbed import sample_manifest, sample_settings
from lentilhaven.platform.settings import decode_settings
from lentilhaven.platform.store_client import open_store_client
from lentilhaven.platform.store_kinds import CONFIG, MANIFEST, REPLICAS
from lentilhaven.standins.platform.raw_store import RawStore, open_raw_store

#: Seconds within which a change must be known.
PATIENCE = 2.0

ENTRY = {
    "service": "stock",
    "address": "10.3.0.1:80",
    "zone": "dc-a",
    "slots": 4,
    "state": "ready",
}


def entry(**fields):
    """Return the text of a replica's entry with other fields."""
    return json.dumps(ENTRY | fields).encode()


#: Contents of which none names a replica.
ODD_ENTRIES = {
    "bytes": entry(zone="@").replace(b"@", b"Quer\xe9taro"),
    "nested lists": entry(zone="@").replace(b'"@"', b"[" * 40_000 + b"]" * 40_000),
    "nested objects": entry(zone="@").replace(
        b'"@"', b'{"a":' * 2_000 + b"0" + b"}" * 2_000
    ),
    "digits": entry(slots="@").replace(b'"@"', b"1" * 6_000),
    "many slots": entry(slots=10**400),
    "infinite slots": entry(slots=float("inf")),
    "port out of range": entry(address="10.3.0.1:70000"),
    "negative port": entry(address="10.3.0.1:-4"),
    "non-ASCII port": entry(address="10.3.0.1:٨٠"),
    "long zone": entry(zone="z" * 1_000),
    "surrogate": entry(zone="\ud800"),
    "list": b"[]",
    "null": b"null",
    "text": b'"ready"',
}

#: Layers that no engine holds; the entry is otherwise one of a replica.
ODD_LAYERS = (
    f'{{"from": 0, "target": {2**70}}}',
    f'{{"from": {2**70}, "target": {2**71}}}',
    '{"from": 0, "target": 1e400}',
    '{"from": 0, "target": "8"}',
)


async def wait_for(condition):
    """Wait until a condition holds; return whether it does within `PATIENCE`."""
    for _ in range(int(PATIENCE / 0.02)):
        if condition():
            return True
        await asyncio.sleep(0.02)
    return False


async def follow(store, scenario):
    """Return what `scenario(gateway, store)` returns for a gateway at the store."""

    async def permit(step):
        return None

    gateway = Gateway(decode_settings(sample_settings(0)))
    async with (
        open_raw_store(store) as address,
        open_store_client(address, 1.0, permit) as client,
    ):
        watches = [watch_manifest(gateway, client), watch_replicas(gateway, client)]
        async with running_tasks(*(keep_running(it.follow) for it in watches)):
            return await scenario(gateway, store)


def follow_each(make_store, scenario, contents=ODD_ENTRIES):
    """Return the results by kind of the content with which a store is made."""

    async def main():
        found = await asyncio.gather(
            *(follow(make_store(content), scenario) for content in contents.values())
        )
        return dict(zip(contents, found, strict=True))

    return asyncio.run(main())


def sample_store(odd=b""):
    """Return a store with a manifest and two replicas, and content to write later."""
    store = RawStore(odd=odd)
    store.put(CONFIG, MANIFEST, sample_manifest())
    store.put(REPLICAS, "i-1", ENTRY)
    store.put(REPLICAS, "i-3", ENTRY | {"address": "10.3.0.3:80"})
    return store


def store_with(kind, name):
    """Return a function that makes a store with another object."""

    def make(content):
        store = sample_store()
        store.put(kind, name, content)
        return store

    return make


async def known_endpoints(gateway, store):
    """Return the endpoints of a gateway once it has read everything."""
    await wait_for(lambda: gateway.view.is_complete)
    return set(gateway.view.endpoints)


class OddEntryTests(unittest.TestCase):
    def assert_each(self, results, expected):
        """Fail unless every result is the expected one."""
        for kind, found in results.items():
            with self.subTest(kind=kind):
                self.assertEqual(found, expected)

    def test_odd_entry_hides_no_change_of_another_replica(self):
        """Guard against replicas that are used after they were removed."""

        async def scenario(gateway, store):
            await wait_for(lambda: len(gateway.view.endpoints) == 2)
            store.put(REPLICAS, "i-2", store.odd)
            await asyncio.sleep(0.1)
            store.put(REPLICAS, "i-4", ENTRY | {"address": "10.3.0.4:80"})
            store.delete(REPLICAS, "i-1")
            await wait_for(lambda: set(gateway.view.endpoints) == {"i-3", "i-4"})
            return set(gateway.view.endpoints)

        self.assert_each(follow_each(sample_store, scenario), {"i-3", "i-4"})

    def test_gateway_starts_beside_an_odd_entry(self):
        """Guard against gateways that are never ready after a restart."""
        found = follow_each(store_with(REPLICAS, "i-2"), known_endpoints)
        self.assert_each(found, {"i-1", "i-3"})

    def test_odd_entry_at_the_end_of_a_page(self):
        """Guard against a listing that ends, or never ends, at an odd entry."""

        def make(content):
            store = store_with(REPLICAS, "i-2")(content)
            store.put(REPLICAS, "i-4", content)
            store.page_size = 2
            return store

        self.assert_each(follow_each(make, known_endpoints), {"i-1", "i-3"})

    def test_replica_whose_entry_becomes_odd_is_not_used(self):
        async def scenario(gateway, store):
            await wait_for(lambda: len(gateway.view.endpoints) == 2)
            store.put(REPLICAS, "i-1", store.odd)
            await wait_for(lambda: len(gateway.view.endpoints) == 1)
            return set(gateway.view.endpoints)

        self.assert_each(follow_each(sample_store, scenario), {"i-3"})

    def test_odd_layers_are_none(self):
        """Guard against a number that is too large for the length of a range."""

        async def scenario(gateway, store):
            await known_endpoints(gateway, store)
            endpoint = gateway.view.endpoints.get("i-2")
            return endpoint and (endpoint.layers, endpoint.id)

        contents = {text: entry(layers="@") for text in ODD_LAYERS}
        for text in contents:
            contents[text] = contents[text].replace(b'"@"', text.encode())
        found = follow_each(store_with(REPLICAS, "i-2"), scenario, contents)
        self.assert_each(found, (None, "i-2"))

    def test_name_that_is_no_text_hides_no_other(self):
        """Guard against a watch that fails at each change of such an object."""

        async def scenario(gateway, store):
            await wait_for(lambda: len(gateway.view.endpoints) == 2)
            store.put(REPLICAS, "i-\ud800", ENTRY)
            store.delete(REPLICAS, "i-1")
            await wait_for(lambda: len(gateway.view.endpoints) == 1)
            return set(gateway.view.endpoints)

        found = asyncio.run(follow(sample_store(), scenario))
        self.assertEqual(found, {"i-3"})

    def test_changes_that_are_too_large_are_listed(self):
        """Guard against a watch that asks for the same changes again and again."""

        async def scenario(gateway, store):
            await wait_for(lambda: len(gateway.view.endpoints) == 2)
            for number in range(10):
                filler = "x" * 1_000_000 + str(number)
                store.put(REPLICAS, "i-2", ENTRY | {"zone": filler})
            store.delete(REPLICAS, "i-1")
            await wait_for(lambda: len(gateway.view.endpoints) == 1)
            return set(gateway.view.endpoints)

        found = asyncio.run(follow(sample_store(), scenario))
        self.assertEqual(found, {"i-3"})


class OddConfigurationTests(unittest.TestCase):
    def test_manifest_that_can_not_be_read_keeps_the_current_one(self):
        async def scenario(gateway, store):
            await wait_for(lambda: gateway.view.is_complete)
            store.put(CONFIG, MANIFEST, store.odd)
            await asyncio.sleep(0.6)
            kept = gateway.view.manifest.version
            store.put(CONFIG, MANIFEST, sample_manifest(2))
            await wait_for(lambda: gateway.view.manifest.version == 2)
            return kept, gateway.view.manifest.version

        for kind, found in follow_each(sample_store, scenario).items():
            with self.subTest(kind=kind):
                self.assertEqual(found, (1, 2))

    def test_odd_object_beside_the_manifest(self):
        """Guard against a manifest that is hidden by another object of its kind."""

        async def scenario(gateway, store):
            await wait_for(lambda: gateway.view.is_complete)
            store.put(CONFIG, MANIFEST, sample_manifest(2))
            await wait_for(lambda: gateway.view.manifest.version == 2)
            return gateway.view.manifest and gateway.view.manifest.version

        found = follow_each(store_with(CONFIG, "another"), scenario)
        for kind, version in found.items():
            with self.subTest(kind=kind):
                self.assertEqual(version, 2)
